// How the rate of a workspace is divided among those that admit its requests, and what all of them
// may hold together so that the limit stays within its tolerance.
//
// Example:
//
//     admission::rate_division division(options, limit, {.daemons = 91, .domains = 4});
//     if (division.lent()) { ... }    // A request needs a token of the failure domain's lender.
//
// A rate that gives each daemon a bucket of several requests is divided among the daemons. A
// smaller one is lent: one daemon of each failure domain, the lender, holds the domain's part, and
// the others ask it for each request. Random arrivals need several requests of depth in each
// bucket, and the tolerance of a small rate has room for that in a few buckets only.
//
// With `parts` buckets (daemons, or failure domains when lent) what may be admitted in a window is
//
//     fleet_rate * (window + report_interval) + capacity
//         + bucket_requests * parts + bucket_time * (fleet_rate + capacity / spread_time)
//         + 2 * report_interval * capacity / spread_time
//     <= (rate * window + burst) * (1 + overage) + slack.
//
// `capacity` is the depth of the fleet's own bucket. The last three terms are what full buckets
// hold, what the shares of different totals add up to beyond the rate while demand moves, and what
// is admitted before the totals tell: a report crosses two collectors, so up to two intervals.
//
// A daemon that hears no lender holds at most one token of a lent rate, which it gains from zero at
// rate / daemons after the last totals. Such a daemon admits at most floor(1 + rate * window /
// daemons) in a window, and by the time that it has a token the lenders use only the part of the
// rate of those that they hear. So as many daemons may do so as stay within the fleet's rate.

#ifndef TREFOIL_ADMISSION_RATE_DIVISION_H_
#define TREFOIL_ADMISSION_RATE_DIVISION_H_

#include <cstdint>

#include "admission/demand_options.h"
#include "admission/limit_options.h"

namespace trefoil::admission {

// The fleet as one daemon knows it.
struct fleet_topology {
    std::uint32_t daemons = 1;
    std::uint32_t domains = 1;  // With daemons.
    std::uint32_t index = 0;    // Of this daemon among them.

    friend bool operator==(const fleet_topology&, const fleet_topology&) = default;
};

class rate_division {
public:
    rate_division(const demand_limiter_options& options, const workspace_limit& limit,
                  const fleet_topology& fleet);

    bool lent() const { return this->is_lent; }
    // Buckets that the rate is divided among.
    double parts() const { return this->part_count; }
    // Requests per second.
    double fleet_rate() const { return this->rate; }
    double capacity() const { return this->fleet_depth; }
    double bucket_requests() const { return this->depth; }
    // Tokens that this daemon may hold while it hears no other.
    double alone_requests() const { return this->alone_depth; }

    friend bool operator==(const rate_division&, const rate_division&) = default;

private:
    bool is_lent = false;
    double part_count = 1;
    double rate = 0;
    double depth = 0;
    double fleet_depth = 0;  // Below zero where the least depth of all buckets is too much.
    double alone_depth = 0;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_RATE_DIVISION_H_
