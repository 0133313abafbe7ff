// The retry budget of each service. The fleet's slack is divided among its daemons.
//
// Example:
//
//     service_budgets budgets(shared);
//     budgets.of("station", now)->count_call(now);

#ifndef TREFOIL_DAEMON_SERVICE_BUDGETS_H_
#define TREFOIL_DAEMON_SERVICE_BUDGETS_H_

#include <map>
#include <memory>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/shared_state.h"
#include "routing/fleet_part.h"
#include "routing/retry_budget.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class service_budgets {
public:
    explicit service_budgets(const shared_state& daemon_state) : shared(daemon_state) {}

    // Never null. The budget follows the settings and the size of the fleet.
    std::shared_ptr<routing::retry_budget> of(const std::string& service, mono_time now);

    struct state {
        routing::retry_window window;
        routing::retry_totals totals;
    };
    // By service; services without calls so far are absent.
    std::map<std::string, state> states(mono_time now);

private:
    const shared_state& shared;
    routing::fleet_part part;
    // By service, because the platform counts retries for each.
    sharded_map<std::string, std::shared_ptr<routing::retry_budget>> budgets;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SERVICE_BUDGETS_H_
