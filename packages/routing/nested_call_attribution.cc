// Implements the attribution of nested calls. Runs start independently of each other, so during a
// run the calls of other runs arrive at the overall rate on average. Calls beyond that rate are
// attributed to the run itself.

#include "routing/nested_call_attribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil::routing {

namespace {

// Time constant of the moving average of the call rate: longer than a run, shorter than changes of
// load.
constexpr std::chrono::duration<double> rate_time_constant{2};
// Weight of the mean over all routes in the estimate for a route, as a number of runs. It dominates
// for routes with few runs.
constexpr double prior_runs = 4;
// Number of runs after which the sums are halved.
constexpr std::uint64_t runs_per_decay = 2048;
// Sums of fewer runs or calls are dropped.
constexpr double min_runs = 0.5;

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
    run_id id = this->next_id++;
    this->running[id] = {.route = route,
                         .retry_probability = retry_probability,
                         .started_at = now,
                         .calls_before = this->call_total};
    return id;
}

void nested_call_attribution::end_run(run_id id, mono_time now) {
    auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    running_request run = std::move(found->second);
    this->running.erase(found);
    double length = seconds(now - run.started_at);
    auto came = static_cast<double>(this->call_total - run.calls_before);
    double excess = came - this->calls_per_second(now) * length;
    for (run_sums* each : {&this->routes[run.route], &this->all}) {
        each->runs += 1;
        each->seconds += length;
        each->excess_calls += excess;
    }
    if (++this->finished_total % runs_per_decay == 0) {
        this->decay();
    }
}

// The moving average, corrected for the short time since the first run.
double nested_call_attribution::calls_per_second(mono_time now) const {
    if (!this->first_start.has_value()) {
        return 0;
    }
    double time_constant = rate_time_constant.count();
    double observed = 1 - std::exp(-seconds(now - *this->first_start) / time_constant);
    double rate = this->recent_rate * std::exp(-seconds(now - this->last_call) / time_constant);
    return observed > 0 ? rate / observed : 0;
}

// Calls per second that one run of the route makes.
double nested_call_attribution::call_rate_of(const std::string& route) const {
    run_sums own;
    if (auto found = this->routes.find(route); found != this->routes.end()) {
        own = found->second;
    }
    if (this->all.runs < min_runs) {
        return 1;  // Without data, all routes have the same rate.
    }
    double prior_calls = prior_runs * this->all_calls / this->all.runs;
    double prior_seconds = prior_runs * this->all.seconds / this->all.runs;
    double time = own.seconds + prior_seconds;
    return time > 0 ? (std::max(0.0, own.excess_calls) + prior_calls) / time : 1;
}

double nested_call_attribution::attribute_call(const std::string& service, mono_time now) {
    double time_constant = rate_time_constant.count();
    this->recent_rate =
        this->recent_rate * std::exp(-seconds(now - this->last_call) / time_constant) +
        1 / time_constant;
    this->last_call = now;
    ++this->call_total;
    this->called[service] += 1;
    this->all_calls += 1;
    double retries = 0;
    double all_runs = 0;
    for (const auto& [id, run] : this->running) {
        double rate = this->call_rate_of(run.route);
        retries += rate * run.retry_probability;
        all_runs += rate;
    }
    return all_runs > 0 ? retries / all_runs : 0;
}

std::map<std::string, double> nested_call_attribution::expected_calls(
    const std::string& route) const {
    std::map<std::string, double> calls;
    auto found = this->routes.find(route);
    const run_sums& basis = found != this->routes.end() ? found->second : this->all;
    if (basis.runs < min_runs || this->all_calls <= 0) {
        return calls;
    }
    double per_run = this->call_rate_of(route) * basis.seconds / basis.runs;
    for (const auto& [service, count] : this->called) {
        calls[service] = per_run * count / this->all_calls;
    }
    return calls;
}

void nested_call_attribution::decay() {
    auto halve = [](run_sums& sums) {
        sums.runs /= 2;
        sums.seconds /= 2;
        sums.excess_calls /= 2;
    };
    halve(this->all);
    for (auto& [route, sums] : this->routes) {
        halve(sums);
    }
    std::erase_if(this->routes, [](const auto& each) { return each.second.runs < min_runs; });
    this->all_calls = 0;
    for (auto& [service, count] : this->called) {
        count /= 2;
        this->all_calls += count;
    }
    std::erase_if(this->called, [](const auto& each) { return each.second < min_runs; });
}

}  // namespace trefoil::routing
