// The share of a route's latest offers that instances refused for want of room. In a large service
// it says more than what is known of single instances, which an ingress seldom calls twice.
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
    // A mean over about 8 offers rises within a few calls when a service fills up, and one full
    // instance alone does not raise it to a half.
    static constexpr double latest_weight = 1.0 / 8;
    // After this time without a refusal the share counts half, so that room which has returned is
    // looked for within a second.
    static constexpr std::chrono::milliseconds half_life{500};

    // The gate of an instance refused a call of the route.
    void on_refused(const std::string& route, mono_time now);
    // An instance took one.
    void on_accepted(const std::string& route);

    // From 0 to 1; 0 while nothing is known.
    double share(const std::string& route, mono_time now) const;

    // Forgets shares that say nothing any more.
    void expire(mono_time now);

private:
    struct recent {
        double share = 0;  // As of `refused_at`, and less with each call accepted since.
        mono_time refused_at;

        double at(mono_time now) const;
    };

    sharded_map<std::string, recent> latest;  // By route, with those that refused lately.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RECENT_REFUSALS_H_
