// Implements the exchange of demand reports and tokens with peers.

#include "daemon/demand_exchange.h"

#include <iterator>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/random.h"

namespace trefoil::daemon {

demand_exchange::demand_exchange(demand_exchange_options given)
    : options(std::move(given)),
      limiter(this->options.limiter),
      own_collector(this->options.failure_domain),
      lender_requests(this->options.instance, entropy_seed()) {}

void demand_exchange::tick(const membership::view& view, mono_time now) {
    this->handle_timeouts(now);
    {
        absl::MutexLock lock(&this->mutex);
        if (now < this->next_report) {
            return;
        }
        this->next_report = now + this->options.limiter.report_interval;
        this->apply_view(view, now);
    }
    this->send_report(now);
    this->send_domain_demand(now);
}

void demand_exchange::set_fleet(const membership::view& view) {
    absl::MutexLock lock(&this->mutex);
    this->count_fleet(view);
}

void demand_exchange::count_fleet(const membership::view& view) {
    this->fleet.clear();
    this->fleet[this->options.failure_domain].insert(this->options.instance);
    for (const membership::member& each : view.listed()) {
        this->fleet[each.record->failure_domain].insert(each.record->id);
    }
    admission::fleet_topology topology{.daemons = 0,
                                       .domains = static_cast<std::uint32_t>(this->fleet.size())};
    for (const auto& [domain, instances] : this->fleet) {
        if (domain == this->options.failure_domain) {
            auto self = instances.find(this->options.instance);
            topology.index = topology.daemons +
                             static_cast<std::uint32_t>(std::distance(instances.begin(), self));
        }
        topology.daemons += static_cast<std::uint32_t>(instances.size());
    }
    this->limiter.set_fleet(topology);
}

// Updates the topology of the fleet, the possible lenders and the collectors from a membership
// view.
void demand_exchange::apply_view(const membership::view& view, mono_time now) {
    this->count_fleet(view);
    this->domain_addresses = this->live_instances(this->options.failure_domain, view);
    std::vector<std::string> lenders;
    lenders.reserve(this->domain_addresses.size());
    for (const auto& [instance, address] : this->domain_addresses) {
        lenders.push_back(instance);
    }
    this->lender_requests.set_instances(std::move(lenders));
    this->collectors.clear();
    for (const auto& [domain, instances] : this->fleet) {
        if (auto chosen = this->choose_collector(domain, view, now)) {
            this->collectors[domain] = std::move(*chosen);
        }
    }
}

std::map<std::string, std::string> demand_exchange::live_instances(
    const std::string& domain, const membership::view& view) const {
    std::set<std::string> unreachable = this->connections->unreachable_addresses();
    std::map<std::string, std::string> live;
    for (const membership::member& each : view.listed()) {
        bool usable = each.record->failure_domain == domain &&
                      each.state == membership::instance_state::live &&
                      !unreachable.contains(each.record->address);
        if (usable) {
            live[each.record->id] = each.record->address;
        }
    }
    return live;
}

// A daemon that finds no live collector in its own failure domain is its own collector.
std::optional<demand_exchange::collector> demand_exchange::choose_collector(
    const std::string& domain, const membership::view& view, mono_time now) const {
    std::map<std::string, std::string> live = this->live_instances(domain, view);
    if (now < this->avoided_until) {
        live.erase(this->avoided_collector);
    }
    std::vector<std::string> instances;
    instances.reserve(live.size());
    for (const auto& [instance, address] : live) {
        instances.push_back(instance);
    }
    auto highest = rendezvous_highest("demand/" + domain, instances);
    if (highest.has_value()) {
        return collector{.instance = *highest, .address = live[*highest]};
    }
    if (domain == this->options.failure_domain) {
        return collector{.instance = this->options.instance, .address = ""};
    }
    return std::nullopt;
}

void demand_exchange::admit(const std::string& workspace, mono_time now,
                            demand_callback on_decided) {
    admission::demand_decision decision = this->limiter.try_admit(workspace, now);
    if (!std::holds_alternative<admission::request_needs_lender>(decision)) {
        on_decided(decision);
        return;
    }
    std::uint64_t call = this->next_call.fetch_add(1, std::memory_order_relaxed);
    // Stored first, because another thread may receive the answer before this one continues.
    this->waiting.update(call, [&](demand_callback& slot) { slot = std::move(on_decided); });
    admission::lender_request attempt;
    {
        absl::MutexLock lock(&this->mutex);
        attempt = this->lender_requests.start(workspace, call, now);
    }
    this->send_lender_request(workspace, call, attempt, now);
}

void demand_exchange::send_lender_request(const std::string& workspace, std::uint64_t call,
                                          const admission::lender_request& attempt, mono_time now) {
    if (attempt.lender == this->options.instance) {
        this->decide_as_lender({.workspace = workspace, .from = "", .round = call}, true, now);
        return;
    }
    std::string address;
    {
        absl::MutexLock lock(&this->mutex);
        auto known = this->domain_addresses.find(attempt.lender);
        address = known == this->domain_addresses.end() ? "" : known->second;
    }
    messages::token_request request{
        .round = attempt.round, .workspace = workspace, .wanted_now = 1};
    if (address.empty()) {
        // The lender was just removed from the list. Without a connection the request times out and
        // is sent again.
        this->connections->send_if_open(attempt.lender, request);
    } else {
        this->connections->send(attempt.lender, address, request);
    }
}

// Sends requests that have timed out to the lender again, or decides them without a lender after
// the second time-out, and decides held requests whose token handover took too long.
void demand_exchange::handle_timeouts(mono_time now) {
    std::vector<admission::overdue_request> overdue;
    std::vector<admission::held_request> held;
    {
        absl::MutexLock lock(&this->mutex);
        overdue = this->lender_requests.expire(now);
        held = this->handovers.expire(now);
    }
    for (const admission::held_request& each : held) {
        this->decide_as_lender(each, false, now);
    }
    for (const admission::overdue_request& each : overdue) {
        if (each.next.has_value()) {
            this->send_lender_request(each.workspace, each.call, *each.next, now);
        } else {
            this->complete(each.call, this->limiter.admit_without_lender(each.workspace, now));
        }
    }
}

void demand_exchange::complete(std::uint64_t call, const admission::demand_decision& decision) {
    if (auto decided = this->waiting.take(call)) {
        (*decided)(decision);
    }
}

void demand_exchange::decide_as_lender(const admission::held_request& request, bool may_hold,
                                       mono_time now) {
    if (auto headroom = this->limiter.start_lending(request.workspace, now)) {
        this->request_handover(*headroom, now);
    }
    admission::demand_decision decision = this->limiter.admit_as_lender(request.workspace, now);
    const auto* over = std::get_if<admission::request_over_limit>(&decision);
    if (over != nullptr && may_hold) {
        absl::MutexLock lock(&this->mutex);
        if (this->handovers.hold(request, now)) {
            return;
        }
    }
    if (request.from.empty()) {
        this->complete(request.round, decision);
        return;
    }
    messages::token_grant grant{.round = request.round, .workspace = request.workspace};
    if (over != nullptr) {
        grant.lifetime_ms = over->retry_after.count();
    } else {
        grant.tokens = 1;
    }
    this->connections->send_if_open(request.from, grant);
}

void demand_exchange::request_handover(const admission::token_headroom& headroom, mono_time now) {
    // The receiver would take a request with an amount of 0 for the request of a single call.
    if (headroom.tokens <= 0) {
        return;
    }
    std::optional<admission::lender_request> attempt;
    {
        absl::MutexLock lock(&this->mutex);
        attempt = this->lender_requests.request_to_previous_lender(headroom.workspace);
        if (attempt.has_value()) {
            // Recorded before it is sent, because another thread may receive the answer.
            this->handovers.start(attempt->round, headroom.workspace, now);
        }
    }
    if (!attempt.has_value()) {
        return;
    }
    messages::token_request request{.round = attempt->round,
                                    .workspace = headroom.workspace,
                                    .wanted_prefetch = headroom.tokens};
    if (!this->connections->send_if_open(attempt->lender, request)) {
        // The previous lender is not connected, so no request should wait for its tokens.
        absl::MutexLock lock(&this->mutex);
        this->handovers.cancel(attempt->round, now);
    }
}

void demand_exchange::on_token_request(const std::string& from,
                                       const messages::token_request& request, mono_time now) {
    if (request.wanted_prefetch > 0) {
        messages::token_grant released{.round = request.round, .workspace = request.workspace};
        released.tokens =
            this->limiter.release_tokens(request.workspace, request.wanted_prefetch, now);
        this->connections->send_if_open(from, released);
        return;
    }
    this->decide_as_lender({.workspace = request.workspace, .from = from, .round = request.round},
                           true, now);
}

void demand_exchange::on_token_grant(const messages::token_grant& grant, mono_time now) {
    std::optional<std::uint64_t> call;
    std::optional<admission::completed_handover> completed;
    {
        absl::MutexLock lock(&this->mutex);
        call = this->lender_requests.on_answer(grant.round);
        completed = this->handovers.complete(grant.round, now);
    }
    if (completed.has_value()) {
        this->limiter.add_tokens(completed->workspace, grant.tokens, now);
        for (const admission::held_request& each : completed->held) {
            this->decide_as_lender(each, false, now);
        }
    }
    if (!call.has_value()) {
        return;
    }
    if (!grant.is_home) {
        // The peer has not applied the configuration yet and divides the rate by loans.
        this->complete(*call, this->limiter.admit_without_lender(grant.workspace, now));
    } else if (grant.tokens >= 1) {
        this->complete(*call, admission::request_admitted{});
    } else {
        this->complete(*call, admission::request_over_limit{
                                  .retry_after = std::chrono::milliseconds(grant.lifetime_ms)});
    }
}

// Passes all workspaces of which this daemon is the lender to the limiter, including those without
// a request so far, and requests the tokens of the previous lender for the new ones.
void demand_exchange::update_standby_workspaces(mono_time now) {
    std::vector<std::string> workspaces = this->limiter.lender_workspaces();
    {
        absl::MutexLock lock(&this->mutex);
        std::erase_if(workspaces, [&](const std::string& each) {
            return !this->lender_requests.is_lender(each, now);
        });
    }
    for (const admission::token_headroom& headroom :
         this->limiter.set_standby_workspaces(workspaces, now)) {
        this->request_handover(headroom, now);
    }
}

void demand_exchange::send_report(mono_time now) {
    this->update_standby_workspaces(now);
    messages::demand_report report = this->limiter.make_report(now);
    std::optional<messages::demand_totals> own_answer;
    collector target;
    {
        absl::MutexLock lock(&this->mutex);
        target = this->collectors[this->options.failure_domain];
        if (target.instance == this->options.instance) {
            own_answer = this->own_collector.add_report(target.instance, report, this->fleet, now);
        } else if (++this->unanswered_reports > this->options.max_unanswered_reports) {
            this->unanswered_reports = 0;
            this->avoided_collector = target.instance;
            this->avoided_until = now + this->options.avoid_collector;
        }
    }
    if (own_answer.has_value()) {
        this->limiter.apply_totals(*own_answer, now);
    } else {
        this->connections->send(target.instance, target.address, report);
    }
}

// Sends the demand of the own failure domain to the collectors of the others. Only a collector has
// received reports, so all other daemons have nothing to send.
void demand_exchange::send_domain_demand(mono_time now) {
    messages::domain_demand own;
    std::map<std::string, collector> others;
    {
        absl::MutexLock lock(&this->mutex);
        own = this->own_collector.own_domain_demand(this->fleet, now);
        others = this->collectors;
    }
    if (own.heard == 0) {
        return;
    }
    for (const auto& [domain, each] : others) {
        if (domain != this->options.failure_domain) {
            this->connections->send(each.instance, each.address, own);
        }
    }
}

void demand_exchange::on_report(const std::string& from, const messages::demand_report& report,
                                mono_time now) {
    messages::demand_totals answer;
    {
        absl::MutexLock lock(&this->mutex);
        answer = this->own_collector.add_report(from, report, this->fleet, now);
    }
    this->connections->send_if_open(from, answer);
}

void demand_exchange::on_totals(const std::string& /*from*/, const messages::demand_totals& totals,
                                mono_time now) {
    {
        absl::MutexLock lock(&this->mutex);
        this->unanswered_reports = 0;
    }
    this->limiter.apply_totals(totals, now);
}

void demand_exchange::on_domain(const messages::domain_demand& domain, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->own_collector.add_domain_demand(domain, now);
}

}  // namespace trefoil::daemon
