// Decides when refused callers may come back, so that they do not all return at the same moment and
// those who were refused first return first.
//
// The callers of a route get consecutive times at the rate at which its calls were answered lately:
// that many can be served again at the most. A caller gets no time that it would not wait for, nor
// one after which it could hardly be served within its latency objective.
//
// Example:
//
//     routing::return_schedule schedule;
//     schedule.on_answered("lookup", now);
//     mono_duration pause = schedule.pause_for("lookup", {.left = left, .earliest = wait}, now);

#ifndef TREFOIL_ROUTING_RETURN_SCHEDULE_H_
#define TREFOIL_ROUTING_RETURN_SCHEDULE_H_

#include <chrono>
#include <optional>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"

namespace trefoil::routing {

struct refused_caller {
    mono_duration left{0};  // Until its deadline.
    // Until its latency objective; absent if there is none.
    std::optional<mono_duration> objective_left = std::nullopt;
    // Before this time the refusing instances have no room.
    mono_duration earliest{0};

    friend bool operator==(const refused_caller&, const refused_caller&) = default;
};

// Safe for concurrent use; one lock per shard.
class return_schedule {
public:
    // Callers wait for at most this share of what is left.
    static constexpr double max_share_of_time = 1.0 / 3;
    // The rest of the objective is needed for the call itself.
    static constexpr double max_share_of_objective = 1.0 / 2;
    // Rate that is assumed at least, so that the first refusals are not spread over the whole time.
    static constexpr double min_per_second = 5;
    // Time constant of the rate.
    static constexpr std::chrono::seconds rate_time_constant{2};

    // A call of the route was answered.
    void on_answered(const std::string& route, mono_time now);

    // After how long a caller that is refused now should return; at least `earliest` unless the
    // caller has less time.
    mono_duration pause_for(const std::string& route, const refused_caller& caller, mono_time now);

    // Forgets the routes without recent calls.
    void expire(mono_time now);

private:
    struct route_state {
        double per_second = 0;  // Answered calls, at `counted_at`.
        mono_time counted_at;
        std::optional<mono_time> last_return;  // The latest time that was given.
    };

    static double rate_at(const route_state& state, mono_time now);

    sharded_map<std::string, route_state> routes;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RETURN_SCHEDULE_H_
