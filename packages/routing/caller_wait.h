// Estimates how long a caller has waited before it sent a request, from the time limit that the
// request states. A caller that was refused and returns states what is left of its time, so its
// latency objective is already used up in part.
//
// Callers of a route usually state the same limit at first. A smaller one tells that time has
// passed, unless many callers of the route state smaller limits: then nothing is concluded.
//
// Example:
//
//     caller_wait waits;
//     std::chrono::milliseconds waited = waits.record("lookup", stated_limit);

#ifndef TREFOIL_ROUTING_CALLER_WAIT_H_
#define TREFOIL_ROUTING_CALLER_WAIT_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "base/sharded_map.h"

namespace trefoil::routing {

// Safe for concurrent use; one lock per shard.
class caller_wait {
public:
    // At least this share of the requests must state the full limit.
    static constexpr double min_full_share = 0.5;
    // A limit that is at most this part below the largest one counts as full: the caller may have
    // needed some time to connect.
    static constexpr double full_tolerance = 0.02;
    // Number of requests of a route before anything is concluded.
    static constexpr std::size_t min_requests = 16;
    // Number of requests after which the counts are halved and a full limit that callers have
    // ceased to state is replaced.
    static constexpr std::size_t requests_per_review = 128;

    // Counts a request of the route with this time limit. Returns how long its caller has waited
    // before, 0 in doubt.
    std::chrono::milliseconds record(const std::string& route, std::chrono::milliseconds limit);

private:
    struct limits {
        std::chrono::milliseconds full{0};            // The limit that callers state at first.
        std::chrono::milliseconds largest_lately{0};  // Since the latest review.
        double requests = 0;
        double with_full = 0;  // Of `requests`.
        std::size_t until_review = requests_per_review;
    };

    static std::chrono::milliseconds update(limits& known, std::chrono::milliseconds limit);

    sharded_map<std::string, limits> routes;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_CALLER_WAIT_H_
