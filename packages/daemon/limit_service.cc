// Implements the dispatch of requests and messages to the selected limiter.

#include "daemon/limit_service.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace trefoil::daemon {

namespace {

// Short enough that a change of home takes effect soon, long enough that checking a list of 1,400
// instances costs little.
constexpr std::chrono::milliseconds member_check_interval{100};

}  // namespace

limit_service::limit_service(const admission::limit_options& options,
                             const demand_exchange_options& own, shared_state& daemon_state,
                             const time_source& time)
    : self(own.instance),
      exchange(own),
      shared(daemon_state),
      clock(time),
      limiter(options, time.now()) {}

void limit_service::admit(const std::string& workspace, admission_callback on_decided) {
    // A request that was accepted under a new snapshot may arrive before the next tick.
    this->apply_snapshot();
    if (this->divides_by_demand) {
        this->exchange.admit(
            workspace, this->clock.now(),
            [on_decided = std::move(on_decided)](const admission::demand_decision& decision) {
                if (const auto* over = std::get_if<admission::request_over_limit>(&decision)) {
                    on_decided({.admitted = false, .retry_after = over->retry_after});
                } else {
                    on_decided({.admitted = true});
                }
            });
        return;
    }
    std::uint64_t call = this->next_call.fetch_add(1, std::memory_order_relaxed);
    // Stored first, because another thread may decide before try_admit() returns.
    this->waiting.update(call, [&](admission_callback& slot) { slot = std::move(on_decided); });
    admission::limiter_output output;
    admission::admit_result outcome =
        this->limiter.try_admit(workspace, call, this->clock.now(), output);
    if (outcome != admission::admit_result::wait) {
        if (auto callback = this->waiting.take(call)) {
            (*callback)({.admitted = outcome == admission::admit_result::admitted});
        }
    }
    this->execute(output);
}

void limit_service::on_message(const std::string& from, const messages::peer_message& message) {
    mono_time now = this->clock.now();
    if (const auto* report = std::get_if<messages::demand_report>(&message)) {
        this->exchange.on_report(from, *report, now);
        return;
    }
    if (const auto* totals = std::get_if<messages::demand_totals>(&message)) {
        this->exchange.on_totals(from, *totals, now);
        return;
    }
    if (const auto* domain = std::get_if<messages::domain_demand>(&message)) {
        this->exchange.on_domain(*domain, now);
        return;
    }
    if (this->divides_by_demand) {
        if (const auto* request = std::get_if<messages::token_request>(&message)) {
            this->exchange.on_token_request(from, *request, now);
            return;
        }
        if (const auto* grant = std::get_if<messages::token_grant>(&message)) {
            this->exchange.on_token_grant(*grant, now);
            return;
        }
    }
    admission::limiter_output output;
    this->limiter.on_message(from, message, now, output);
    this->execute(output);
}

void limit_service::tick() {
    this->apply_snapshot();
    this->apply_members();
    if (this->divides_by_demand) {
        if (auto view = this->shared.members.read()) {
            this->exchange.tick(*view, this->clock.now());
        }
        return;
    }
    admission::limiter_output output;
    this->limiter.tick(this->clock.now(), output);
    this->execute(output);
}

void limit_service::apply_snapshot() {
    absl::MutexLock lock(&this->mutex);
    // Read under the lock, so that no thread replaces a snapshot by an older one.
    auto snapshot = this->shared.snapshot.read();
    if (snapshot != nullptr && snapshot != this->applied_snapshot) {
        this->applied_snapshot = snapshot;
        this->set_limits(*snapshot);
    }
}

void limit_service::apply_members() {
    mono_time now = this->clock.now();
    auto view = this->shared.members.read();
    if (view == nullptr || now < this->next_member_check) {
        return;
    }
    this->next_member_check = now + member_check_interval;
    std::vector<std::string> live = this->home_candidates(*view);
    if (live != this->applied_members) {
        this->limiter.set_members(this->self, live);
        this->applied_members = std::move(live);
    }
}

void limit_service::set_limits(const config::snapshot& snapshot) {
    std::vector<admission::workspace_limit> limits;
    for (const auto& [name, each] : snapshot.contents().workspaces) {
        if (each.limited) {
            limits.push_back({.workspace = name, .rate = each.rate, .burst = each.burst});
        }
    }
    bool max_instances_from_list = snapshot.fleet().max_instances_from_list;
    if (max_instances_from_list) {
        // Set before the limits, because a new workspace starts with an even share of its rate.
        if (auto view = this->shared.members.read()) {
            this->exchange.set_fleet(*view);
        }
        this->exchange.set_limits(limits, this->clock.now());
    } else {
        this->limiter.set_limits(limits, static_cast<int>(snapshot.fleet().max_instances),
                                 this->clock.now());
    }
    // Set last, because other threads use the selected limiter from here on.
    this->divides_by_demand = max_instances_from_list;
}

std::optional<admission::demand_state> limit_service::inspect_demand(const std::string& workspace) {
    return this->divides_by_demand ? this->exchange.inspect(workspace, this->clock.now())
                                   : std::nullopt;
}

// A daemon that leaves, by its own shutdown or by the instance list, must not include itself, so
// that it returns the shares that it borrowed. An unreachable instance is excluded before the
// membership suspects it, because calls of a workspace are refused while its home is unreachable.
std::vector<std::string> limit_service::home_candidates(const membership::view& view) const {
    bool draining = this->shared.phase.load() != lifecycle::running;
    std::set<std::string> unreachable = this->connections->unreachable_addresses();
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
    auto view = this->shared.members.read();
    for (const admission::outgoing_message& each : output.messages) {
        const membership::member* peer = view == nullptr ? nullptr : view->find(each.to);
        if (peer != nullptr) {
            this->connections->send(each.to, peer->record->address, each.message);
        } else {
            this->connections->send_if_open(each.to, each.message);
        }
    }
    for (const admission::wait_decision& each : output.decisions) {
        if (auto callback = this->waiting.take(each.call)) {
            (*callback)({.admitted = each.admitted});
        }
    }
}

}  // namespace trefoil::daemon
