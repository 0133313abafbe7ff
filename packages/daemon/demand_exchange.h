// Exchanges the demand of workspaces with the collectors of the fleet and runs the demand limiter.
//
// Example:
//
//     daemon::demand_exchange exchange({.instance = "station-1", .failure_domain = "d1"}, links);
//     exchange.set_limits(limits, now);
//     exchange.tick(view, now);
//     auto outcome = exchange.try_admit("north", now);

#ifndef TREFOIL_DAEMON_DEMAND_EXCHANGE_H_
#define TREFOIL_DAEMON_DEMAND_EXCHANGE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "absl/synchronization/mutex.h"
#include "admission/demand_collector.h"
#include "admission/demand_limiter.h"
#include "base/time.h"
#include "daemon/peer_links.h"
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

// Safe for concurrent use.
class demand_exchange {
public:
    explicit demand_exchange(demand_exchange_options given);

    // To be called once, before any other member.
    void set_links(peer_links& target) { this->links = &target; }

    // Daemons that are listed. tick() counts them again.
    void set_fleet_size(std::uint32_t daemons) { this->limiter.set_fleet_size(daemons); }

    void set_limits(const std::vector<admission::workspace_limit>& limits, mono_time now) {
        this->limiter.set_limits(limits, now);
    }

    admission::demand_decision try_admit(const std::string& workspace, mono_time now) {
        return this->limiter.try_admit(workspace, now);
    }

    // Sends what is due. To be called about every 10 ms.
    void tick(const membership::view& view, mono_time now);

    void on_report(const std::string& from, const messages::demand_report& report, mono_time now);
    void on_totals(const std::string& from, const messages::demand_totals& totals, mono_time now);
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
    void report(mono_time now);
    void tell_collectors(mono_time now);

    const demand_exchange_options options;
    peer_links* links = nullptr;
    admission::demand_limiter limiter;

    absl::Mutex mutex;
    // Guarded by mutex.
    admission::demand_collector sums;
    admission::fleet_domains fleet;
    std::map<std::string, collector> collectors;  // By failure domain.
    mono_time next_report = mono_time::min();
    unsigned unanswered = 0;  // Reports in a row without an answer.
    std::string avoided;      // Collector that is passed over.
    mono_time avoided_until = mono_time::min();
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_DEMAND_EXCHANGE_H_
