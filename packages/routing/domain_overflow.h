// Decides which share of the calls to a service leaves the failure domain of the caller, from the
// load reports and refusals that the caller has seen.
//
// Example:
//
//     routing::domain_overflow overflow({.failure_domain = "d1", .limit = 0.5});
//     auto target = overflow.choose({.service = "station"}, list, loads, now, random);
//     if (target.among != nullptr) { picker.pick_among(candidates, *target.among, ...); }
//     overflow.on_sent("station", "d2");
//     overflow.on_result("station", "d2", false, now);

#ifndef TREFOIL_ROUTING_DOMAIN_OVERFLOW_H_
#define TREFOIL_ROUTING_DOMAIN_OVERFLOW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "routing/candidate_list.h"
#include "routing/load_table.h"

namespace trefoil::routing {

struct domain_overflow_options {
    std::string failure_domain;  // Of the caller.
    // Bounds of the share while the own domain has a usable upstream.
    double floor = 0;
    double limit = 1;
    // In a service with fewer upstreams the share is not used: the reports of all of them are
    // recent enough to compare them in each call.
    std::size_t min_upstreams = 0;
    // Pressure of the own domain from which the share is raised, and below which it is lowered. The
    // rest up to 1 is room for bursts; the distance between the two prevents oscillation.
    double raise_at = 0.80;
    double lower_at = 0.70;
    // Calls leave only if another domain's pressure is lower by this, plus the additional transit
    // time as a share of the latency objective. Below half of it the share is lowered.
    double min_difference = 0.15;
    // Time constant of changes of the share, and the maximum change in a second.
    std::chrono::milliseconds adjustment{4000};
    double rise_per_s = 0.2;
    double fall_per_s = 0.2;
    // Part of the share that is taken back in a second while the pressure is between the
    // thresholds, so that domains do not keep exchanging calls that none of them needs to send.
    double release_per_s = 0.05;
    std::chrono::milliseconds update_interval{250};
    // Time constant of the smoothed pressure.
    std::chrono::milliseconds smoothing{1500};
    // Age from which load reports count less. Until then they count alike: an upstream that is
    // called more often is busier, so the latest reports alone would overstate the pressure.
    std::chrono::milliseconds report_lifetime{2000};
    // Half-life of the weight of older reports, and of counted results.
    std::chrono::milliseconds report_half_life{1000};
    // Assumed of a domain without reports: calls may try it, but it does not look empty. A domain
    // whose reports became old is assumed to approach it with this time constant.
    double unknown_pressure = 0.5;
    std::chrono::milliseconds forgetting{5000};
    // Time for which an instance is not usable after a connection failure.
    std::chrono::milliseconds connection_failure_backoff{1000};
    // As above, for an instance to which no connection was opened since.
    std::chrono::milliseconds unreachable_time{5000};
};

// Reason of the latest change of a share.
enum class overflow_reason : std::uint8_t {
    none,
    own_domain_full,
    own_domain_has_room,
    other_domains_full,
    own_domain_unusable,  // It has no upstream that accepts work and can be reached.
    above_limit,
};

std::string_view overflow_reason_name(overflow_reason reason);

struct overflow_state {
    std::string service;
    double share = 0;
    double own_pressure = 0;
    double other_pressure = 0;  // Mean of the other domains.
    overflow_reason reason = overflow_reason::none;
    std::uint64_t calls = 0;     // Attempts that were sent.
    std::uint64_t sent_out = 0;  // Of these, to other failure domains.

    friend bool operator==(const overflow_state&, const overflow_state&) = default;
};

// A call for which a failure domain is chosen.
struct overflow_call {
    std::string service;
    std::chrono::milliseconds objective{0};  // 0: none.
    bool attempted_before = false;
};

// The candidates that an attempt may go to, as positions in candidate_list::of_service(); null: all
// of them.
struct overflow_target {
    std::shared_ptr<const std::vector<std::uint32_t>> among;
};

namespace detail {

struct domain_pressure {
    std::string domain;
    std::shared_ptr<const std::vector<std::uint32_t>> positions;
    std::size_t usable = 0;
    double limit = 0;     // Sum of the limits of the usable upstreams.
    double pressure = 0;  // Smoothed; negative before the first report.
    double way_s = 0;     // Mean transit time.
    // Decayed numbers of results until `counted_at`.
    double accepted = 0;
    double refused = 0;
    mono_time counted_at;
    double weight = 0;  // For the choice among other domains.
};

struct service_overflow {
    overflow_state state;
    std::shared_ptr<const candidate_list> list;  // To which the positions belong.
    std::vector<domain_pressure> domains;        // The own one first, even without candidates.
    double objective_s = 0;                      // Mean over recent calls.
    double way_s = 0;                            // Additional, mean of the other domains.
    bool others_have_room = false;               // Compared to the own domain.
    mono_time updated_at;
    mono_time next_update = mono_time::min();
};

}  // namespace detail

// Safe for concurrent use, with a random source per thread. All state is in the memory of one
// daemon.
//
// The pressure of a domain is the number of running and queued calls over the sum of the limits of
// its usable upstreams, from recent reports, plus the share of calls that it refused. A few times a
// second the share of a service is changed by a bounded step, scaled by a random factor so that
// daemons with the same reports do not move together.
class domain_overflow {
public:
    explicit domain_overflow(domain_overflow_options initial) : options(std::move(initial)) {}

    // `list` must not be null. Looks at all candidates of the service only when an update is due.
    overflow_target choose(const overflow_call& call,
                           const std::shared_ptr<const candidate_list>& list,
                           const load_table& loads, mono_time now, random_source& random);

    void on_sent(const std::string& service, const std::string& domain);
    // `refused`: the upstream did not run the call.
    void on_result(const std::string& service, const std::string& domain, bool refused,
                   mono_time now);

    // Sorted by service.
    std::vector<overflow_state> states() const;

    // Forgets services that the list does not contain.
    void expire(const candidate_list& list);

private:
    using service_overflow = detail::service_overflow;
    using domain_pressure = detail::domain_pressure;

    void use_list(service_overflow& service, const std::shared_ptr<const candidate_list>& list,
                  const std::string& name) const;
    void update(service_overflow& service, const std::vector<candidate>& candidates,
                const load_table& loads, mono_time now, random_source& random) const;
    void measure(domain_pressure& domain, const std::vector<candidate>& candidates,
                 const load_table& loads, mono_time now, double elapsed_s) const;
    void move_share(service_overflow& service, double needed, double elapsed_s,
                    random_source& random) const;
    double step_towards(const overflow_state& state, double aim, double scale) const;
    // Mean time that a call spends on the way to the domain, beyond that within the own one.
    static double additional_way_s(const service_overflow& service, const domain_pressure& other);
    // The difference in pressure from which a call to the domain pays.
    double needed_difference(const service_overflow& service, const domain_pressure& other) const;
    void decay(domain_pressure& domain, mono_time now) const;
    double pressure_of(const domain_pressure& domain) const;
    static overflow_target other_domain(const service_overflow& service, random_source& random);

    const domain_overflow_options options;
    sharded_map<std::string, service_overflow> services;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_DOMAIN_OVERFLOW_H_
