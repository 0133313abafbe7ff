// Moving average of the share of a route's calls that instances refused for lack of capacity. In a
// large service it is more significant than the state of single instances, because an ingress
// rarely calls the same instance twice.
//
// Example:
//
//     routing::recent_refusals refusals;
//     refusals.on_refused("readings", now);
//     refusals.on_accepted("readings");
//     if (refusals.share("readings", later) >= 0.5) { ... }

#ifndef TREFOIL_ROUTING_RECENT_REFUSALS_H_
#define TREFOIL_ROUTING_RECENT_REFUSALS_H_

#include <chrono>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"

namespace trefoil::routing {

// Safe for concurrent use; one lock per shard.
class recent_refusals {
public:
    // Weight of a call in the average. An average over about 8 calls rises within a few calls when
    // a service is overloaded, while a single full instance does not raise it to one half.
    static constexpr double sample_weight = 1.0 / 8;
    // The share decays with this half-life after the latest refusal, so that an ingress checks
    // within a second whether there is capacity again.
    static constexpr std::chrono::milliseconds half_life{500};

    // The gate of an instance refused a call of the route.
    void on_refused(const std::string& route, mono_time now);
    // An instance accepted a call of the route.
    void on_accepted(const std::string& route);

    // From 0 to 1; 0 without recorded refusals.
    double share(const std::string& route, mono_time now) const;

    // Removes the shares that have decayed to nearly 0.
    void expire(mono_time now);

private:
    struct recent {
        double share = 0;  // At `refused_at`, reduced with each call accepted since then.
        mono_time refused_at;

        double at(mono_time now) const;
    };

    sharded_map<std::string, recent> latest;  // By route; only routes with recent refusals.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RECENT_REFUSALS_H_
