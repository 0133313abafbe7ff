// Implements the limiter whose shares follow demand.

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
                         bucket{.limit = each, .refilled_at = now, .division = division})
                .first->second;
        target.startup_until = now + this->options.startup_period;
        // The recent admissions of the fleet are unknown to a new process, so the level starts at
        // the capacity.
        target.level = std::max(0.0, division.capacity());
        if (!division.uses_lenders()) {
            // Rounded down, because a fraction of a token admits no request.
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
           now - this->totals_at <= this->options.totals_lifetime;
}

bool demand_limiter::majority_heard(mono_time now) const {
    return this->totals_valid(now) && this->heard > this->missing;
}

// Number of buckets whose reports are in the totals. A failure domain counts in proportion to its
// daemons that were heard. If daemons of a domain disagree about their lender, the domain has
// several lenders, and all of them together hold no more than the usual depth.
double demand_limiter::reporting_buckets(const bucket& each) const {
    if (!each.division.uses_lenders()) {
        return this->heard;
    }
    double part = static_cast<double>(this->heard) / (this->heard + this->missing);
    return std::max({1.0, each.division.bucket_count() * part, static_cast<double>(each.holders)});
}

double demand_limiter::share_of(const bucket& each, mono_time now) const {
    if (!this->totals_valid(now)) {
        return each.limit.rate / std::max(this->fleet.daemons, this->heard + this->missing);
    }
    double heard_part = static_cast<double>(this->heard) / (this->heard + this->missing);
    // The level already counts daemons without reports as using their part of the rate. Its
    // remainder belongs to the heard daemons alone, so they get only their part of the capacity.
    double surplus = heard_part * each.division.capacity() - each.level;
    double available = std::max(heard_part * each.division.fleet_rate() +
                                    surplus / seconds(this->options.surplus_release_time),
                                heard_part * each.limit.rate * this->options.min_rate_fraction);
    double bucket_count = this->reporting_buckets(each);
    if (each.total <= available && each.total > 0) {
        double part = (1.0 / bucket_count + each.own_in_total / each.total) / 2;
        return each.own_in_total + (available - each.total) * part;
    }
    return each.total > 0 ? available * each.own_in_total / each.total : available / bucket_count;
}

// A lender whose totals include only some daemons holds only their part of the depth.
double demand_limiter::lender_depth(const bucket& each) const {
    double heard_part = static_cast<double>(this->heard) / (this->heard + this->missing);
    double lenders = this->reporting_buckets(each);
    return each.division.bucket_requests() * each.division.bucket_count() * heard_part / lenders;
}

double demand_limiter::bucket_capacity(const bucket& each, mono_time now) const {
    const rate_division& division = each.division;
    if (!division.uses_lenders()) {
        return division.bucket_requests() +
               this->share_of(each, now) * seconds(this->options.bucket_duration);
    }
    if (!this->totals_valid(now)) {
        return division.isolated_requests();
    }
    double depth = this->lender_depth(each) +
                   this->share_of(each, now) * seconds(this->options.bucket_duration);
    return std::max(depth, division.isolated_requests());
}

// The minimum demand of a small rate must not look like a demand above the rate.
double demand_limiter::reported_demand(const bucket& each) const {
    double even_share =
        this->options.min_demand_fraction * each.limit.rate / each.division.bucket_count();
    return std::max(each.demand, std::min(this->options.min_demand, even_share));
}

bool demand_limiter::reports_demand(const bucket& each, mono_time now) const {
    return !each.division.uses_lenders() || each.standby || now < each.lender_until;
}

void demand_limiter::refill(bucket& each, mono_time now) {
    double share = this->share_of(each, now);
    double capacity = this->bucket_capacity(each, now);
    each.tokens = std::min(capacity, each.tokens + share * seconds_between(each.refilled_at, now));
    each.refilled_at = now;
}

demand_decision demand_limiter::try_admit(const std::string& workspace, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return request_admitted{};
    }
    if (found->second.division.uses_lenders()) {
        return request_needs_lender{};
    }
    return this->take_token(found->second, now);
}

std::vector<std::string> demand_limiter::lender_workspaces() {
    absl::MutexLock lock(&this->mutex);
    std::vector<std::string> names;
    for (const auto& [name, each] : this->buckets) {
        if (each.division.uses_lenders()) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<token_headroom> demand_limiter::set_standby_workspaces(
    const std::vector<std::string>& workspaces, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    std::vector<token_headroom> started;
    absl::flat_hash_set<std::string> named;
    // A daemon that receives few reports of others may consider itself the lender of every
    // workspace.
    if (this->majority_heard(now)) {
        named.insert(workspaces.begin(), workspaces.end());
    }
    for (auto& [name, each] : this->buckets) {
        bool is_standby = each.division.uses_lenders() && named.contains(name);
        if (is_standby) {
            this->prepare_bucket(each, now);
        }
        if (is_standby && !each.standby) {
            started.push_back(this->headroom_of(name, each, now));
        }
        if (each.standby && !is_standby) {
            each.lender_until =
                std::max(each.lender_until, now + this->options.handover_grace_period);
        }
        each.standby = is_standby;
    }
    return started;
}

token_headroom demand_limiter::headroom_of(const std::string& workspace, bucket& each,
                                           mono_time now) {
    this->refill(each, now);
    double headroom = this->bucket_capacity(each, now) - each.tokens;
    return {.workspace = workspace, .tokens = std::max(0.0, headroom)};
}

std::optional<token_headroom> demand_limiter::start_lending(const std::string& workspace,
                                                            mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || this->reports_demand(found->second, now) ||
        !this->majority_heard(now)) {
        return std::nullopt;
    }
    bucket& target = found->second;
    this->prepare_bucket(target, now);
    target.lender_until = now + this->options.lender_idle_timeout;
    return this->headroom_of(workspace, target, now);
}

double demand_limiter::release_tokens(const std::string& workspace, double wanted, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || !found->second.division.uses_lenders() ||
        !this->reports_demand(found->second, now)) {
        return 0;
    }
    bucket& from = found->second;
    this->refill(from, now);
    double releasable = from.standby ? from.tokens / 2 : from.tokens;
    double released = std::clamp(releasable, 0.0, std::max(0.0, wanted));
    from.tokens -= released;
    return released;
}

void demand_limiter::add_tokens(const std::string& workspace, double tokens, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end() || !found->second.division.uses_lenders() ||
        !this->reports_demand(found->second, now) || !std::isfinite(tokens)) {
        return;
    }
    bucket& target = found->second;
    this->refill(target, now);
    target.tokens += std::max(0.0, tokens);
    this->refill(target, now);  // Drops tokens above the capacity.
}

demand_decision demand_limiter::admit_as_lender(const std::string& workspace, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        return request_admitted{};
    }
    bucket& target = found->second;
    this->prepare_bucket(target, now);
    target.lender_until = now + this->options.lender_idle_timeout;
    return this->take_token(target, now);
}

void demand_limiter::prepare_bucket(bucket& target, mono_time now) {
    if (!this->reports_demand(target, now)) {
        // The previous lender may have spent its whole bucket just now.
        target.tokens = 0;
        target.level = std::max(0.0, target.division.capacity());
        target.demand = 0;
        target.total = 0;
        target.own_in_total = 0;
        target.holders = 0;
        target.refilled_at = now;
    }
    // Only after most of the fleet was heard: an isolated daemon must start without tokens.
    if (target.division.uses_lenders() && now < target.startup_until && this->majority_heard(now)) {
        target.startup_until = mono_time::min();
        double gained = target.division.fleet_rate() * seconds(this->options.startup_credit_time);
        target.tokens += gained / target.division.bucket_count();
    }
}

demand_decision demand_limiter::admit_without_lender(const std::string& workspace, mono_time now) {
    {
        absl::MutexLock lock(&this->mutex);
        if (this->totals_valid(now)) {
            return request_over_limit{.retry_after = this->options.min_retry_after};
        }
    }
    return this->admit_as_lender(workspace, now);
}

demand_decision demand_limiter::take_token(bucket& from, mono_time now) {
    ++from.arrived;
    this->refill(from, now);
    if (from.tokens >= 1) {
        from.tokens -= 1;
        ++from.admitted;
        return request_admitted{};
    }
    constexpr double min_share = 1e-3;
    std::chrono::duration<double> wait((1 - from.tokens) /
                                       std::max(this->share_of(from, now), min_share));
    auto limit = std::chrono::duration<double>(this->options.max_retry_after);
    auto retry = std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, limit));
    return request_over_limit{.retry_after = std::max(retry, this->options.min_retry_after)};
}

messages::demand_report demand_limiter::make_report(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    bool first = this->reported_at == mono_time::min();
    double interval =
        first ? seconds(this->options.report_interval) : seconds_between(this->reported_at, now);
    this->reported_at = now;
    messages::demand_report report{.round = ++this->round, .demands = {}};
    for (auto& [name, each] : this->buckets) {
        if (!this->reports_demand(each, now)) {
            continue;
        }
        double latest = interval > 0 ? static_cast<double>(each.arrived) / interval : each.demand;
        double admitted = interval > 0 ? static_cast<double>(each.admitted) / interval : 0;
        each.arrived = 0;
        each.admitted = 0;
        each.demand += this->options.demand_smoothing * (latest - each.demand);
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
    // Without valid totals the level is unknown. The gap counts as used at exactly the rate, which
    // leaves the level unchanged.
    double elapsed = this->totals_valid(now) ? seconds_between(this->totals_at, now) : 0;
    for (auto& [name, each] : this->buckets) {
        this->refill(each, now);
        each.own_in_total = this->reported_demand(each);
        each.total = each.own_in_total;
        each.holders = 0;
    }
    // Daemons without reports count as using their even shares.
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
