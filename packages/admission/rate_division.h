// Divides the rate of a workspace among token buckets, and bounds what all buckets may hold
// together so that the limit stays within its tolerance.
//
// Example:
//
//     admission::rate_division division(options, limit, {.daemons = 91, .domains = 4});
//     if (division.uses_lenders()) { ... }  // A request needs a token of its domain's lender.
//
// If each daemon's part of the rate allows a bucket of several requests, every daemon has a bucket.
// Otherwise one daemon of each failure domain, the lender, holds the bucket of its domain, and the
// other daemons of the domain request a token from it for each request. Random arrivals need a
// depth of several requests in each bucket, and the tolerance of a small rate allows that for a few
// buckets only.
//
// With n = `bucket_count` buckets (daemons, or failure domains with lenders) the number of requests
// admitted in a window is at most
//
//     fleet_rate * (window + report_interval) + capacity
//         + bucket_requests * n + bucket_duration * (fleet_rate + capacity / surplus_release_time)
//         + 2 * report_interval * capacity / surplus_release_time
//     <= (rate * window + burst) * (1 + overage) + slack.
//
// `capacity` is the depth of the fleet-wide bucket that every daemon estimates (demand_limiter.h).
// The last three terms bound the contents of full buckets, the excess of shares that were computed
// from different totals while demand changes, and the admissions that the totals do not include
// yet: a report passes two collectors, which takes up to two intervals.
//
// A daemon that receives neither totals nor an answer of a lender is isolated. It holds at most one
// token of a rate with lenders, and gains it from zero at rate / daemons after its last totals. So
// it admits at most floor(1 + rate * window / daemons) requests in a window, and by the time it has
// a token, the lenders use only that part of the rate that belongs to the daemons they receive
// reports from. The number of daemons that may admit requests while isolated is therefore limited
// to what fits into the fleet's rate.

#ifndef TREFOIL_ADMISSION_RATE_DIVISION_H_
#define TREFOIL_ADMISSION_RATE_DIVISION_H_

#include <cstdint>

#include "admission/demand_options.h"
#include "admission/limit_options.h"

namespace trefoil::admission {

// The known size of the fleet and the position of this daemon in it.
struct fleet_topology {
    std::uint32_t daemons = 1;
    std::uint32_t domains = 1;  // Failure domains that have daemons.
    std::uint32_t index = 0;    // Position of this daemon, in [0, daemons).

    friend bool operator==(const fleet_topology&, const fleet_topology&) = default;
};

class rate_division {
public:
    rate_division(const demand_limiter_options& options, const workspace_limit& limit,
                  const fleet_topology& fleet);

    // Whether the lender of each failure domain holds the bucket instead of every daemon.
    bool uses_lenders() const { return this->with_lenders; }
    // Number of buckets that the rate is divided among.
    double bucket_count() const { return this->buckets; }
    // Requests per second.
    double fleet_rate() const { return this->rate; }
    // Depth of the fleet-wide bucket, in requests.
    double capacity() const { return this->fleet_bucket_depth; }
    // Depth of one bucket without the part that follows its share, in requests.
    double bucket_requests() const { return this->depth; }
    // Tokens that this daemon may hold while it is isolated.
    double isolated_requests() const { return this->isolated_depth; }

    friend bool operator==(const rate_division&, const rate_division&) = default;

private:
    bool with_lenders = false;
    double buckets = 1;
    double rate = 0;
    double depth = 0;
    // Negative when even the minimum depth of all buckets exceeds the tolerance.
    double fleet_bucket_depth = 0;
    double isolated_depth = 0;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_RATE_DIVISION_H_
