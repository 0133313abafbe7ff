// Distributes the requests of a split route over its services in proportion to their weights.
//
// Example:
//
//     routing::traffic_split splits(entropy_seed());
//     std::string service = splits.choose(route);

#ifndef TREFOIL_ROUTING_TRAFFIC_SPLIT_H_
#define TREFOIL_ROUTING_TRAFFIC_SPLIT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/sharded_map.h"
#include "config/values.h"

namespace trefoil::routing {

// Safe for concurrent use; one lock per shard of routes.
//
// Each part but the last takes its share of the requests that the parts before it left, evenly
// spaced and from a random phase (systematic sampling). Over any sequence of requests of one daemon
// the count of each part therefore differs from its share by less than the number of parts. Over
// the fleet the expected share of each request is exact, however few requests each daemon gets;
// daemons that all start with the same part would send it far too much.
class traffic_split {
public:
    // Different daemons need different seeds.
    explicit traffic_split(std::uint64_t random_seed) : seed(random_seed) {}

    // Returns the service for the next request of the route.
    std::string choose(const config::route& route);

private:
    struct state {
        std::vector<config::weighted_service> parts;  // The split that `phases` belongs to.
        // In [0, 1), one for each part but the last. A part takes the request at which its phase
        // reaches 1.
        std::vector<double> phases;
        std::uint64_t changes = 0;  // Number of splits that this route has had.
    };

    void restart(state& changed, const config::route& route) const;

    const std::uint64_t seed;
    sharded_map<std::string, state> states;  // By name of the route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_TRAFFIC_SPLIT_H_
