// What the gates of the called services last reported about the origin of each route's calls
// (routing/call_origins.h). An ingress sees too few of a route's calls to learn it by itself.
//
// Example:
//
//     routing::reported_origins reported;
//     reported.add("rooms", routing::call_origin::upstreams, now);
//     if (reported.origin_of("rooms", later) == routing::call_origin::upstreams) { ... }

#ifndef TREFOIL_ROUTING_REPORTED_ORIGINS_H_
#define TREFOIL_ROUTING_REPORTED_ORIGINS_H_

#include <chrono>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"
#include "routing/call_origins.h"

namespace trefoil::routing {

// Safe for concurrent use; one lock per shard.
class reported_origins {
public:
    // Time without a report after which the origin is unknown again. A gate forgets a route's calls
    // in about the same time.
    static constexpr std::chrono::seconds valid_for{60};

    void add(const std::string& route, call_origin origin, mono_time now) {
        this->latest.update(
            route, [&](report& slot) { slot = {.origin = origin, .until = now + valid_for}; });
    }

    call_origin origin_of(const std::string& route, mono_time now) const {
        auto found = this->latest.find(route);
        return found.has_value() && now < found->until ? found->origin : call_origin::unknown;
    }

    // Removes the reports that are no longer valid.
    void expire(mono_time now) {
        this->latest.erase_if(
            [now](const std::string& /*route*/, const report& each) { return now >= each.until; });
    }

private:
    struct report {
        call_origin origin = call_origin::unknown;
        mono_time until;
    };

    sharded_map<std::string, report> latest;  // By route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_REPORTED_ORIGINS_H_
