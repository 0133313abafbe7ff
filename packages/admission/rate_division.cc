// Implements the division of a rate into buckets.

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

// Requests per window that the tolerance leaves for the buckets: the allowed number minus what is
// admitted at the fleet's rate, before the totals include it, and from the part of the buckets that
// follows their shares.
double tolerance_for_buckets(const demand_limiter_options& options, const workspace_limit& limit,
                             double fleet_rate) {
    const limit_tolerance& allowed = options.tolerance;
    double window_s = seconds(allowed.window);
    double max_requests =
        (limit.rate * window_s + limit.burst) * (1 + allowed.overage) + allowed.slack;
    double time_s = window_s + seconds(options.report_interval) + seconds(options.bucket_duration);
    return max_requests - fleet_rate * time_s;
}

// Whether this daemon may admit requests of the workspace while isolated. A very small rate allows
// this to some daemons only; the workspace name decides which, so that the load is spread.
bool may_admit_isolated(const workspace_limit& limit, const fleet_topology& fleet, double window_s,
                        double fleet_rate) {
    double per_daemon = std::floor(1 + limit.rate * window_s / fleet.daemons);
    double max_daemons = std::floor(fleet_rate * window_s / per_daemon);
    std::uint64_t rank = (fleet.index + checksum64(limit.workspace)) % fleet.daemons;
    return static_cast<double>(rank) < max_daemons;
}

}  // namespace

rate_division::rate_division(const demand_limiter_options& options, const workspace_limit& limit,
                             const fleet_topology& fleet)
    : buckets(fleet.daemons) {
    double overage = options.tolerance.overage;
    this->rate = limit.rate * (1 + overage * options.used_overage_fraction);
    double available = tolerance_for_buckets(options, limit, this->rate);
    double requests_per_bucket = options.bucket_fraction * available / fleet.daemons;
    this->depth =
        std::clamp(requests_per_bucket, options.min_bucket_requests, options.max_bucket_requests);
    this->isolated_depth = this->depth;
    this->with_lenders =
        fleet.daemons > fleet.domains && requests_per_bucket < options.min_divided_requests;
    if (this->with_lenders) {
        this->buckets = fleet.domains;
        this->rate = limit.rate * (1 + overage * options.used_overage_with_lenders);
        available = tolerance_for_buckets(options, limit, this->rate);
        this->depth = std::max(options.min_bucket_requests,
                               options.bucket_fraction_with_lenders * available / fleet.domains);
        bool isolated =
            may_admit_isolated(limit, fleet, seconds(options.tolerance.window), this->rate);
        this->isolated_depth = isolated ? 1 : 0;
    }
    double lag_s = seconds(options.bucket_duration) + 2 * seconds(options.report_interval);
    this->fleet_bucket_depth = (available - this->depth * this->buckets) /
                               (1 + lag_s / seconds(options.surplus_release_time));
}

}  // namespace trefoil::admission
