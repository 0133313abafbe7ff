// Implements the schedule as a queue in time: each return follows the previous one by the mean time
// between two answered calls.

#include "routing/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace trefoil::routing {

namespace {

constexpr std::chrono::seconds forget_after{60};

mono_duration scaled(mono_duration time, double share) {
    return std::chrono::duration_cast<mono_duration>(time * share);
}

}  // namespace

double return_schedule::rate_at(const route_state& state, mono_time now) {
    std::chrono::duration<double> age = now - state.counted_at;
    std::chrono::duration<double> constant = rate_time_constant;
    return state.per_second * std::exp(-std::max(0.0, age / constant));
}

void return_schedule::on_answered(const std::string& route, mono_time now) {
    this->routes.update(route, [now](route_state& state) {
        std::chrono::duration<double> constant = rate_time_constant;
        state.per_second = rate_at(state, now) + 1 / constant.count();
        state.counted_at = now;
    });
}

mono_duration return_schedule::pause_for(const std::string& route, const refused_caller& caller,
                                         mono_time now) {
    mono_duration longest = scaled(caller.left, max_share_of_time);
    if (caller.objective_left.has_value() && *caller.objective_left > mono_duration(0)) {
        longest = std::min(longest, scaled(*caller.objective_left, max_share_of_objective));
    }
    mono_duration earliest = std::min(caller.earliest, longest);
    mono_duration pause = earliest;
    this->routes.update(route, [&](route_state& state) {
        if (state.counted_at == mono_time()) {
            state.counted_at = now;
        }
        std::chrono::duration<double> gap(1 / std::max(min_per_second, rate_at(state, now)));
        mono_time next = now + earliest;
        if (state.last_return.has_value()) {
            next =
                std::max(next, *state.last_return + std::chrono::duration_cast<mono_duration>(gap));
        }
        next = std::min(next, now + longest);
        state.last_return = std::max(next, state.last_return.value_or(next));
        pause = next - now;
    });
    return pause;
}

void return_schedule::expire(mono_time now) {
    this->routes.erase_if([now](const std::string& /*route*/, const route_state& state) {
        return now - state.counted_at > forget_after;
    });
}

}  // namespace trefoil::routing
