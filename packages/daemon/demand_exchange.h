// Exchanges the demand of workspaces with the collectors of the fleet, asks lenders for tokens and
// lends them, and runs the demand limiter.
//
// Example:
//
//     daemon::demand_exchange exchange({.instance = "station-1", .failure_domain = "d1"},
//     connections); exchange.set_limits(limits, now); exchange.tick(view, now);
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
#include "admission/take_overs.h"
#include "admission/token_asker.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/peer_connections.h"
#include "membership/view.h"

namespace trefoil::daemon {

struct demand_exchange_options {
    std::string instance;
    std::string failure_domain;
    admission::demand_limiter_options limiter = {};
    // How long a collector that left this many reports in a row without an answer is passed over.
    unsigned unanswered_limit = 2;
    std::chrono::milliseconds avoid_collector{3000};
};

using demand_callback = std::function<void(const admission::demand_decision&)>;

// Safe for concurrent use.
class demand_exchange {
public:
    explicit demand_exchange(demand_exchange_options given);

    // To be called once, before any other member.
    void set_connections(peer_connections& target) { this->connections = &target; }

    // Counts the daemons that are listed. tick() counts them again.
    void set_fleet(const membership::view& view);

    void set_limits(const std::vector<admission::workspace_limit>& limits, mono_time now) {
        this->limiter.set_limits(limits, now);
    }

    // Calls `decided` once, with an admission or a refusal: at once where the rate is divided among
    // the daemons, otherwise when the lender has answered or left two requests without an answer.
    void admit(const std::string& workspace, mono_time now, demand_callback decided);

    // Sends what is due. To be called about every 20 ms.
    void tick(const membership::view& view, mono_time now);

    void on_report(const std::string& from, const messages::demand_report& report, mono_time now);
    void on_totals(const std::string& from, const messages::demand_totals& totals, mono_time now);
    // A peer asks this daemon as the lender, and a lender's answer.
    void on_token_request(const std::string& from, const messages::token_request& request,
                          mono_time now);
    void on_token_grant(const messages::token_grant& grant, mono_time now);
    void on_domain(const messages::domain_demand& domain, mono_time now);

    std::optional<admission::demand_state> inspect(const std::string& workspace, mono_time now) {
        return this->limiter.inspect(workspace, now);
    }

private:
    // The collector of each failure domain, with its address.
    struct collector {
        std::string instance;
        std::string address;
    };

    void follow(const membership::view& view, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<collector> choose(const std::string& domain, const membership::view& view,
                                    mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void count_fleet(const membership::view& view) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // The instances of a failure domain that seem to live, with their addresses.
    std::map<std::string, std::string> live_in(const std::string& domain,
                                               const membership::view& view) const;
    void ask(const std::string& workspace, std::uint64_t call, const admission::token_ask& made,
             mono_time now);
    void ask_again(mono_time now);
    // Decides as the lender; a request that finds no token may wait for those of the lender before.
    void lend(const admission::held_request& request, bool may_hold, mono_time now);
    // Asks the lender before for its tokens.
    void take_over(const admission::token_room& room, mono_time now);
    void decide(std::uint64_t call, const admission::demand_decision& decision);
    void stand_by(mono_time now);
    void report(mono_time now);
    void tell_collectors(mono_time now);

    const demand_exchange_options options;
    peer_connections* connections = nullptr;
    admission::demand_limiter limiter;
    sharded_map<std::uint64_t, demand_callback> waiting;  // By call number.
    std::atomic<std::uint64_t> next_call{1};

    absl::Mutex mutex;
    // Guarded by mutex.
    admission::demand_collector sums;
    admission::fleet_domains fleet;
    admission::token_asker asker;
    admission::take_overs taking_over;
    std::map<std::string, std::string> neighbours;  // Addresses of the own failure domain.
    std::map<std::string, collector> collectors;    // By failure domain.
    mono_time next_report = mono_time::min();
    unsigned unanswered = 0;  // Reports in a row without an answer.
    std::string avoided;      // Collector that is passed over.
    mono_time avoided_until = mono_time::min();
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_DEMAND_EXCHANGE_H_
