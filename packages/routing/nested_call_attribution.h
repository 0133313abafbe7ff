// Which of the requests that run at an upstream its own calls come from, where nothing on a call
// names its request. From what runs when calls come it learns how many calls a run of each route
// makes, and states for a call how likely it comes from a repeated run.
//
// Example:
//
//     routing::nested_call_attribution attribution;
//     auto run = attribution.begin_run("readings", 1, now);     // A repeat.
//     double share = attribution.attribute_call("alarms", later);  // 1 while nothing else runs.
//     attribution.end_run(run, end);

#ifndef TREFOIL_ROUTING_NESTED_CALL_ATTRIBUTION_H_
#define TREFOIL_ROUTING_NESTED_CALL_ATTRIBUTION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace trefoil::routing {

// Not safe for concurrent use.
class nested_call_attribution {
public:
    using run_id = std::uint64_t;

    // A request of the route starts at the upstream. `retry_probability` is the likelihood that the
    // run is a repeat.
    run_id begin_run(const std::string& route, double retry_probability, mono_time now);
    // The request is over, whatever its result. Unknown numbers are ignored.
    void end_run(run_id number, mono_time now);

    // The upstream calls `service`. Returns the likelihood that a repeated run makes the call; 0
    // when nothing runs, because then the call is not the upstream's.
    double attribute_call(const std::string& service, mono_time now);

    // The calls that a run of the route usually makes, by the service called.
    std::map<std::string, double> expected_calls(const std::string& route) const;

    // Requests that have finished; of a few, little is known.
    std::uint64_t finished_runs() const { return this->finished_total; }

private:
    struct running_request {
        std::string route;
        double retry_probability = 0;
        mono_time started_at;
        std::uint64_t calls_before = 0;  // Calls of the upstream before the start.
    };

    // Sums over finished runs.
    struct run_sums {
        double runs = 0;
        double seconds = 0;
        // Calls that came during the runs, less those that come in the same time anyway.
        double extra_calls = 0;
    };

    double calls_per_second(mono_time now) const;
    double call_rate_of(const std::string& route) const;
    void age();

    std::map<run_id, running_request> running;
    std::map<std::string, run_sums> routes;  // With runs lately.
    run_sums all;
    std::map<std::string, double> called;  // Calls by service, aged like the sums.
    double all_calls = 0;                  // Their sum.
    std::uint64_t call_total = 0;
    std::uint64_t finished_total = 0;
    run_id next_id = 1;
    std::optional<mono_time> first_start;
    double recent_rate = 0;  // Calls a second as of `last_call`, smoothed.
    mono_time last_call;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_NESTED_CALL_ATTRIBUTION_H_
