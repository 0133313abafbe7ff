// Remembers for a moment which instances refused late calls of a route, so that the next ones are
// not sent there in vain.
//
// Example:
//
//     routing::late_refusals refusals;
//     refusals.add("station-1", "readings", now);
//     if (refusals.recently_refused("station-1", "readings", later)) { ... refuse at once ... }

#ifndef TREFOIL_ROUTING_LATE_REFUSALS_H_
#define TREFOIL_ROUTING_LATE_REFUSALS_H_

#include <chrono>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"

namespace trefoil::routing {

// Safe for concurrent use; one lock per shard.
class late_refusals {
public:
    // A gate refuses late calls after it had no room for them for up to a second
    // (late_start_rate::max_observation). Within a tenth of that, one call from each ingress finds
    // out whether there is room again.
    static constexpr std::chrono::milliseconds memory{100};

    void add(const std::string& instance, const std::string& route, mono_time now);

    // Whether the instance would most likely refuse a late call of the route now.
    bool recently_refused(const std::string& instance, const std::string& route,
                          mono_time now) const;

    // Forgets refusals that say nothing any more.
    void expire(mono_time now);

private:
    sharded_map<std::string, mono_time> latest;  // Latest refusal, by instance and route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_LATE_REFUSALS_H_
