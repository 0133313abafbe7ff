// Charges the nested calls of retried requests to the retry budgets of the services called. A
// nested call is one that the local upstream makes while it serves a request. When the upstream
// serves a retried request, the nested calls are made again and count as retries of those services:
// they use the services' budgets, and a retry is refused if the budgets do not cover its calls.
//
// Example:
//
//     nested_retry_tracker tracker(budgets);
//     auto reserved = tracker.reserve("readings", now);  // Null: refuse the retry.
//     auto run = tracker.begin_run("readings", 1, now);
//     double probability = tracker.count_nested_call("alarms", std::nullopt, later);
//     tracker.end_run(run, end);

#ifndef TREFOIL_DAEMON_NESTED_RETRY_TRACKER_H_
#define TREFOIL_DAEMON_NESTED_RETRY_TRACKER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "base/time.h"
#include "daemon/service_retry_budgets.h"
#include "routing/nested_call_attribution.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class nested_retry_tracker {
public:
    explicit nested_retry_tracker(service_retry_budgets& shared) : budgets(shared) {}

    // Retry budget set aside for the expected nested calls of one retry, released on destruction.
    // The tracker must outlive it.
    class reservation {
    public:
        reservation(nested_retry_tracker& owner, std::map<std::string, double> held);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

    private:
        nested_retry_tracker& tracker;
        const std::map<std::string, double> calls;  // Expected nested calls by service.
    };

    // Returns null if the retry budgets do not allow a retry of a request of the route to run now.
    std::unique_ptr<reservation> reserve(const std::string& route, mono_time now);

    // Records the start and the end of a request at the upstream. `retry_probability` is the
    // probability that an upstream has received the request before.
    routing::nested_call_attribution::run_id begin_run(const std::string& route,
                                                       double retry_probability, mono_time now);
    void end_run(routing::nested_call_attribution::run_id number, mono_time now);

    // Counts a call that may be nested and charges it to the retry budget of its service in
    // proportion to the probability that a retried request made it. `known` is that probability if
    // the call identifies its request; otherwise it is estimated. Returns the probability.
    double count_nested_call(const std::string& service, std::optional<double> known,
                             mono_time now);

private:
    bool budgets_cover(const std::map<std::string, double>& calls, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    service_retry_budgets& budgets;
    absl::Mutex mutex;
    routing::nested_call_attribution attribution;  // Guarded by mutex.
    std::map<std::string, double> reserved;        // Sum of the reservations, by service.
    std::size_t open_reservations = 0;             // Number of reservations.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_NESTED_RETRY_TRACKER_H_
