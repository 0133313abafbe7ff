// Implements shares that follow demand.

#include "admission/demand_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace trefoil::admission {

namespace {

double seconds(std::chrono::duration<double> time) {
    return time.count();
}

double seconds_between(mono_time from, mono_time to) {
    return std::max(0.0, seconds(to - from));
}

}  // namespace

void demand_limiter::set_limits(const std::vector<workspace_limit>& limits, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    absl::flat_hash_map<std::string, bucket> next;
    for (const workspace_limit& each : limits) {
        rate_division division(this->options, each, this->fleet);
        auto before = this->buckets.find(each.workspace);
        if (before != this->buckets.end()) {
            bucket& target = next.emplace(each.workspace, std::move(before->second)).first->second;
            target.limit = each;
            target.division = division;
            continue;
        }
        bucket& target =
            next.emplace(each.workspace,
                         bucket{.limit = each, .counted_at = now, .division = division})
                .first->second;
        target.new_until = now + this->options.start_time;
        // A new process cannot know what the fleet has admitted lately.
        target.level = std::max(0.0, division.capacity());
        if (!division.lent()) {
            // In whole requests, because a part of one admits nothing.
            target.tokens = std::floor(this->bucket_capacity(target, now));
        }
    }
    this->buckets = std::move(next);
}

void demand_limiter::set_fleet(const fleet_topology& known) {
    absl::MutexLock lock(&this->mutex);
    if (known == this->fleet) {
        return;
    }
    this->fleet = known;
    for (auto& [name, each] : this->buckets) {
        each.division = rate_division(this->options, each.limit, this->fleet);
    }
}

bool demand_limiter::totals_valid(mono_time now) const {
    return this->heard > 0 && this->totals_at != mono_time::min() &&
           now - this->totals_at <= this->options.totals_life;
}

bool demand_limiter::most_heard(mono_time now) const {
    return this->totals_valid(now) && this->heard > this->missing;
}

// Of the buckets that the rate is divided among, those whose reports are in the totals. A failure
// domain of which a part was heard counts as that part. A failure domain whose daemons do not agree
// who lends has several lenders, and all of them together hold no more than the usual number.
double demand_limiter::heard_parts(const bucket& each) const {
    if (!each.division.lent()) {
        return this->heard;
    }
    double part = static_cast<double>(this->heard) / (this->heard + this->missing);
    return std::max({1.0, each.division.parts() * part, static_cast<double>(each.holders)});
}

double demand_limiter::share_of(const bucket& each, mono_time now) const {
    if (!this->totals_valid(now)) {
        return each.limit.rate / std::max(this->fleet.daemons, this->heard + this->missing);
    }
    double heard_part = static_cast<double>(this->heard) / (this->heard + this->missing);
    // The level counts daemons that were not heard as using their part of the rate, and what it
    // exceeds that by is of the heard ones alone: so they have their part of the capacity as well.
    double free = heard_part * each.division.capacity() - each.level;
    double available = std::max(
        heard_part * each.division.fleet_rate() + free / seconds(this->options.spread_time),
        heard_part * each.limit.rate * this->options.least_rate);
    double parts = this->heard_parts(each);
    if (each.total <= available && each.total > 0) {
        double part = (1.0 / parts + each.own_in_total / each.total) / 2;
        return each.own_in_total + (available - each.total) * part;
    }
    return each.total > 0 ? available * each.own_in_total / each.total : available / parts;
}

// A lender that hears a few daemons only holds their part of the depth.
double demand_limiter::lender_depth(const bucket& each) const {
    double heard_part = static_cast<double>(this->heard) / (this->heard + this->missing);
    double lenders = this->heard_parts(each);
    return each.division.bucket_requests() * each.division.parts() * heard_part / lenders;
}

double demand_limiter::bucket_capacity(const bucket& each, mono_time now) const {
    const rate_division& division = each.division;
    if (!division.lent()) {
        return division.bucket_requests() +
               this->share_of(each, now) * seconds(this->options.bucket_time);
    }
    if (!this->totals_valid(now)) {
        return division.alone_requests();
    }
    double depth =
        this->lender_depth(each) + this->share_of(each, now) * seconds(this->options.bucket_time);
    return std::max(depth, division.alone_requests());
}

// A small rate's least demand must not pass for a demand above the rate.
double demand_limiter::reported_demand(const bucket& each) const {
    double even = this->options.least_demand_part * each.limit.rate / each.division.parts();
    return std::max(each.demand, std::min(this->options.least_demand, even));
}

bool demand_limiter::reports(const bucket& each, mono_time now) const {
    return !each.division.lent() || each.standing_by || now < each.lender_until;
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
    if (found->second.division.lent()) {
        return request_needs_lender{};
    }
    return this->take(found->second, now);
}

std::vector<std::string> demand_limiter::lender_workspaces() {
    absl::MutexLock lock(&this->mutex);
    std::vector<std::string> names;
    for (const auto& [name, each] : this->buckets) {
        if (each.division.lent()) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<token_headroom> demand_limiter::set_standby_workspaces(
    const std::vector<std::string>& workspaces, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    std::vector<token_headroom> begun;
    absl::flat_hash_set<std::string> named;
    // A daemon that hears few others may take itself for the lender of every workspace.
    if (this->most_heard(now)) {
        named.insert(workspaces.begin(), workspaces.end());
    }
    for (auto& [name, each] : this->buckets) {
        bool stands_by = each.division.lent() && named.contains(name);
        if (stands_by) {
            this->prepare_bucket(each, now);
        }
        if (stands_by && !each.standing_by) {
            begun.push_back(this->room_of(name, each, now));
        }
        if (each.standing_by && !stands_by) {
            each.lender_until = std::max(each.lender_until, now + this->options.take_over_time);
        }
        each.standing_by = stands_by;
    }
    return begun;
}

token_headroom demand_limiter::room_of(const std::string& workspace, bucket& each, mono_time now) {
    this->refill(each, now);
    double room = this->bucket_capacity(each, now) - each.tokens;
    return {.workspace = workspace, .tokens = std::max(0.0, room)};
}

std::optional<token_headroom> demand_limiter::start_lending(const std::string& workspace,
                                                            mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || this->reports(found->second, now) ||
        !this->most_heard(now)) {
        return std::nullopt;
    }
    bucket& target = found->second;
    this->prepare_bucket(target, now);
    target.lender_until = now + this->options.lender_life;
    return this->room_of(workspace, target, now);
}

double demand_limiter::release_tokens(const std::string& workspace, double wanted, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || !found->second.division.lent() ||
        !this->reports(found->second, now)) {
        return 0;
    }
    bucket& from = found->second;
    this->refill(from, now);
    double most = from.standing_by ? from.tokens / 2 : from.tokens;
    double given = std::clamp(most, 0.0, std::max(0.0, wanted));
    from.tokens -= given;
    return given;
}

void demand_limiter::add_tokens(const std::string& workspace, double tokens, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || !found->second.division.lent() ||
        !this->reports(found->second, now) || !std::isfinite(tokens)) {
        return;
    }
    bucket& target = found->second;
    this->refill(target, now);
    target.tokens += std::max(0.0, tokens);
    this->refill(target, now);  // Cuts what is above the capacity.
}

demand_decision demand_limiter::admit_as_lender(const std::string& workspace, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return request_admitted{};
    }
    bucket& target = found->second;
    this->prepare_bucket(target, now);
    target.lender_until = now + this->options.lender_life;
    return this->take(target, now);
}

void demand_limiter::prepare_bucket(bucket& target, mono_time now) {
    if (!this->reports(target, now)) {
        // The lender before may have used its whole bucket just now.
        target.tokens = 0;
        target.level = std::max(0.0, target.division.capacity());
        target.demand = 0;
        target.total = 0;
        target.own_in_total = 0;
        target.holders = 0;
        target.counted_at = now;
    }
    // Not before most of the fleet is heard: a daemon without others must begin without tokens.
    if (target.division.lent() && now < target.new_until && this->most_heard(now)) {
        target.new_until = mono_time::min();
        double gained = target.division.fleet_rate() * seconds(this->options.start_gap);
        target.tokens += gained / target.division.parts();
    }
}

demand_decision demand_limiter::admit_without_lender(const std::string& workspace, mono_time now) {
    {
        absl::MutexLock lock(&this->mutex);
        if (this->totals_valid(now)) {
            return request_over_limit{.retry_after = this->options.shortest_return};
        }
    }
    return this->admit_as_lender(workspace, now);
}

demand_decision demand_limiter::take(bucket& from, mono_time now) {
    ++from.arrived;
    this->refill(from, now);
    if (from.tokens >= 1) {
        from.tokens -= 1;
        ++from.admitted;
        return request_admitted{};
    }
    constexpr double smallest_share = 1e-3;
    std::chrono::duration<double> wait((1 - from.tokens) /
                                       std::max(this->share_of(from, now), smallest_share));
    auto limit = std::chrono::duration<double>(this->options.longest_return);
    auto retry = std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, limit));
    return request_over_limit{.retry_after = std::max(retry, this->options.shortest_return)};
}

messages::demand_report demand_limiter::make_report(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    bool first = this->reported_at == mono_time::min();
    double interval =
        first ? seconds(this->options.report_interval) : seconds_between(this->reported_at, now);
    this->reported_at = now;
    messages::demand_report report{.round = ++this->round, .demands = {}};
    for (auto& [name, each] : this->buckets) {
        if (!this->reports(each, now)) {
            continue;
        }
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

void demand_limiter::apply_totals(const messages::demand_totals& totals, mono_time now) {
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
        each.holders = 0;
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
        target.holders = each.holders;
        double rate = target.division.fleet_rate();
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
