// How long requests take at the upstream, by route. Requests that run longer than usual count while
// they run, so that an upstream that turned slow is noticed before its first slow response.
//
// Example:
//
//     gate::service_times times;
//     times.started(id, "readings", now);
//     times.ended(id, true, later);
//     mono_duration expected = times.expected("readings", now);

#ifndef TREFOIL_GATE_SERVICE_TIMES_H_
#define TREFOIL_GATE_SERVICE_TIMES_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "gate/gate_types.h"

namespace trefoil::gate {

struct service_times_options {
    // Weight of the latest response. A mean over about 16 responses follows a change within a
    // second at the usual rates, and single long requests move it little.
    double latest_weight = 1.0 / 16;
    // Running requests make the upstream count as slow when their ages add up to this multiple of
    // their usual times. In a steady state the ages of requests that vary much add up to about once
    // their usual times.
    double slow_ages = 2.0;
    std::size_t fewest_running = 3;  // Below this the ages say too little.
    // Part of the requests that end within the cautious time. One in twenty may miss an objective
    // for which it started just in time.
    double cautious_part = 0.95;
    // Mean distances that the cautious time lies above the mean at first: 95 of 100 requests end
    // within 2.1 of them if times vary evenly, within 2.7 if they are exponential. It starts above
    // both, because the first few responses tell little of the distance.
    double first_distances = 4.0;
    // How much a request that takes longer than the cautious time adds to the distances. They then
    // follow a change of the distribution within about 50 requests.
    double distances_step = 0.5;
    // Bounds of the distances. Below one, a request of usual length would count as long; above
    // six, even exponential times end within it in 995 of 1,000 cases.
    double least_distances = 1.0;
    double most_distances = 6.0;
};

// Not synchronised; the owner holds a lock.
class service_times {
public:
    explicit service_times(service_times_options initial = {}) : options(initial) {}

    void started(const call_id& id, const std::string& route, mono_time now);
    // `counts`: the upstream gave a whole response.
    void ended(const call_id& id, bool counts, mono_time now);

    // Usual time of a request of the route that starts now; 0 before the first response of any.
    mono_duration expected(const std::string& route, mono_time now) const;
    // A time within which most requests of the route end: the mean and the usual distance from it.
    mono_duration cautious(const std::string& route, mono_time now) const;
    // Over the requests of all routes.
    mono_duration mean(mono_time now) const;

private:
    struct running_request {
        std::string route;
        mono_time started;
    };

    // In seconds.
    struct distribution {
        double mean = 0;
        double deviation = 0;  // Mean distance from the mean.
        // Of the cautious time from the mean, as multiples of `deviation`. Moved at each request so
        // that on the whole the stated part ends within it, whatever the distribution is.
        double distances = 0;

        double cautious() const { return this->mean + this->distances * this->deviation; }
    };

    void add(distribution& times, double took) const;

    // Of the route, or of all routes before its first response.
    distribution usual(const std::string& route) const;
    double slowness(mono_time now) const;

    service_times_options options;
    absl::flat_hash_map<std::string, distribution> by_route;
    distribution overall;  // Zero before the first response.
    absl::flat_hash_map<call_id, running_request> running;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_SERVICE_TIMES_H_
