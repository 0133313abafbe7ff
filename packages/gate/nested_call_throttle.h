// Finds the requests whose nested calls cannot be served, so that they take a slot of the upstream
// only while no other request of the same or a higher urgency waits for one. A nested call is one
// that the upstream makes while it serves a request; when it fails, the request fails, too.
//
// For each route it adapts the share of requests that are admitted as usual to the share that was
// served, plus some headroom. The others are excess. Not every request of a route makes nested
// calls, so excess requests are worth a slot that no other request waits for.
//
// Example:
//
//     nested_call_throttle throttle;
//     call.excess = !throttle.admit("lookup");
//     throttle.on_nested_call_failed(now);
//     throttle.on_run_ended("lookup", {.started = start, .failed = true}, now);

#ifndef TREFOIL_GATE_NESTED_CALL_THROTTLE_H_
#define TREFOIL_GATE_NESTED_CALL_THROTTLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil::gate {

struct ended_run {
    mono_time started;
    bool failed = false;  // Whether the caller gets no success.

    friend bool operator==(const ended_run&, const ended_run&) = default;
};

struct throttle_totals {
    std::uint64_t excess = 0;
    std::uint64_t failed_runs = 0;  // Runs that failed together with a nested call.

    friend bool operator==(const throttle_totals&, const throttle_totals&) = default;
};

// Safe for concurrent use.
class nested_call_throttle {
public:
    // The share of requests that are always admitted, so that no route is starved.
    static constexpr double min_share = 0.25;
    // More requests are admitted than were served, by this factor. So requests are excess only if
    // more than half of the runs fail, and the share follows the room for nested calls upwards.
    static constexpr double headroom = 2;
    // A period is reviewed when it has lasted this long with min_runs runs that also started in it,
    // at the latest after max_period.
    static constexpr std::chrono::milliseconds min_period{500};
    static constexpr std::chrono::milliseconds max_period{2000};
    static constexpr std::size_t min_runs = 12;

    // Whether a request of the route is admitted as usual; if not, it is excess. Admitted requests
    // are spaced evenly.
    bool admit(const std::string& route);

    // A nested call of the local upstream has failed.
    void on_nested_call_failed(mono_time now);

    // A run at the upstream has ended. Returns the new share of its route if that has changed.
    std::optional<double> on_run_ended(const std::string& route, const ended_run& run,
                                       mono_time now);

    // The shares below 1 by route.
    std::map<std::string, double> shares() const;
    throttle_totals totals() const;

private:
    struct route_state {
        double share = 1;
        double credit = 1;  // Requests that may start now.
        mono_time period_start;
        std::size_t runs = 0;    // That started and ended in this period.
        std::size_t failed = 0;  // Of `runs`.
    };

    mutable absl::Mutex mutex;
    // Routes with a share below 1 or with a failure in the current period.
    std::map<std::string, route_state> routes ABSL_GUARDED_BY(mutex);
    std::optional<mono_time> last_failure ABSL_GUARDED_BY(mutex);  // Of a nested call.
    // Failed nested calls for which no run has failed yet. It bounds the failures of runs that are
    // counted, because a run may fail for other reasons.
    std::size_t unmatched_failures ABSL_GUARDED_BY(mutex) = 0;
    throttle_totals total ABSL_GUARDED_BY(mutex);
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_NESTED_CALL_THROTTLE_H_
