// Implements shares that follow demand.

#include "admission/demand_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil::admission {

namespace {

double seconds(std::chrono::duration<double> time) {
    return time.count();
}

double seconds_between(mono_time from, mono_time to) {
    return std::max(0.0, seconds(to - from));
}

}  // namespace

double demand_limiter::window_s() const {
    return seconds(this->options.tolerance.window);
}

double demand_limiter::fleet_rate(const workspace_limit& limit) const {
    return limit.rate * (1 + this->options.tolerance.overage * this->options.used_overage);
}

std::uint32_t demand_limiter::known_daemons() const {
    return std::max(this->fleet_size, this->heard + this->missing);
}

// What may be admitted in a window beyond the fleet's rate, and beyond what is admitted at that
// rate before the totals tell and from the part of the daemons' buckets that follows their shares.
double demand_limiter::free_of_rate(const workspace_limit& limit) const {
    const limit_tolerance& allowed = this->options.tolerance;
    double most =
        (limit.rate * this->window_s() + limit.burst) * (1 + allowed.overage) + allowed.slack;
    double time_s = this->window_s() + seconds(this->options.report_interval) +
                    seconds(this->options.bucket_time);
    return most - this->fleet_rate(limit) * time_s;
}

// A part of what is free, divided among the daemons; the fleet's own bucket gets what is left.
double demand_limiter::bucket_requests(const workspace_limit& limit) const {
    return std::clamp(this->options.bucket_part * this->free_of_rate(limit) / this->known_daemons(),
                      this->options.fewest_bucket_requests, this->options.most_bucket_requests);
}

// What may be admitted in a window beyond the rate, less what full buckets of all daemons hold,
// what the shares of different totals add up to beyond the rate while demand moves, and what is
// admitted before the totals tell (a report crosses two collectors, so up to two intervals):
//
//     rate * (window + report_interval) + capacity
//         + bucket_requests * daemons + bucket_time * (rate + capacity / spread_time)
//         + 2 * report_interval * capacity / spread_time <= most.
//
// Below zero, where the daemons' own buckets hold more than that, the fleet's rate is lowered.
double demand_limiter::fleet_capacity(const workspace_limit& limit) const {
    double bucket_s = seconds(this->options.bucket_time);
    double interval_s = seconds(this->options.report_interval);
    double free = this->free_of_rate(limit) - this->bucket_requests(limit) * this->known_daemons();
    return free / (1 + (bucket_s + 2 * interval_s) / seconds(this->options.spread_time));
}

void demand_limiter::set_limits(const std::vector<workspace_limit>& limits, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    absl::flat_hash_map<std::string, bucket> next;
    for (const workspace_limit& each : limits) {
        bucket& target = next[each.workspace];
        auto before = this->buckets.find(each.workspace);
        if (before != this->buckets.end()) {
            target = std::move(before->second);
        } else {
            // A new process cannot know what the fleet has admitted lately.
            target.level = std::max(0.0, this->fleet_capacity(each));
            target.counted_at = now;
        }
        target.limit = each;
        if (before == this->buckets.end()) {
            // In whole requests, because a part of one admits nothing.
            target.tokens = std::floor(this->bucket_capacity(target, now));
        }
    }
    this->buckets = std::move(next);
}

void demand_limiter::set_fleet_size(std::uint32_t daemons) {
    absl::MutexLock lock(&this->mutex);
    this->fleet_size = std::max<std::uint32_t>(1, daemons);
}

bool demand_limiter::totals_valid(mono_time now) const {
    return this->heard > 0 && this->totals_at != mono_time::min() &&
           now - this->totals_at <= this->options.totals_life;
}

double demand_limiter::share_of(const bucket& each, mono_time now) const {
    if (!this->totals_valid(now)) {
        return each.limit.rate / this->known_daemons();
    }
    double free = this->fleet_capacity(each.limit) - each.level;
    double rate = std::max(this->fleet_rate(each.limit) + free / seconds(this->options.spread_time),
                           each.limit.rate * this->options.least_rate);
    double available = rate * this->heard / (this->heard + this->missing);
    if (each.total <= available && each.total > 0) {
        double part = (1.0 / this->heard + each.own_in_total / each.total) / 2;
        return each.own_in_total + (available - each.total) * part;
    }
    return each.total > 0 ? available * each.own_in_total / each.total : available / this->heard;
}

double demand_limiter::bucket_capacity(const bucket& each, mono_time now) const {
    return this->bucket_requests(each.limit) +
           this->share_of(each, now) * seconds(this->options.bucket_time);
}

double demand_limiter::reported_demand(const bucket& each) const {
    double even = this->options.least_demand_part * each.limit.rate / this->known_daemons();
    return std::max(each.demand, std::min(this->options.least_demand, even));
}

void demand_limiter::refill(bucket& each, mono_time now) {
    double share = this->share_of(each, now);
    double capacity = this->bucket_capacity(each, now);
    each.tokens = std::min(capacity, each.tokens + share * seconds_between(each.counted_at, now));
    each.counted_at = now;
}

demand_decision demand_limiter::try_admit(const std::string& workspace, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return request_admitted{};
    }
    bucket& target = found->second;
    ++target.arrived;
    this->refill(target, now);
    if (target.tokens >= 1) {
        target.tokens -= 1;
        ++target.admitted;
        return request_admitted{};
    }
    constexpr double smallest_share = 1e-3;
    std::chrono::duration<double> wait((1 - target.tokens) /
                                       std::max(this->share_of(target, now), smallest_share));
    auto limit = std::chrono::duration<double>(this->options.longest_return);
    auto retry = std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, limit));
    return request_over_limit{.retry_after = std::max(retry, this->options.shortest_return)};
}

messages::demand_report demand_limiter::report(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    bool first = this->reported_at == mono_time::min();
    double interval =
        first ? seconds(this->options.report_interval) : seconds_between(this->reported_at, now);
    this->reported_at = now;
    messages::demand_report report{.round = ++this->round, .demands = {}};
    for (auto& [name, each] : this->buckets) {
        double latest = interval > 0 ? static_cast<double>(each.arrived) / interval : each.demand;
        double admitted = interval > 0 ? static_cast<double>(each.admitted) / interval : 0;
        each.arrived = 0;
        each.admitted = 0;
        each.demand += this->options.latest_weight * (latest - each.demand);
        report.demands.push_back(
            {.workspace = name, .rate = this->reported_demand(each), .admitted = admitted});
    }
    return report;
}

void demand_limiter::apply(const messages::demand_totals& totals, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    if (totals.round != this->round || totals.heard == 0) {
        return;
    }
    // Without totals for some time the level is unknown, so the gap counts as used at the rate.
    double elapsed = this->totals_valid(now) ? seconds_between(this->totals_at, now) : 0;
    for (auto& [name, each] : this->buckets) {
        this->refill(each, now);
        each.own_in_total = this->reported_demand(each);
        each.total = each.own_in_total;
    }
    // Daemons that were not heard count as using their even shares.
    double unheard = static_cast<double>(totals.missing) / (totals.heard + totals.missing);
    for (const messages::workspace_demand& each : totals.demands) {
        auto found = this->buckets.find(each.workspace);
        if (found == this->buckets.end()) {
            continue;
        }
        bucket& target = found->second;
        target.total = std::max(each.rate, target.own_in_total);
        double rate = this->fleet_rate(target.limit);
        double change = (each.admitted + rate * unheard - rate) * elapsed;
        target.level = std::max(0.0, target.level + change);
    }
    this->heard = totals.heard;
    this->missing = totals.missing;
    this->totals_at = now;
}

std::optional<demand_state> demand_limiter::inspect(const std::string& workspace, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return std::nullopt;
    }
    bucket& each = found->second;
    this->refill(each, now);
    return demand_state{.demand = each.demand,
                        .total = this->totals_valid(now) ? each.total : 0,
                        .level = each.level,
                        .share = this->share_of(each, now),
                        .tokens = each.tokens};
}

}  // namespace trefoil::admission
