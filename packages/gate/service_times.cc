// Implements the means and the look at running requests.

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

void service_times::add(distribution& times, double took) const {
    if (times.mean == 0) {
        times.mean = took;
        times.distances = this->options.first_distances;
        return;
    }
    double beyond = took > times.cautious() ? 1 : 0;
    double moved = times.distances +
                   this->options.distances_step * (beyond - (1 - this->options.cautious_part));
    times.distances =
        std::clamp(moved, this->options.least_distances, this->options.most_distances);
    double distance = took - times.mean;
    times.mean += this->options.latest_weight * distance;
    times.deviation += this->options.latest_weight * (std::abs(distance) - times.deviation);
}

void service_times::started(const call_id& id, const std::string& route, mono_time now) {
    this->running[id] = {.route = route, .started = now};
}

void service_times::ended(const call_id& id, bool counts, mono_time now) {
    auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    double took = std::chrono::duration<double>(now - found->second.started).count();
    if (counts) {
        this->add(this->by_route[found->second.route], took);
        this->add(this->overall, took);
    }
    this->running.erase(found);
}

service_times::distribution service_times::usual(const std::string& route) const {
    auto found = this->by_route.find(route);
    return found == this->by_route.end() ? this->overall : found->second;
}

double service_times::slowness(mono_time now) const {
    if (this->running.size() < this->options.fewest_running) {
        return 1;
    }
    double ages = 0;
    double expected_ages = 0;
    for (const auto& [id, each] : this->running) {
        ages += std::chrono::duration<double>(now - each.started).count();
        expected_ages += this->usual(each.route).mean;
    }
    if (expected_ages <= 0) {
        return 1;
    }
    double ratio = ages / expected_ages;
    return ratio > this->options.slow_ages ? ratio : 1;
}

mono_duration service_times::expected(const std::string& route, mono_time now) const {
    return to_duration(this->usual(route).mean * this->slowness(now));
}

mono_duration service_times::cautious(const std::string& route, mono_time now) const {
    return to_duration(this->usual(route).cautious() * this->slowness(now));
}

mono_duration service_times::mean(mono_time now) const {
    return to_duration(this->overall.mean * this->slowness(now));
}

}  // namespace trefoil::gate
