// Implements the throttle. Only runs that started after the latest change of a share count, because
// earlier ones do not show its effect.

#include "gate/nested_call_throttle.h"

#include <algorithm>

namespace trefoil::gate {

bool nested_call_throttle::admit(const std::string& route) {
    absl::MutexLock lock(&this->mutex);
    auto found = this->routes.find(route);
    if (found == this->routes.end() || found->second.share >= 1) {
        return true;
    }
    route_state& state = found->second;
    state.credit = std::min(state.credit + state.share, 1 + state.share);
    if (state.credit < 1) {
        ++this->total.excess;
        return false;
    }
    state.credit -= 1;
    return true;
}

void nested_call_throttle::on_nested_call_failed(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    if (!this->last_failure.has_value() || now - *this->last_failure > max_period) {
        this->unmatched_failures = 0;
    }
    this->last_failure = now;
    ++this->unmatched_failures;
}

std::optional<double> nested_call_throttle::on_run_ended(const std::string& route,
                                                         const ended_run& run, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    bool failed = run.failed && this->last_failure.has_value() &&
                  *this->last_failure >= run.started && this->unmatched_failures > 0;
    this->unmatched_failures -= failed ? 1 : 0;
    auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        if (!failed) {
            return std::nullopt;
        }
        // The period includes this run.
        found = this->routes.emplace(route, route_state{.period_start = run.started}).first;
    }
    this->total.failed_runs += failed ? 1 : 0;
    route_state& state = found->second;
    if (run.started >= state.period_start) {
        ++state.runs;
        state.failed += failed ? 1 : 0;
    }
    mono_duration length = now - state.period_start;
    bool over = length >= min_period && state.runs >= min_runs;
    if (!over && length < max_period) {
        return std::nullopt;
    }
    double before = state.share;
    if (state.failed == 0) {
        state.share = std::min(1.0, state.share * headroom);
    } else if (state.runs >= min_runs) {
        auto runs = static_cast<double>(state.runs);
        double served = (runs - static_cast<double>(state.failed)) / runs;
        state.share = std::clamp(state.share * served * headroom, min_share, 1.0);
    }
    double after = state.share;
    if (after >= 1 && state.failed == 0) {
        this->routes.erase(found);
    } else {
        state.period_start = now;
        state.runs = 0;
        state.failed = 0;
    }
    return after != before ? std::optional(after) : std::nullopt;
}

std::map<std::string, double> nested_call_throttle::shares() const {
    absl::MutexLock lock(&this->mutex);
    std::map<std::string, double> limited;
    for (const auto& [route, state] : this->routes) {
        if (state.share < 1) {
            limited.emplace(route, state.share);
        }
    }
    return limited;
}

throttle_totals nested_call_throttle::totals() const {
    absl::MutexLock lock(&this->mutex);
    return this->total;
}

}  // namespace trefoil::gate
