// Implements the connection between the rate limiter, peers and waiting requests.

#include "daemon/limit_service.h"

#include <utility>

namespace trefoil::daemon {

limit_service::limit_service(const admission::limit_options& options, std::string own,
                             blackboard& shared, const time_source& time)
    : self(std::move(own)), board(shared), clock(time), limiter(options, time.now()) {}

void limit_service::admit(const std::string& workspace, admission_callback decided) {
    std::uint64_t call = this->next_call.fetch_add(1, std::memory_order_relaxed);
    // Stored first, because another thread may decide before try_admit() returns.
    this->waiting.update(call, [&](admission_callback& slot) { slot = std::move(decided); });
    admission::limiter_output output;
    admission::admit_result outcome =
        this->limiter.try_admit(workspace, call, this->clock.now(), output);
    if (outcome != admission::admit_result::wait) {
        if (auto callback = this->waiting.take(call)) {
            (*callback)(outcome == admission::admit_result::admitted);
        }
    }
    this->execute(output);
}

void limit_service::on_message(const std::string& from, const messages::peer_message& message) {
    admission::limiter_output output;
    this->limiter.on_message(from, message, this->clock.now(), output);
    this->execute(output);
}

void limit_service::tick() {
    this->follow_blackboard();
    admission::limiter_output output;
    this->limiter.tick(this->clock.now(), output);
    this->execute(output);
}

void limit_service::follow_blackboard() {
    auto snapshot = this->board.snapshot.read();
    if (snapshot != nullptr && snapshot != this->applied_snapshot) {
        this->applied_snapshot = snapshot;
        std::vector<admission::workspace_limit> limits;
        for (const auto& [name, each] : snapshot->contents().workspaces) {
            limits.push_back({.workspace = name, .rate = each.rate, .burst = each.burst});
        }
        this->limiter.set_limits(limits, static_cast<int>(snapshot->fleet().max_instances),
                                 this->clock.now());
    }
    auto view = this->board.members.read();
    bool draining = this->board.phase.load() != lifecycle::running;
    if (view != nullptr && (view != this->applied_view || draining != this->applied_draining)) {
        this->applied_view = view;
        this->applied_draining = draining;
        std::vector<std::string> live;
        for (const membership::member& each : view->listed()) {
            bool own = each.record->id == this->self;
            if (own ? !draining : each.state == membership::instance_state::live) {
                live.push_back(each.record->id);
            }
        }
        this->limiter.set_members(this->self, live);
    }
}

void limit_service::execute(const admission::limiter_output& output) {
    auto view = this->board.members.read();
    for (const admission::outgoing_message& each : output.messages) {
        const membership::member* peer = view == nullptr ? nullptr : view->find(each.to);
        if (peer != nullptr) {
            this->links->send(each.to, peer->record->address, each.message);
        } else {
            this->links->send_if_open(each.to, each.message);
        }
    }
    for (const admission::wait_decision& each : output.decisions) {
        if (auto callback = this->waiting.take(each.call)) {
            (*callback)(each.admitted);
        }
    }
}

}  // namespace trefoil::daemon
