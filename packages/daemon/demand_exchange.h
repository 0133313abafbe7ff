// Connects the demand limiter of one daemon with its peers: reports the daemon's demand to the
// collector of its failure domain, requests tokens from the lender, and acts as collector and
// lender for other daemons.
//
// Terms: the collector of a failure domain adds up the demand reports of its daemons and exchanges
// the sums with the collectors of the other domains (admission/demand_collector.h). The lender of a
// workspace holds the tokens of a failure domain where the rate is too low to be divided among all
// daemons; the others request a token for each call (admission/rate_division.h). Both are chosen by
// rendezvous hashing among the live instances of the domain. When the lender changes, the new one
// requests the remaining tokens from the previous one (token handover).
//
// Example:
//
//     daemon::demand_exchange exchange({.instance = "station-1", .failure_domain = "d1"});
//     exchange.set_connections(connections);
//     exchange.set_limits(limits, now);
//     exchange.tick(view, now);
//     exchange.admit("north", now, [](const admission::demand_decision& decision) { ... });

#ifndef TREFOIL_DAEMON_DEMAND_EXCHANGE_H_
#define TREFOIL_DAEMON_DEMAND_EXCHANGE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "admission/demand_collector.h"
#include "admission/demand_limiter.h"
#include "admission/lender_client.h"
#include "admission/lender_handovers.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/peer_connections.h"
#include "membership/view.h"

namespace trefoil::daemon {

struct demand_exchange_options {
    std::string instance;
    std::string failure_domain;
    admission::demand_limiter_options limiter = {};
    // A collector that leaves more than this many reports in a row unanswered is not chosen
    // again for `avoid_collector`.
    unsigned max_unanswered_reports = 2;
    std::chrono::milliseconds avoid_collector{3000};
};

using demand_callback = std::function<void(const admission::demand_decision&)>;

// Safe for concurrent use.
class demand_exchange {
public:
    explicit demand_exchange(demand_exchange_options given);

    // To be called once, before any other member.
    void set_connections(peer_connections& target) { this->connections = &target; }

    // Sets the number of daemons and failure domains from the instance list. tick() updates both.
    void set_fleet(const membership::view& view);

    void set_limits(const std::vector<admission::workspace_limit>& limits, mono_time now) {
        this->limiter.set_limits(limits, now);
    }

    // Calls `on_decided` exactly once, with an admission or a refusal: immediately if the rate is
    // divided among the daemons, otherwise when the lender has answered or two requests to it have
    // timed out.
    void admit(const std::string& workspace, mono_time now, demand_callback on_decided);

    // Sends due reports and handles requests that have timed out. To be called about every 20 ms.
    void tick(const membership::view& view, mono_time now);

    void on_report(const std::string& from, const messages::demand_report& report, mono_time now);
    void on_totals(const std::string& from, const messages::demand_totals& totals, mono_time now);
    // Handles a token request as the lender. A request with `wanted_prefetch` starts a token
    // handover: it asks this daemon, as the previous lender, for its remaining tokens.
    void on_token_request(const std::string& from, const messages::token_request& request,
                          mono_time now);
    // Handles the lender's answer to a token request of this daemon.
    void on_token_grant(const messages::token_grant& grant, mono_time now);
    void on_domain(const messages::domain_demand& domain, mono_time now);

    std::optional<admission::demand_state> inspect(const std::string& workspace, mono_time now) {
        return this->limiter.inspect(workspace, now);
    }

private:
    // The instance that collects the demand of a failure domain.
    struct collector {
        std::string instance;
        std::string address;
    };

    void apply_view(const membership::view& view, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<collector> choose_collector(const std::string& domain,
                                              const membership::view& view, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void count_fleet(const membership::view& view) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Returns the addresses of the live and reachable instances of a failure domain, by instance.
    std::map<std::string, std::string> live_instances(const std::string& domain,
                                                      const membership::view& view) const;
    void send_lender_request(const std::string& workspace, std::uint64_t call,
                             const admission::lender_request& attempt, mono_time now);
    void handle_timeouts(mono_time now);
    // Decides on a request as the lender. With `may_hold`, a request for which no token is left
    // waits for a token handover in progress.
    void decide_as_lender(const admission::held_request& request, bool may_hold, mono_time now);
    // Requests the tokens of the previous lender.
    void request_handover(const admission::token_headroom& headroom, mono_time now);
    void complete(std::uint64_t call, const admission::demand_decision& decision);
    void update_standby_workspaces(mono_time now);
    void send_report(mono_time now);
    void send_domain_demand(mono_time now);

    const demand_exchange_options options;
    peer_connections* connections = nullptr;
    admission::demand_limiter limiter;
    // Callbacks of the calls that wait for the lender, by call number.
    sharded_map<std::uint64_t, demand_callback> waiting;
    std::atomic<std::uint64_t> next_call{1};

    absl::Mutex mutex;
    // Guarded by mutex.
    admission::demand_collector own_collector;
    admission::fleet_domains fleet;
    admission::lender_client lender_requests;
    admission::lender_handovers handovers;
    std::map<std::string, std::string> domain_addresses;  // Of live instances of the own domain.
    std::map<std::string, collector> collectors;          // By failure domain.
    mono_time next_report = mono_time::min();
    unsigned unanswered_reports = 0;  // In a row, by the current collector.
    std::string avoided_collector;    // Not chosen until `avoided_until`.
    mono_time avoided_until = mono_time::min();
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_DEMAND_EXCHANGE_H_
