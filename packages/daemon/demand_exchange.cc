// Implements the exchange of demand.

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
      sums(this->options.failure_domain),
      asker(this->options.instance, entropy_seed()) {}

void demand_exchange::tick(const membership::view& view, mono_time now) {
    this->ask_again(now);
    {
        absl::MutexLock lock(&this->mutex);
        if (now < this->next_report) {
            return;
        }
        this->next_report = now + this->options.limiter.report_interval;
        this->follow(view, now);
    }
    this->report(now);
    this->tell_collectors(now);
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
    admission::fleet_place place{.daemons = 0,
                                 .domains = static_cast<std::uint32_t>(this->fleet.size())};
    for (const auto& [domain, instances] : this->fleet) {
        if (domain == this->options.failure_domain) {
            auto self = instances.find(this->options.instance);
            place.index =
                place.daemons + static_cast<std::uint32_t>(std::distance(instances.begin(), self));
        }
        place.daemons += static_cast<std::uint32_t>(instances.size());
    }
    this->limiter.set_fleet(place);
}

// Takes over who exists, who collects and who may lend.
void demand_exchange::follow(const membership::view& view, mono_time now) {
    this->count_fleet(view);
    this->neighbours = this->live_in(this->options.failure_domain, view);
    std::vector<std::string> lenders;
    lenders.reserve(this->neighbours.size());
    for (const auto& [instance, address] : this->neighbours) {
        lenders.push_back(instance);
    }
    this->asker.set_instances(std::move(lenders));
    this->collectors.clear();
    for (const auto& [domain, instances] : this->fleet) {
        if (auto chosen = this->choose(domain, view, now)) {
            this->collectors[domain] = std::move(*chosen);
        }
    }
}

std::map<std::string, std::string> demand_exchange::live_in(const std::string& domain,
                                                            const membership::view& view) const {
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

// A daemon that finds no other collector in its own failure domain collects itself.
std::optional<demand_exchange::collector> demand_exchange::choose(const std::string& domain,
                                                                  const membership::view& view,
                                                                  mono_time now) const {
    std::map<std::string, std::string> live = this->live_in(domain, view);
    if (now < this->avoided_until) {
        live.erase(this->avoided);
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

void demand_exchange::admit(const std::string& workspace, mono_time now, demand_callback decided) {
    admission::demand_decision decision = this->limiter.try_admit(workspace, now);
    if (!std::holds_alternative<admission::request_needs_lender>(decision)) {
        decided(decision);
        return;
    }
    std::uint64_t call = this->next_call.fetch_add(1, std::memory_order_relaxed);
    // Stored first, because the answer may come on another thread before this one goes on.
    this->waiting.update(call, [&](demand_callback& slot) { slot = std::move(decided); });
    admission::token_ask made;
    {
        absl::MutexLock lock(&this->mutex);
        made = this->asker.start(workspace, call, now);
    }
    this->ask(workspace, call, made, now);
}

void demand_exchange::ask(const std::string& workspace, std::uint64_t call,
                          const admission::token_ask& made, mono_time now) {
    if (made.lender == this->options.instance) {
        this->lend({.workspace = workspace, .from = "", .round = call}, true, now);
        return;
    }
    std::string address;
    {
        absl::MutexLock lock(&this->mutex);
        auto known = this->neighbours.find(made.lender);
        address = known == this->neighbours.end() ? "" : known->second;
    }
    messages::token_request request{.round = made.round, .workspace = workspace, .wanted_now = 1};
    if (address.empty()) {
        // It left the list just now; without a connection the request is asked again.
        this->connections->send_if_open(made.lender, request);
    } else {
        this->connections->send(made.lender, address, request);
    }
}

// Asks again what was not answered in time, and decides what was not answered twice or has waited
// for tokens of the lender before.
void demand_exchange::ask_again(mono_time now) {
    std::vector<admission::overdue_ask> overdue;
    std::vector<admission::held_request> held;
    {
        absl::MutexLock lock(&this->mutex);
        overdue = this->asker.expire(now);
        held = this->taking_over.expire(now);
    }
    for (const admission::held_request& each : held) {
        this->lend(each, false, now);
    }
    for (const admission::overdue_ask& each : overdue) {
        if (each.next.has_value()) {
            this->ask(each.workspace, each.call, *each.next, now);
        } else {
            this->decide(each.call, this->limiter.admit_alone(each.workspace, now));
        }
    }
}

void demand_exchange::decide(std::uint64_t call, const admission::demand_decision& decision) {
    if (auto decided = this->waiting.take(call)) {
        (*decided)(decision);
    }
}

void demand_exchange::lend(const admission::held_request& request, bool may_hold, mono_time now) {
    if (auto room = this->limiter.begin(request.workspace, now)) {
        this->take_over(*room, now);
    }
    admission::demand_decision decision = this->limiter.lend(request.workspace, now);
    const auto* over = std::get_if<admission::request_over_limit>(&decision);
    if (over != nullptr && may_hold) {
        absl::MutexLock lock(&this->mutex);
        if (this->taking_over.hold(request, now)) {
            return;
        }
    }
    if (request.from.empty()) {
        this->decide(request.round, decision);
        return;
    }
    messages::token_grant grant{.round = request.round, .workspace = request.workspace};
    if (over != nullptr) {
        grant.life_ms = over->retry_after.count();
    } else {
        grant.tokens = 1;
    }
    this->connections->send_if_open(request.from, grant);
}

void demand_exchange::take_over(const admission::token_room& room, mono_time now) {
    // An amount of 0 is a request for one token.
    if (room.tokens <= 0) {
        return;
    }
    std::optional<admission::token_ask> made;
    {
        absl::MutexLock lock(&this->mutex);
        made = this->asker.take_over(room.workspace);
        if (made.has_value()) {
            // Before it is sent, because the answer may come on another thread.
            this->taking_over.start(made->round, room.workspace, now);
        }
    }
    if (!made.has_value()) {
        return;
    }
    messages::token_request request{
        .round = made->round, .workspace = room.workspace, .wanted_ahead = room.tokens};
    if (!this->connections->send_if_open(made->lender, request)) {
        // It is gone, so no request waits for it.
        absl::MutexLock lock(&this->mutex);
        this->taking_over.cancel(made->round, now);
    }
}

void demand_exchange::on_token_request(const std::string& from,
                                       const messages::token_request& request, mono_time now) {
    if (request.wanted_ahead > 0) {
        messages::token_grant given{.round = request.round, .workspace = request.workspace};
        given.tokens = this->limiter.hand_over(request.workspace, request.wanted_ahead, now);
        this->connections->send_if_open(from, given);
        return;
    }
    this->lend({.workspace = request.workspace, .from = from, .round = request.round}, true, now);
}

void demand_exchange::on_token_grant(const messages::token_grant& grant, mono_time now) {
    std::optional<std::uint64_t> call;
    std::optional<admission::taken_over> taken_over;
    {
        absl::MutexLock lock(&this->mutex);
        call = this->asker.on_answer(grant.round);
        taken_over = this->taking_over.on_tokens(grant.round, now);
    }
    if (taken_over.has_value()) {
        this->limiter.receive(taken_over->workspace, grant.tokens, now);
        for (const admission::held_request& each : taken_over->held) {
            this->lend(each, false, now);
        }
    }
    if (!call.has_value()) {
        return;
    }
    if (!grant.is_home) {
        // A daemon that does not count the list yet, while a configuration spreads.
        this->decide(*call, this->limiter.admit_alone(grant.workspace, now));
    } else if (grant.tokens >= 1) {
        this->decide(*call, admission::request_admitted{});
    } else {
        this->decide(*call, admission::request_over_limit{
                                .retry_after = std::chrono::milliseconds(grant.life_ms)});
    }
}

// Names to the limiter what this daemon would be asked for as the lender.
void demand_exchange::stand_by(mono_time now) {
    std::vector<std::string> lends = this->limiter.lent_workspaces();
    {
        absl::MutexLock lock(&this->mutex);
        std::erase_if(lends,
                      [&](const std::string& each) { return !this->asker.lends(each, now); });
    }
    for (const admission::token_room& room : this->limiter.stand_by(lends, now)) {
        this->take_over(room, now);
    }
}

void demand_exchange::report(mono_time now) {
    this->stand_by(now);
    messages::demand_report report = this->limiter.report(now);
    std::optional<messages::demand_totals> own_answer;
    collector target;
    {
        absl::MutexLock lock(&this->mutex);
        target = this->collectors[this->options.failure_domain];
        if (target.instance == this->options.instance) {
            own_answer = this->sums.answer(target.instance, report, this->fleet, now);
        } else if (++this->unanswered > this->options.unanswered_limit) {
            this->unanswered = 0;
            this->avoided = target.instance;
            this->avoided_until = now + this->options.avoid_collector;
        }
    }
    if (own_answer.has_value()) {
        this->limiter.apply(*own_answer, now);
    } else {
        this->connections->send(target.instance, target.address, report);
    }
}

// Only a daemon that was chosen by others or by itself has heard a report.
void demand_exchange::tell_collectors(mono_time now) {
    messages::domain_demand own;
    std::map<std::string, collector> others;
    {
        absl::MutexLock lock(&this->mutex);
        own = this->sums.own_domain(this->fleet, now);
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
        answer = this->sums.answer(from, report, this->fleet, now);
    }
    this->connections->send_if_open(from, answer);
}

void demand_exchange::on_totals(const std::string& /*from*/, const messages::demand_totals& totals,
                                mono_time now) {
    {
        absl::MutexLock lock(&this->mutex);
        this->unanswered = 0;
    }
    this->limiter.apply(totals, now);
}

void demand_exchange::on_domain(const messages::domain_demand& domain, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->sums.take(domain, now);
}

}  // namespace trefoil::daemon
