// Keeps a workspace within its rate over a fleet whose size is not fixed: each daemon admits from a
// share that follows what callers ask of it, as a part of what they ask of the whole fleet.
//
// Example:
//
//     admission::demand_limiter limiter;
//     limiter.set_limits(limits, now);
//     auto outcome = limiter.try_admit("north", now);      // At once, without a message.
//     send(collector, limiter.make_report(now));                // About every report_interval.
//     limiter.apply_totals(totals, now);
//
// Each daemon keeps its own estimate of one bucket for the fleet, which it fills with the
// admissions that the totals tell: its level rises with them and falls with the rate R. The rate
// that the fleet may use until the next totals is
//
//     fleet_rate = R + (capacity - level) / spread_time,
//
// and a daemon with its own demand d, the fleet's demand D, `heard` daemons in D and `missing` ones
// that exist but were not heard has the share
//
//     available = fleet_rate * heard / (heard + missing)
//     share = d + (available - D) * (1 / heard + d / D) / 2     when D <= available,
//             d * available / D                                 otherwise.
//
// Where the rate is lent (rate_division.h), daemons ask the lender of their failure domain, whose
// requests are then its own demand: the same formulas hold with lenders in the place of daemons.
//
// Half of what is free goes to where the callers are, because arrivals vary in proportion to their
// number; the other half lets callers come to any daemon.
//
// Both d and D come from the same answer of a collector, so that a rise of demand that nobody has
// added up yet enlarges no share. Daemons that are not heard keep R / (heard + missing) each, which
// is what such a daemon gives itself: so the shares of a fleet in two parts that do not hear each
// other add up to R.

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

// The workspace has used up its rate here.
struct request_over_limit {
    std::chrono::milliseconds retry_after{0};

    friend bool operator==(const request_over_limit&, const request_over_limit&) = default;
};

// The rate is lent: the lender of the failure domain decides.
struct request_needs_lender {
    friend bool operator==(const request_needs_lender&, const request_needs_lender&) = default;
};

using demand_decision = std::variant<request_admitted, request_over_limit, request_needs_lender>;

// Tokens that a lender's bucket has room for.
struct token_headroom {
    std::string workspace;
    double tokens = 0;

    friend bool operator==(const token_headroom&, const token_headroom&) = default;
};

// What an operator may want to know of one workspace.
struct demand_state {
    double demand = 0;  // Of this daemon, requests per second.
    double total = 0;   // Of the fleet; 0 when not known.
    double level = 0;   // Of the fleet's bucket, requests.
    double share = 0;   // Requests per second that this daemon admits.
    double tokens = 0;

    friend bool operator==(const demand_state&, const demand_state&) = default;
};

// Safe for concurrent use.
class demand_limiter {
public:
    explicit demand_limiter(demand_limiter_options initial = {}) : options(initial) {}

    // Replaces the limits. Workspaces without one are admitted always.
    void set_limits(const std::vector<workspace_limit>& limits, mono_time now);

    // The daemons that exist as far as is known.
    void set_fleet(const fleet_topology& known);

    demand_decision try_admit(const std::string& workspace, mono_time now);

    // The workspaces whose rates are lent.
    std::vector<std::string> lender_workspaces();

    // Names the workspaces for which this daemon would be asked as the lender. Their buckets fill
    // without a request. To be called before each report. Returns those that it lends from now on,
    // with the tokens that it has room for and may ask the lender before for.
    std::vector<token_headroom> set_standby_workspaces(const std::vector<std::string>& workspaces,
                                                       mono_time now);

    // Begins to lend because of a request. Returns the room for tokens when the bucket was not in
    // use.
    std::optional<token_headroom> start_lending(const std::string& workspace, mono_time now);

    // Gives up to `wanted` tokens to a daemon that lends now: all, or half of them while this
    // daemon finds itself to be the lender as well.
    double release_tokens(const std::string& workspace, double wanted, mono_time now);

    // Adds tokens that the lender before has given up.
    void add_tokens(const std::string& workspace, double tokens, mono_time now);

    // Decides as the lender of the failure domain.
    demand_decision admit_as_lender(const std::string& workspace, mono_time now);

    // Decides when no lender answers: from an even share while no totals arrive either.
    demand_decision admit_without_lender(const std::string& workspace, mono_time now);

    // Measures the demand since the last report, and what to tell the collector.
    messages::demand_report make_report(mono_time now);

    // Takes over a collector's answer to the latest report.
    void apply_totals(const messages::demand_totals& totals, mono_time now);

    std::optional<demand_state> inspect(const std::string& workspace, mono_time now);

private:
    struct bucket {
        workspace_limit limit;
        std::uint64_t arrived = 0;   // Requests since the last report.
        std::uint64_t admitted = 0;  // Likewise.
        double demand = 0;           // Per second, as reported last.
        double total = 0;            // As in the latest totals.
        double own_in_total = 0;     // This daemon's demand in these totals.
        std::uint32_t holders = 0;   // Daemons with a bucket, likewise.
        // Of the fleet's bucket; above the capacity after admissions that the totals told late.
        double level = 0;
        double tokens = 0;
        mono_time counted_at;
        rate_division division;
        // Until when this daemon is the lender because it was asked.
        mono_time lender_until = mono_time::min();
        // Whether it is the lender because it would be asked.
        bool standing_by = false;
        // Until when this daemon, as a lender, may take what a new process begins with; once.
        mono_time new_until = mono_time::min();
    };

    // What this daemon reports as its demand.
    double reported_demand(const bucket& each) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double bucket_requests(const workspace_limit& limit) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double fleet_capacity(const workspace_limit& limit) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Whether the totals are valid and most of the fleet is in them.
    bool most_heard(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool totals_valid(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double share_of(const bucket& each, mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double bucket_capacity(const bucket& each, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double heard_parts(const bucket& each) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool reports(const bucket& each, mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double lender_depth(const bucket& each) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    token_headroom room_of(const std::string& workspace, bucket& each, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void prepare_bucket(bucket& target, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    demand_decision take(bucket& from, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
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
