// Selects the upstream for each attempt of a call, from what the ingress has observed of the
// instances: load reports, refusals, service times and connection failures.
//
// A call with a latency objective is first offered as one that must meet it: a gate refuses it when
// it expects it to be late. A call whose message says `may_be_late` may be served after the
// objective, until its deadline; it is late-tolerant below.
//
// A service is large when it has so many candidates that the picker compares only a sample of them
// (routing::upstream_picker::compares_all). It is overloaded when most of its instances refuse
// calls.
//
// Example:
//
//     upstream_selector selector("d1", shared);
//     auto picked = selector.pick(call, now);
//     selector.record_sent(target.instance, now);
//     selector.record_result(*attempt, result, now);

#ifndef TREFOIL_DAEMON_UPSTREAM_SELECTOR_H_
#define TREFOIL_DAEMON_UPSTREAM_SELECTOR_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/ingress_call.h"
#include "daemon/shared_state.h"
#include "messages/messages.h"
#include "routing/domain_overflow.h"
#include "routing/late_refusals.h"
#include "routing/load_table.h"
#include "routing/recent_refusals.h"
#include "routing/upstream_picker.h"

namespace trefoil::daemon {

// Safe for concurrent use, except that a call must be passed in by one thread at a time.
class upstream_selector {
public:
    // Without `overflow`, each call compares the upstreams of all failure domains. With it, a share
    // of the calls is sent to other failure domains, and the others stay.
    upstream_selector(
        std::string own_domain, const shared_state& daemon_state,
        const std::optional<routing::domain_overflow_options>& overflow = std::nullopt);

    // Picks the upstream for the call's next attempt. A call that no upstream can serve in time, or
    // that several have refused, is changed to a late-tolerant one; after as many further refusals
    // no upstream is returned. For a large service that is overloaded, a call is late-tolerant from
    // its first attempt, and fewer refusals suffice.
    routing::pick_result pick(detail::ingress_call& call, mono_time now) const;
    routing::pick_result pick(detail::ingress_call& call, mono_time now,
                              random_source& random) const;

    // Stores the inputs of the selection of `target` in the attempt, for the log.
    void record_choice(detail::attempt& started, const routing::candidate& target, mono_time now);

    void record_sent(const std::string& instance, mono_time now);
    void record_result(const detail::attempt& ended, const messages::call_result& result,
                       mono_time now);
    void record_end_without_result(const std::string& instance);
    void record_connection_failure(const std::string& instance, mono_time now);
    void set_connected(const std::string& instance, bool connected);
    // Returns the addresses of random instances of the own failure domain without a connection, at
    // most as many as raise the number of connected instances to `limit`.
    std::vector<std::string> unconnected_peers(std::size_t limit) const;
    void record_response_size(const std::string& route, std::size_t bytes);

    // Removes outdated observations and logs services whose share of calls to other failure domains
    // leaves its floor or returns to it. Must be called regularly, by one thread.
    void expire(mono_time now);

    const routing::load_table& loads() const { return this->load; }
    const routing::upstream_picker& picker() const { return this->chooser; }
    // Empty if overflow is off.
    std::vector<routing::overflow_state> overflow_states() const;

private:
    routing::pick_result choose(const detail::ingress_call& call,
                                const std::shared_ptr<const routing::candidate_list>& list,
                                mono_time now, random_source& random) const;
    void log_overflow_changes();
    routing::pick_context context_of(const detail::ingress_call& call) const;
    // Makes a call that was refused late-tolerant, so that instances that refused it may be tried
    // again unless they refuse late-tolerant calls, too. Returns false if the call was not refused
    // or is late-tolerant already.
    bool allow_late(detail::ingress_call& call, mono_time now) const;
    // Makes a call late-tolerant before its first attempt if the service has a single candidate
    // that accepts work and has not just refused late-tolerant calls: offering the call to it twice
    // would gain nothing.
    void allow_late_for_single_candidate(detail::ingress_call& call,
                                         const std::vector<routing::candidate>& candidates,
                                         mono_time now) const;
    // Whether most instances of the service refuse calls that are as late-tolerant as this one.
    bool is_overloaded(const detail::ingress_call& call, mono_time now) const;
    // The refusal rate of calls that are as late-tolerant as this one.
    routing::recent_refusals& refusals_for(const detail::ingress_call& call);
    void record_refusal(detail::ingress_call& call, const std::string& instance,
                        const messages::call_result& result, mono_time now);

    const std::string failure_domain;  // Of this daemon.
    const shared_state& shared;
    routing::load_table load;
    routing::late_refusals late_call_refusals;
    routing::recent_refusals strict_refusals;   // Of calls that must meet their objective.
    routing::recent_refusals lenient_refusals;  // Of late-tolerant calls.
    const routing::upstream_picker chooser;
    const double overflow_floor;
    const std::unique_ptr<routing::domain_overflow> overflow;  // Null if off.
    std::set<std::string> overflowing;  // Services that were logged; used by expire() only.
    sharded_map<std::string, double> response_kib;  // Mean response size in KiB, by route.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_UPSTREAM_SELECTOR_H_
