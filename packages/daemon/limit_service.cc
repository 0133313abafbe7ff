// Implements the connection between the rate limiter, peers and waiting requests.

#include "daemon/limit_service.h"

#include <chrono>
#include <utility>

namespace trefoil::daemon {

namespace {

// Often enough for a change of home, and rarely enough that a list of 1,400 costs little.
constexpr std::chrono::milliseconds member_check_interval{100};

}  // namespace

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
            if (each.limited) {
                limits.push_back({.workspace = name, .rate = each.rate, .burst = each.burst});
            }
        }
        this->limiter.set_limits(limits, static_cast<int>(snapshot->fleet().max_instances),
                                 this->clock.now());
    }
    mono_time now = this->clock.now();
    auto view = this->board.members.read();
    if (view == nullptr || now < this->next_member_check) {
        return;
    }
    this->next_member_check = now + member_check_interval;
    std::vector<std::string> live = this->possible_homes(*view);
    if (live != this->applied_live) {
        this->limiter.set_members(this->self, live);
        this->applied_live = std::move(live);
    }
}

// A daemon that leaves, by its own stop or by the list, must not count itself, so that it gives
// back the shares that it borrowed. An instance to which no connection can be opened is left out
// before the membership suspects it, because calls would be refused for as long as it counts as a
// home.
std::vector<std::string> limit_service::possible_homes(const membership::view& view) const {
    bool draining = this->board.phase.load() != lifecycle::running;
    std::set<std::string> unreachable = this->links->unreachable_addresses();
    std::vector<std::string> live;
    for (const membership::member& each : view.listed()) {
        bool own = each.record->id == this->self;
        bool stays = each.state == membership::instance_state::live ||
                     (own && each.state != membership::instance_state::leaving);
        if (stays && !(own && draining) && !unreachable.contains(each.record->address)) {
            live.push_back(each.record->id);
        }
    }
    return live;
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
