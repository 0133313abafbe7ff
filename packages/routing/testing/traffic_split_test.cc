// Tests of the distribution of a split route over its services.

#define BOOST_TEST_MODULE routing_traffic_split
#include "routing/traffic_split.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace trefoil::routing {

// Guards against shares that are wrong over a few hundred requests, also directly after a change of
// the weights.
BOOST_AUTO_TEST_CASE(services_get_their_shares_over_any_number_of_requests) {
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

// Guards against a route without a split that is not sent to its only service.
BOOST_AUTO_TEST_CASE(a_route_without_a_split_uses_its_service) {
    traffic_split splits;
    BOOST_TEST(splits.choose({.name = "r", .service = "a"}) == "a");
}

}  // namespace trefoil::routing
