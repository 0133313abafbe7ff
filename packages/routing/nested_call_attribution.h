// Attributes the nested calls of an upstream to the requests that run there, for upstreams that do
// not name the request in their calls, and estimates for each nested call the probability that a
// retried attempt makes it.
//
// A nested call is a call that an upstream makes to another service while it serves a request. A
// run is one attempt of a request at the upstream. From the runs in progress when nested calls
// arrive, the class learns how many of them a run of each route makes.
//
// Example:
//
//     routing::nested_call_attribution attribution;
//     auto run = attribution.begin_run("readings", 1, now);  // A retry.
//     double retry = attribution.attribute_call("alarms", later);  // 1 if no other run is active.
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

    // A run of the route starts. `retry_probability` is the probability that it is a retry.
    run_id begin_run(const std::string& route, double retry_probability, mono_time now);
    // The run has ended, whatever its result. Unknown ids are ignored.
    void end_run(run_id id, mono_time now);

    // The upstream calls `service`. Returns the probability that a retried attempt makes the call;
    // 0 if no run is active, because then the call does not come from the upstream.
    double attribute_call(const std::string& service, mono_time now);

    // Mean number of calls that a run of the route makes, by the called service.
    std::map<std::string, double> expected_calls(const std::string& route) const;

    // Number of ended runs. The estimates are poor after only a few of them.
    std::uint64_t finished_runs() const { return this->finished_total; }

private:
    struct running_request {
        std::string route;
        double retry_probability = 0;
        mono_time started_at;
        std::uint64_t calls_before = 0;  // Number of calls of the upstream before the start.
    };

    // Sums over ended runs.
    struct run_sums {
        double runs = 0;
        double seconds = 0;
        // Calls during the runs, less the number expected in that time at the overall rate.
        double excess_calls = 0;
    };

    double calls_per_second(mono_time now) const;
    double call_rate_of(const std::string& route) const;
    // Halves all sums, so that older runs count less.
    void decay();

    std::map<run_id, running_request> running;
    std::map<std::string, run_sums> routes;  // Routes with recent runs.
    run_sums all;
    std::map<std::string, double> called;  // Calls by service, decayed like the sums.
    double all_calls = 0;                  // Sum over all services.
    std::uint64_t call_total = 0;
    std::uint64_t finished_total = 0;
    run_id next_id = 1;
    std::optional<mono_time> first_start;
    double recent_rate = 0;  // Moving average of the calls per second, at `last_call`.
    mono_time last_call;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_NESTED_CALL_ATTRIBUTION_H_
