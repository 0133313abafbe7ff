// Limits the rate of workspaces over a fleet whose size is not fixed. Each daemon admits requests
// from a share of the rate, which follows from its own demand in proportion to the demand of the
// fleet. Demand is the rate at which callers send requests, admitted or not.
//
// Example:
//
//     admission::demand_limiter limiter;
//     limiter.set_limits(limits, now);
//     auto outcome = limiter.try_admit("north", now);      // Sends no message.
//     send(collector, limiter.make_report(now));           // About every report_interval.
//     limiter.apply_totals(totals, now);
//
// The collector (demand_collector.h) answers each report with totals: the sums over the fleet.
//
// Each daemon keeps its own estimate of one bucket for the whole fleet. The level of this bucket
// rises with the admissions in the totals and falls with the rate R, which is the rate of the limit
// plus a part of its tolerated overage (rate_division::fleet_rate()).
//
// Let d be the demand of a daemon and D that of the fleet in the same totals, `heard` the number of
// daemons whose reports are in the totals, and `missing` the number of known daemons without a
// report. Until the next totals the share of the daemon is
//
//     heard_part = heard / (heard + missing)
//     available = heard_part * R + (heard_part * capacity - level) / surplus_release_time
//     share = d + (available - D) * (1 / heard + d / D) / 2     when D <= available,
//             d * available / D                                 otherwise.
//
// `available` is never less than heard_part * min_rate_fraction times the rate of the limit. The
// level is not multiplied by `heard_part`, because it already includes the daemons without reports.
// Without valid totals the share is an even part of the rate of the limit.
//
// If the rate uses lenders (rate_division.h), daemons request tokens from the lender of their
// failure domain, and these requests are the lender's demand. The same formulas hold with lenders
// instead of daemons.
//
// Half of the unused rate is divided in proportion to demand, because the variation of arrivals is
// proportional to their number. The other half is divided evenly, so that callers can move to any
// daemon.
//
// Both d and D come from the same totals. A rise of demand that is not in the totals yet therefore
// does not enlarge any share. Daemons without reports are counted as using R / (heard + missing)
// each. A daemon without totals uses no more than that, and the shares of two partitions of a fleet
// without unused capacity add up to R.

#ifndef TREFOIL_ADMISSION_DEMAND_LIMITER_H_
#define TREFOIL_ADMISSION_DEMAND_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "admission/demand_options.h"
#include "admission/limit_options.h"
#include "admission/rate_division.h"
#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::admission {

struct request_admitted {
    friend bool operator==(const request_admitted&, const request_admitted&) = default;
};

// The workspace has no tokens left at this daemon.
struct request_over_limit {
    std::chrono::milliseconds retry_after{0};

    friend bool operator==(const request_over_limit&, const request_over_limit&) = default;
};

// The rate uses lenders: the lender of the failure domain must decide.
struct request_needs_lender {
    friend bool operator==(const request_needs_lender&, const request_needs_lender&) = default;
};

using demand_decision = std::variant<request_admitted, request_over_limit, request_needs_lender>;

// The number of tokens that fit into the bucket of a new lender.
struct token_headroom {
    std::string workspace;
    double tokens = 0;

    friend bool operator==(const token_headroom&, const token_headroom&) = default;
};

// State of one workspace for the administration interface.
struct demand_state {
    double demand = 0;  // Of this daemon, in requests per second.
    double total = 0;   // Of the fleet, in requests per second; 0 when not known.
    double level = 0;   // Of the fleet-wide bucket, in requests.
    double share = 0;   // Requests per second that this daemon admits.
    double tokens = 0;

    friend bool operator==(const demand_state&, const demand_state&) = default;
};

// Safe for concurrent use.
class demand_limiter {
public:
    explicit demand_limiter(demand_limiter_options initial = {}) : options(initial) {}

    // Replaces all limits. Requests of workspaces without a limit are always admitted.
    void set_limits(const std::vector<workspace_limit>& limits, mono_time now);

    // Sets the known size of the fleet.
    void set_fleet(const fleet_topology& known);

    // Decides on a request of a caller.
    demand_decision try_admit(const std::string& workspace, mono_time now);

    // Returns the workspaces whose rates use lenders.
    std::vector<std::string> lender_workspaces();

    // Sets the workspaces for which this daemon is the standby lender: the daemon that requests of
    // its failure domain would go to, in its own view. Their buckets fill even without requests. To
    // be called before each make_report(). Returns the headroom of each workspace that this daemon
    // starts to lend, for the token handover from the previous lender.
    std::vector<token_headroom> set_standby_workspaces(const std::vector<std::string>& workspaces,
                                                       mono_time now);

    // Starts to lend because of a request. Returns the headroom for the token handover, or nothing
    // if the bucket was already in use or most of the fleet has not been heard.
    std::optional<token_headroom> start_lending(const std::string& workspace, mono_time now);

    // Removes up to `wanted` tokens for the new lender and returns their number. A daemon that is
    // the standby lender in its own view keeps half of its tokens.
    double release_tokens(const std::string& workspace, double wanted, mono_time now);

    // Adds tokens that the previous lender released.
    void add_tokens(const std::string& workspace, double tokens, mono_time now);

    // Decides as the lender of the failure domain, and starts to lend if necessary.
    demand_decision admit_as_lender(const std::string& workspace, mono_time now);

    // Decides when no lender has answered. Refuses while totals arrive; otherwise decides from an
    // even share.
    demand_decision admit_without_lender(const std::string& workspace, mono_time now);

    // Measures the demand since the previous report, and returns the report for the collector.
    messages::demand_report make_report(mono_time now);

    // Applies the collector's answer to the latest report. Answers to earlier reports are ignored.
    void apply_totals(const messages::demand_totals& totals, mono_time now);

    std::optional<demand_state> inspect(const std::string& workspace, mono_time now);

private:
    struct bucket {
        workspace_limit limit;
        std::uint64_t arrived = 0;   // Requests since the last report.
        std::uint64_t admitted = 0;  // Admitted requests since the last report.
        double demand = 0;           // Smoothed requests per second, as reported last.
        double total = 0;            // Demand of the fleet in the latest totals.
        double own_in_total = 0;     // This daemon's demand in these totals.
        std::uint32_t holders = 0;   // Daemons with a bucket, in these totals.
        // Level of the fleet-wide bucket. It can exceed the capacity when admissions appear in the
        // totals late.
        double level = 0;
        double tokens = 0;
        mono_time refilled_at;
        rate_division division;
        // Time until which this daemon is the lender because it received a request.
        mono_time lender_until = mono_time::min();
        // Whether this daemon is the standby lender, with or without requests.
        bool standby = false;
        // Time until which this daemon as a lender may add the tokens of `startup_credit_time`;
        // reset after the first use.
        mono_time startup_until = mono_time::min();
    };

    // The demand that this daemon reports.
    double reported_demand(const bucket& each) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double bucket_requests(const workspace_limit& limit) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double fleet_capacity(const workspace_limit& limit) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Whether the totals are valid and include the reports of most of the fleet.
    bool majority_heard(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool totals_valid(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double share_of(const bucket& each, mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double bucket_capacity(const bucket& each, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double reporting_buckets(const bucket& each) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool reports_demand(const bucket& each, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double lender_depth(const bucket& each) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    token_headroom headroom_of(const std::string& workspace, bucket& each, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void prepare_bucket(bucket& target, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    demand_decision take_token(bucket& from, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void refill(bucket& each, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const demand_limiter_options options;
    absl::Mutex mutex;
    // Guarded by mutex.
    absl::flat_hash_map<std::string, bucket> buckets;  // By workspace, limited ones only.
    fleet_topology fleet;
    std::uint32_t heard = 0;
    std::uint32_t missing = 0;
    mono_time totals_at = mono_time::min();
    mono_time reported_at = mono_time::min();
    std::uint64_t round = 0;  // Of the latest report.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_DEMAND_LIMITER_H_
