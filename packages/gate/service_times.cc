// Implements the moving means and the ages of the running requests.

#include "gate/service_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace trefoil::gate {

namespace {

mono_duration to_duration(double seconds) {
    return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void service_times::add_sample(distribution& times, double took) const {
    if (times.mean == 0) {
        times.mean = took;
        times.deviations = this->options.initial_deviations;
        return;
    }
    double beyond = took > times.high_percentile() ? 1 : 0;
    double moved = times.deviations +
                   this->options.deviations_step * (beyond - (1 - this->options.percentile));
    times.deviations =
        std::clamp(moved, this->options.min_deviations, this->options.max_deviations);
    double distance = took - times.mean;
    times.mean += this->options.sample_weight * distance;
    times.mean_deviation +=
        this->options.sample_weight * (std::abs(distance) - times.mean_deviation);
}

void service_times::begin_request(const call_id& id, const std::string& route, mono_time now) {
    this->running[id] = {.route = route, .started = now};
}

void service_times::end_request(const call_id& id, bool complete, mono_time now) {
    auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    double took = std::chrono::duration<double>(now - found->second.started).count();
    if (complete) {
        this->add_sample(this->by_route[found->second.route], took);
        this->add_sample(this->overall, took);
    }
    this->running.erase(found);
}

service_times::distribution service_times::distribution_of(const std::string& route) const {
    auto found = this->by_route.find(route);
    return found == this->by_route.end() ? this->overall : found->second;
}

double service_times::slowness(mono_time now) const {
    if (this->running.size() < this->options.min_running) {
        return 1;
    }
    double ages = 0;
    double expected_ages = 0;
    for (const auto& [id, each] : this->running) {
        ages += std::chrono::duration<double>(now - each.started).count();
        expected_ages += this->distribution_of(each.route).mean;
    }
    if (expected_ages <= 0) {
        return 1;
    }
    double ratio = ages / expected_ages;
    return ratio > this->options.slow_age_ratio ? ratio : 1;
}

mono_duration service_times::expected(const std::string& route, mono_time now) const {
    return to_duration(this->distribution_of(route).mean * this->slowness(now));
}

mono_duration service_times::high_percentile(const std::string& route, mono_time now) const {
    return to_duration(this->distribution_of(route).high_percentile() * this->slowness(now));
}

mono_duration service_times::mean(mono_time now) const {
    return to_duration(this->overall.mean * this->slowness(now));
}

}  // namespace trefoil::gate
