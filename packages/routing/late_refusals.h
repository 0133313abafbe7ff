// Records briefly which instances refused late calls of a route, so that the next late calls are
// not sent there as well. A late call is one that probably misses its latency objective.
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
    // A gate refuses late calls when it had no capacity for them for up to a second
    // (late_start_rate::max_observation). After a tenth of that time, each ingress sends one call
    // to check whether there is capacity again.
    static constexpr std::chrono::milliseconds retention{100};

    void add(const std::string& instance, const std::string& route, mono_time now);

    // Whether the instance refused a late call of the route within `retention`.
    bool recently_refused(const std::string& instance, const std::string& route,
                          mono_time now) const;

    // Removes the refusals that are older than `retention`.
    void expire(mono_time now);

private:
    sharded_map<std::string, mono_time> latest;  // Latest refusal, by instance and route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_LATE_REFUSALS_H_
