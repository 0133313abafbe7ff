// Tests of the split of a route over services.

#define BOOST_TEST_MODULE routing_traffic_split
#include "routing/traffic_split.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace trefoil::routing {

// Guards against shares that are off over a few hundred requests, also right after a change of
// weights.
BOOST_AUTO_TEST_CASE(parts_get_their_shares_in_every_stretch) {
    traffic_split splits;
    config::route route{.name = "r", .split = {{"a", 90}, {"b", 10}}};
    for (double weight : {10.0, 50.0, 1.0}) {
        route.split[1].weight = weight;
        std::map<std::string, int> counts;
        for (int i = 1; i <= 200; ++i) {
            ++counts[splits.choose(route)];
            double share = weight / (90 + weight);
            BOOST_TEST(std::abs(counts["b"] - share * i) <= 2.0);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_route_without_split_has_one_service) {
    traffic_split splits;
    BOOST_TEST(splits.choose({.name = "r", .service = "a"}) == "a");
}

}  // namespace trefoil::routing
