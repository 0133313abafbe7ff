// Estimates how long requests take at the upstream, by route. The ages of running requests count as
// well, so that an upstream that became slow is detected before its first slow response.
//
// There are two estimates for each route: a moving mean, and a high percentile, which is the mean
// plus a multiple of the mean absolute deviation from it.
//
// Example:
//
//     gate::service_times times;
//     times.begin_request(id, "readings", now);
//     times.end_request(id, true, later);
//     mono_duration expected = times.expected("readings", now);

#ifndef TREFOIL_GATE_SERVICE_TIMES_H_
#define TREFOIL_GATE_SERVICE_TIMES_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "gate/gate_types.h"

namespace trefoil::gate {

struct service_times_options {
    // Weight of a response in the moving means. A mean over about 16 responses follows a change
    // within a second at the usual rates, and a single long request changes it little.
    double sample_weight = 1.0 / 16;
    // The upstream counts as slow when the ages of the running requests add up to more than this
    // multiple of their mean times. In a steady state the ratio is about 1 if times vary much.
    double slow_age_ratio = 2.0;
    std::size_t min_running = 3;  // With fewer, the ages are not significant.
    // Share of the requests that end within high_percentile(). The latest start of a call (see
    // gate_types.h) is its latency objective less this time, so one in twenty of the calls that
    // start just then may miss the objective.
    double percentile = 0.95;
    // Initial number of mean deviations between the mean and the high percentile. 95% of the
    // requests are within 2.1 if times vary evenly on a logarithmic scale from half to double of
    // the median, within 2.7 if they are exponentially distributed. The initial value is above
    // both, because the first few responses give a poor estimate of the deviation.
    double initial_deviations = 4.0;
    // Step by which a request above the high percentile raises the number of deviations. With it
    // the percentile follows a change of the distribution within about 50 requests.
    double deviations_step = 0.5;
    // Bounds of the number of deviations. Below 1, requests of usual length would be above the
    // percentile; at 6, even 99.5% of exponentially distributed times are within it.
    double min_deviations = 1.0;
    double max_deviations = 6.0;
};

// Not synchronised; the owner holds a lock.
class service_times {
public:
    explicit service_times(service_times_options initial = {}) : options(initial) {}

    void begin_request(const call_id& id, const std::string& route, mono_time now);
    // `complete`: the upstream gave a complete response. Other requests do not change the
    // estimates.
    void end_request(const call_id& id, bool complete, mono_time now);

    // Mean time of a request of the route that starts now; 0 before the first response of any
    // route.
    mono_duration expected(const std::string& route, mono_time now) const;
    // Time within which the share `percentile` of the requests of the route end.
    mono_duration high_percentile(const std::string& route, mono_time now) const;
    // Mean time over the requests of all routes.
    mono_duration mean(mono_time now) const;

private:
    struct running_request {
        std::string route;
        mono_time started;
    };

    // In seconds.
    struct distribution {
        double mean = 0;
        double mean_deviation = 0;  // Mean absolute deviation from the mean.
        // Distance of the high percentile from the mean, in multiples of the mean deviation.
        // Adjusted with each request, so that the stated share of requests ends within it, whatever
        // the distribution is.
        double deviations = 0;

        double high_percentile() const {
            return this->mean + this->deviations * this->mean_deviation;
        }
    };

    void add_sample(distribution& times, double took) const;

    // Of the route, or of all routes before its first response.
    distribution distribution_of(const std::string& route) const;
    // Factor by which the running requests are slower than usual; 1 unless it exceeds
    // `slow_age_ratio`.
    double slowness(mono_time now) const;

    service_times_options options;
    absl::flat_hash_map<std::string, distribution> by_route;
    distribution overall;  // Zero before the first response.
    absl::flat_hash_map<call_id, running_request> running;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_SERVICE_TIMES_H_
