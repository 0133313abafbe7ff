// The retry budgets of this daemon, one per service. The slack, a number of retries that is allowed
// to the fleet regardless of its calls, is divided among the daemons.
//
// Example:
//
//     service_retry_budgets budgets(shared);
//     budgets.budget_for("station", now)->count_call(now);

#ifndef TREFOIL_DAEMON_SERVICE_RETRY_BUDGETS_H_
#define TREFOIL_DAEMON_SERVICE_RETRY_BUDGETS_H_

#include <map>
#include <memory>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/shared_state.h"
#include "routing/fleet_share.h"
#include "routing/retry_budget.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class service_retry_budgets {
public:
    explicit service_retry_budgets(const shared_state& daemon_state) : shared(daemon_state) {}

    // Returns the budget of the service, never null, with its slack updated to the current settings
    // and size of the fleet.
    std::shared_ptr<routing::retry_budget> budget_for(const std::string& service, mono_time now);

    struct state {
        routing::retry_window window;
        routing::retry_totals totals;
    };
    // The state of each budget by service; services that had no calls yet are absent.
    std::map<std::string, state> states(mono_time now);

private:
    const shared_state& shared;
    routing::fleet_share fleet;
    // One budget per service, because the platform limits the retries of each service.
    sharded_map<std::string, std::shared_ptr<routing::retry_budget>> budgets;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SERVICE_RETRY_BUDGETS_H_
