// What repeated requests at the upstream beside the daemon cost other services. A repeat that runs
// makes its nested calls again, and these count as retries of the services called: they use their
// budgets, and a repeat is refused where the budgets have no room for its calls.
//
// Example:
//
//     nested_retry_tracker repeats(budgets);
//     auto reserved = repeats.reserve("readings", now);  // Null: refuse the repeat.
//     auto run = repeats.started("readings", 1, now);
//     double share = repeats.nested_call("alarms", std::nullopt, later);
//     repeats.finished(run, end);

#ifndef TREFOIL_DAEMON_NESTED_RETRY_TRACKER_H_
#define TREFOIL_DAEMON_NESTED_RETRY_TRACKER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "base/time.h"
#include "daemon/service_retry_budgets.h"
#include "routing/nested_call_origin.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class nested_retry_tracker {
public:
    explicit nested_retry_tracker(service_retry_budgets& shared) : budgets(shared) {}

    // Room in the budgets of the services that a repeat will call, held until it is destroyed. The
    // nested_retry_tracker must outlive it.
    class reservation {
    public:
        reservation(nested_retry_tracker& owner, std::map<std::string, double> held);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

    private:
        nested_retry_tracker& runs;
        const std::map<std::string, double> calls;  // By service.
    };

    // Null when a repeat of the route may not run here now.
    std::unique_ptr<reservation> reserve(const std::string& route, mono_time now);

    // A request starts at the upstream and ends. `repeat_share` is the likelihood that it repeats
    // one that an upstream has seen.
    routing::nested_call_origin::run_number started(const std::string& route, double repeat_share,
                                                    mono_time now);
    void finished(routing::nested_call_origin::run_number number, mono_time now);

    // Counts a call that came to this daemon, and uses the budget of its service as far as a repeat
    // makes it. `known` is that likelihood where the call names its request; otherwise it is
    // estimated. Returns it.
    double nested_call(const std::string& service, std::optional<double> known, mono_time now);

private:
    bool has_room(const std::map<std::string, double>& calls, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    service_retry_budgets& budgets;
    absl::Mutex mutex;
    routing::nested_call_origin origin;      // Guarded by mutex.
    std::map<std::string, double> reserved;  // By service; sums of the reservations.
    std::size_t held = 0;                    // Reservations.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_NESTED_RETRY_TRACKER_H_
