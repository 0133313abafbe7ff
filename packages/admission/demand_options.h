// Options of the rate limits whose shares follow demand (demand_limiter.h).
//
// Example:
//
//     admission::demand_limiter_options options{.tolerance = {.overage = 0.25, .slack = 20}};

#ifndef TREFOIL_ADMISSION_DEMAND_OPTIONS_H_
#define TREFOIL_ADMISSION_DEMAND_OPTIONS_H_

#include <chrono>

namespace trefoil::admission {

// Allowed excess of a workspace over its limit. The admissions in any `window` are at most (rate *
// window + burst) * (1 + overage) + slack.
struct limit_tolerance {
    std::chrono::milliseconds window{5000};
    double overage = 0;  // Fraction of the limit.
    double slack = 0;    // Requests.

    friend bool operator==(const limit_tolerance&, const limit_tolerance&) = default;
};

struct demand_limiter_options {
    limit_tolerance tolerance = {};
    // Fraction of the overage by which the fleet's rate is raised. The rest is left for bucket
    // depth, because a workspace within its rate needs depth rather than rate.
    double used_overage_fraction = 0.25;
    std::chrono::milliseconds report_interval{250};
    // Weight of the latest interval in the smoothed demand. With intervals of 250 ms the estimate
    // follows a step within half a second.
    double demand_smoothing = 0.5;
    // Minimum demand in requests per second that a daemon reports, so that its first requests find
    // a share.
    double min_demand = 0.5;
    // Upper bound of the sum of all minimum demands, as a fraction of the rate. With 91 daemons,
    // 0.5/s each exceeds the whole rate of most workspaces, which would then count as overloaded.
    double min_demand_fraction = 0.05;
    // Time over which the unused capacity of the fleet-wide bucket is distributed as additional
    // rate. Three times the age of totals, so that the level is known before it exceeds the
    // capacity.
    std::chrono::milliseconds surplus_release_time{1000};
    // The depth of a daemon's bucket is its share times `bucket_duration` plus a number of
    // requests. With many daemons each one sees so few arrivals that several in a row are common.
    // The number of requests is as large as the tolerance allows, between the minimum and the
    // maximum below. With three requests, a fleet of 12 refuses under 1% of a workspace that sends
    // 1/1.6 of its rate (demand_limiter_test).
    std::chrono::milliseconds bucket_duration{300};
    // Fraction of the tolerance that buckets use; the rest is for the fleet-wide bucket.
    double bucket_fraction = 0.85;
    double min_bucket_requests = 1;
    double max_bucket_requests = 3;
    // A rate that allows each daemon fewer requests of depth than this uses lenders
    // (rate_division.h).
    double min_divided_requests = 4;
    // `used_overage_fraction` and `bucket_fraction` of a rate that uses lenders.
    double used_overage_with_lenders = 0.75;
    double bucket_fraction_with_lenders = 0.7;
    // A lender in a new process starts with the tokens that its domain's part of the rate gives in
    // this time. Neither the previous process nor this one has admitted requests for that long,
    // because more time passes between the end of a process and the first totals of the next one.
    // Without these tokens, calls after a restart of the fleet are refused until the shares have
    // filled the buckets.
    std::chrono::milliseconds startup_credit_time{500};
    // Time since the first limit of a workspace in a process, in which its lender may use
    // `startup_credit_time`.
    std::chrono::milliseconds startup_period{3000};
    // Time for which a lender keeps its bucket without requests. With a workspace of 2/s a failure
    // domain can be without calls for several seconds.
    std::chrono::milliseconds lender_idle_timeout{10000};
    // Minimum time for which a lender keeps its bucket after another daemon became the lender, so
    // that the tokens can be handed over. Daemons learn about membership changes within about a
    // second of each other.
    std::chrono::milliseconds handover_grace_period{1000};
    // Minimum fraction of the rate that the fleet uses while the level of the fleet-wide bucket
    // exceeds its capacity.
    double min_rate_fraction = 0.5;
    // Age at which totals become invalid. Twice the longest interval between two totals when one
    // message is lost.
    std::chrono::milliseconds totals_lifetime{1500};
    // Bounds of the time after which a refused caller is told to retry.
    std::chrono::milliseconds min_retry_after{100};
    std::chrono::milliseconds max_retry_after{2000};
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_DEMAND_OPTIONS_H_
