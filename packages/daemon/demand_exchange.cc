// Implements the exchange of demand.

#include "daemon/demand_exchange.h"

#include <utility>
#include <vector>

#include "base/hash.h"

namespace trefoil::daemon {

demand_exchange::demand_exchange(demand_exchange_options given)
    : options(std::move(given)),
      limiter(this->options.limiter),
      sums(this->options.failure_domain) {}

void demand_exchange::tick(const membership::view& view, mono_time now) {
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

// Takes over who exists and who collects.
void demand_exchange::follow(const membership::view& view, mono_time now) {
    this->fleet.clear();
    this->fleet[this->options.failure_domain].insert(this->options.instance);
    std::uint32_t daemons = 0;
    for (const membership::member& each : view.listed()) {
        this->fleet[each.record->failure_domain].insert(each.record->id);
        ++daemons;
    }
    this->limiter.set_fleet_size(daemons);
    this->collectors.clear();
    for (const auto& [domain, instances] : this->fleet) {
        if (auto chosen = this->choose(domain, view, now)) {
            this->collectors[domain] = std::move(*chosen);
        }
    }
}

// A daemon that finds no other collector in its own failure domain collects itself.
std::optional<demand_exchange::collector> demand_exchange::choose(const std::string& domain,
                                                                  const membership::view& view,
                                                                  mono_time now) const {
    std::set<std::string> unreachable = this->links->unreachable_addresses();
    std::vector<std::string> live;
    for (const membership::member& each : view.listed()) {
        bool usable = each.record->failure_domain == domain &&
                      each.state == membership::instance_state::live &&
                      !unreachable.contains(each.record->address) &&
                      (each.record->id != this->avoided || now >= this->avoided_until);
        if (usable) {
            live.push_back(each.record->id);
        }
    }
    auto highest = rendezvous_highest("demand/" + domain, live);
    if (highest.has_value()) {
        return collector{.instance = *highest, .address = view.find(*highest)->record->address};
    }
    if (domain == this->options.failure_domain) {
        return collector{.instance = this->options.instance, .address = ""};
    }
    return std::nullopt;
}

void demand_exchange::report(mono_time now) {
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
        this->links->send(target.instance, target.address, report);
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
            this->links->send(each.instance, each.address, own);
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
    this->links->send_if_open(from, answer);
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
