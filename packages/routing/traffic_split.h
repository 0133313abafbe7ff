// Distributes the requests of a split route over its services in proportion to their weights.
//
// Example:
//
//     routing::traffic_split splits;
//     std::string service = splits.choose(route);

#ifndef TREFOIL_ROUTING_TRAFFIC_SPLIT_H_
#define TREFOIL_ROUTING_TRAFFIC_SPLIT_H_

#include <string>
#include <vector>

#include "base/sharded_map.h"
#include "config/values.h"

namespace trefoil::routing {

// Safe for concurrent use; one lock per shard of routes. The method is smooth weighted round robin:
// over any sequence of requests, the count of each part differs from its share by at most the
// number of parts. With random choice, the shares of a few hundred requests would be several
// percentage points off.
class traffic_split {
public:
    // Returns the service for the next request of the route.
    std::string choose(const config::route& route);

private:
    struct state {
        std::vector<config::weighted_service> parts;  // The split that `credit` belongs to.
        std::vector<double> credit;                   // One per part; the sum stays 0.
    };

    sharded_map<std::string, state> states;  // By name of the route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_TRAFFIC_SPLIT_H_
