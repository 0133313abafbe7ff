// Implements the division of a rate.

#include "admission/rate_division.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/hash.h"

namespace trefoil::admission {

namespace {

double seconds(std::chrono::duration<double> time) {
    return time.count();
}

// What may be admitted in a window beyond the fleet's rate, and beyond what is admitted at that
// rate before the totals tell and from the part of the buckets that follows their shares.
double free_of_rate(const demand_limiter_options& options, const workspace_limit& limit,
                    double fleet_rate) {
    const limit_tolerance& allowed = options.tolerance;
    double window_s = seconds(allowed.window);
    double most = (limit.rate * window_s + limit.burst) * (1 + allowed.overage) + allowed.slack;
    double time_s = window_s + seconds(options.report_interval) + seconds(options.bucket_time);
    return most - fleet_rate * time_s;
}

// Daemons that may hold a token without hearing a lender take turns by workspace, because of a very
// small rate not all of them may.
bool may_admit_alone(const workspace_limit& limit, const fleet_topology& fleet, double window_s,
                     double fleet_rate) {
    double each = std::floor(1 + limit.rate * window_s / fleet.daemons);
    double most = std::floor(fleet_rate * window_s / each);
    std::uint64_t turn = (fleet.index + checksum64(limit.workspace)) % fleet.daemons;
    return static_cast<double>(turn) < most;
}

}  // namespace

rate_division::rate_division(const demand_limiter_options& options, const workspace_limit& limit,
                             const fleet_topology& fleet)
    : part_count(fleet.daemons) {
    double overage = options.tolerance.overage;
    this->rate = limit.rate * (1 + overage * options.used_overage);
    double free = free_of_rate(options, limit, this->rate);
    double room = options.bucket_part * free / fleet.daemons;
    this->depth = std::clamp(room, options.fewest_bucket_requests, options.most_bucket_requests);
    this->alone_depth = this->depth;
    this->is_lent = fleet.daemons > fleet.domains && room < options.least_divided_requests;
    if (this->is_lent) {
        this->part_count = fleet.domains;
        this->rate = limit.rate * (1 + overage * options.used_overage_lent);
        free = free_of_rate(options, limit, this->rate);
        this->depth = std::max(options.fewest_bucket_requests,
                               options.bucket_part_lent * free / fleet.domains);
        bool alone = may_admit_alone(limit, fleet, seconds(options.tolerance.window), this->rate);
        this->alone_depth = alone ? 1 : 0;
    }
    double lag_s = seconds(options.bucket_time) + 2 * seconds(options.report_interval);
    this->fleet_depth =
        (free - this->depth * this->part_count) / (1 + lag_s / seconds(options.spread_time));
}

}  // namespace trefoil::admission
