// Implements the attribution of nested calls. Runs start independently of each other, so on average
// as many calls of others come during a run as in any time of its length. What comes beyond that is
// the run's own.

#include "routing/nested_call_attribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil::routing {

namespace {

// Time constant of the usual rate of calls: long against a run, short against changes of load.
constexpr std::chrono::duration<double> rate_memory{2};
// Routes with few runs are taken to be like all others, as if they had so many such runs.
constexpr double assumed_runs = 4;
// After so many runs, what came before counts half.
constexpr std::uint64_t aging_runs = 2048;
// Sums below this say nothing any more.
constexpr double least_runs = 0.5;

double seconds(mono_duration time) {
    return std::chrono::duration<double>(time).count();
}

}  // namespace

nested_call_attribution::run_id nested_call_attribution::begin_run(const std::string& route,
                                                                   double retry_probability,
                                                                   mono_time now) {
    if (!this->first_start.has_value()) {
        this->first_start = now;
        this->last_call = now;
    }
    run_id number = this->next_id++;
    this->running[number] = {.route = route,
                             .retry_probability = retry_probability,
                             .started_at = now,
                             .calls_before = this->call_total};
    return number;
}

void nested_call_attribution::end_run(run_id number, mono_time now) {
    auto found = this->running.find(number);
    if (found == this->running.end()) {
        return;
    }
    running_request run = std::move(found->second);
    this->running.erase(found);
    double length = seconds(now - run.started_at);
    auto came = static_cast<double>(this->call_total - run.calls_before);
    double extra = came - this->calls_per_second(now) * length;
    for (run_sums* each : {&this->routes[run.route], &this->all}) {
        each->runs += 1;
        each->seconds += length;
        each->extra_calls += extra;
    }
    if (++this->finished_total % aging_runs == 0) {
        this->age();
    }
}

// The smoothed rate, corrected for the time before the first run.
double nested_call_attribution::calls_per_second(mono_time now) const {
    if (!this->first_start.has_value()) {
        return 0;
    }
    double memory = rate_memory.count();
    double known = 1 - std::exp(-seconds(now - *this->first_start) / memory);
    double rate = this->recent_rate * std::exp(-seconds(now - this->last_call) / memory);
    return known > 0 ? rate / known : 0;
}

// Calls a second that one run of the route makes.
double nested_call_attribution::call_rate_of(const std::string& route) const {
    run_sums own;
    if (auto found = this->routes.find(route); found != this->routes.end()) {
        own = found->second;
    }
    if (this->all.runs < least_runs) {
        return 1;  // All alike.
    }
    double assumed_calls = assumed_runs * this->all_calls / this->all.runs;
    double assumed_seconds = assumed_runs * this->all.seconds / this->all.runs;
    double time = own.seconds + assumed_seconds;
    return time > 0 ? (std::max(0.0, own.extra_calls) + assumed_calls) / time : 1;
}

double nested_call_attribution::attribute_call(const std::string& service, mono_time now) {
    double memory = rate_memory.count();
    this->recent_rate =
        this->recent_rate * std::exp(-seconds(now - this->last_call) / memory) + 1 / memory;
    this->last_call = now;
    ++this->call_total;
    this->called[service] += 1;
    this->all_calls += 1;
    double repeats = 0;
    double all_runs = 0;
    for (const auto& [number, run] : this->running) {
        double rate = this->call_rate_of(run.route);
        repeats += rate * run.retry_probability;
        all_runs += rate;
    }
    return all_runs > 0 ? repeats / all_runs : 0;
}

std::map<std::string, double> nested_call_attribution::expected_calls(
    const std::string& route) const {
    std::map<std::string, double> calls;
    auto found = this->routes.find(route);
    const run_sums& like = found != this->routes.end() ? found->second : this->all;
    if (like.runs < least_runs || this->all_calls <= 0) {
        return calls;
    }
    double of_a_run = this->call_rate_of(route) * like.seconds / like.runs;
    for (const auto& [service, count] : this->called) {
        calls[service] = of_a_run * count / this->all_calls;
    }
    return calls;
}

void nested_call_attribution::age() {
    auto halve = [](run_sums& sums) {
        sums.runs /= 2;
        sums.seconds /= 2;
        sums.extra_calls /= 2;
    };
    halve(this->all);
    for (auto& [route, sums] : this->routes) {
        halve(sums);
    }
    std::erase_if(this->routes, [](const auto& each) { return each.second.runs < least_runs; });
    this->all_calls = 0;
    for (auto& [service, count] : this->called) {
        count /= 2;
        this->all_calls += count;
    }
    std::erase_if(this->called, [](const auto& each) { return each.second < least_runs; });
}

}  // namespace trefoil::routing
