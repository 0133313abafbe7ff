// Options of shares that follow demand.
//
// Example:
//
//     admission::demand_limiter_options options{.tolerance = {.overage = 0.25, .slack = 20}};

#ifndef TREFOIL_ADMISSION_DEMAND_OPTIONS_H_
#define TREFOIL_ADMISSION_DEMAND_OPTIONS_H_

#include <chrono>

namespace trefoil::admission {

// How far the admissions of a workspace may exceed its limit, when they are counted over any
// `window`: at most (rate * window + burst) * (1 + overage) + slack.
struct limit_tolerance {
    std::chrono::milliseconds window{5000};
    double overage = 0;  // Share of the limit.
    double slack = 0;    // Requests.

    friend bool operator==(const limit_tolerance&, const limit_tolerance&) = default;
};

struct demand_limiter_options {
    limit_tolerance tolerance = {};
    // Part of the overage by which the fleet's rate is raised. The rest gives room to buckets: a
    // workspace within its rate needs depth and not rate.
    double used_overage = 0.25;
    std::chrono::milliseconds report_interval{250};
    // Weight of the latest interval in the measured demand. With intervals of 250 ms the demand
    // follows a step within half a second.
    double latest_weight = 0.5;
    // Demand that a daemon without requests reports, in requests per second, so that its first
    // requests find a share.
    double least_demand = 0.5;
    // The least demand of all daemons together is at most this part of the rate. With 91 daemons
    // 0.5 each is above the whole rate of most workspaces, which then counted as exceeded.
    double least_demand_part = 0.05;
    // Time over which the free part of the fleet's bucket is handed out. Three times the age of
    // totals, so that the level is known before it passes the capacity.
    std::chrono::milliseconds spread_time{1000};
    // A daemon's own bucket holds this time at its share, and some requests: arrivals at one of
    // many daemons are so few that several in a row are usual. It holds as many requests as the
    // tolerance has room for, within these bounds. With three, a fleet of 12 refuses under 1% of
    // a workspace that asks for 1/1.6 of its rate (demand_limiter_test).
    std::chrono::milliseconds bucket_time{300};
    double bucket_part = 0.85;  // Of that room; the rest evens out the fleet's own level.
    double fewest_bucket_requests = 1;
    double most_bucket_requests = 3;
    // A rate whose room gives each daemon less than this many requests is lent (rate_division.h).
    double least_divided_requests = 4;
    // The same two parts for a rate that is lent.
    double used_overage_lent = 0.75;
    double bucket_part_lent = 0.7;
    // A lender of a new process begins with what its domain's part of the rate gives in this time,
    // in which neither its predecessor nor itself has admitted: a process takes longer than this
    // from the end of the one before to its first totals. Without it callers that come back after
    // a restart of the fleet are refused until shares have filled the buckets.
    std::chrono::milliseconds start_gap{500};
    // How long a process is new.
    std::chrono::milliseconds start_time{3000};
    // How long a lender that nobody asks keeps its bucket. Callers of a workspace of 2/s leave a
    // failure domain alone for several seconds now and then.
    std::chrono::milliseconds lender_life{10000};
    // How long a lender that would not be asked any more keeps its bucket at least, for the next
    // one to take its tokens over. Views of who lives differ by about a second.
    std::chrono::milliseconds take_over_time{1000};
    // Least part of the rate that the fleet uses while its bucket is over its capacity.
    double least_rate = 0.5;
    // Age at which totals say nothing any more. Twice the longest gap of an exchange with one loss.
    std::chrono::milliseconds totals_life{1500};
    // Bounds of the time after which a refused caller may come back.
    std::chrono::milliseconds shortest_return{100};
    std::chrono::milliseconds longest_return{2000};
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_DEMAND_OPTIONS_H_
