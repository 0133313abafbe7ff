// Tests of the distribution of a split route over its services, at one daemon and over a fleet.

#define BOOST_TEST_MODULE routing_traffic_split
#include "routing/traffic_split.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <vector>

namespace trefoil::routing {

namespace {

constexpr std::uint64_t any_seed = 7;

config::route split_route(std::vector<config::weighted_service> parts) {
    return {.name = "r", .split = std::move(parts)};
}

// Daemons with a split each, to which a load balancer gives the requests of a route in turn.
class split_fleet {
public:
    explicit split_fleet(std::size_t daemons) {
        for (std::uint64_t seed = 1; seed <= daemons; ++seed) {
            this->splits.push_back(std::make_unique<traffic_split>(seed));
        }
    }

    // Returns the share of the requests that went to `service`.
    double share_of(const std::string& service, const config::route& route, int per_daemon) {
        int chosen = 0;
        for (auto& split : this->splits) {
            for (int i = 0; i < per_daemon; ++i) {
                chosen += split->choose(route) == service ? 1 : 0;
            }
        }
        return static_cast<double>(chosen) /
               static_cast<double>(this->splits.size() * static_cast<std::size_t>(per_daemon));
    }

private:
    std::vector<std::unique_ptr<traffic_split>> splits;
};

}  // namespace

// Guards against shares that are wrong over a few hundred requests, also directly after a change of
// the weights.
BOOST_AUTO_TEST_CASE(services_get_their_shares_over_any_number_of_requests) {
    traffic_split splits(any_seed);
    config::route route = split_route({{"a", 90}, {"b", 10}});
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

BOOST_AUTO_TEST_CASE(three_services_get_their_shares) {
    constexpr std::array<double, 3> weights = {5, 3, 2};
    traffic_split splits(any_seed);
    config::route route = split_route({{"a", weights[0]}, {"b", weights[1]}, {"c", weights[2]}});
    std::map<std::string, int> counts;
    for (int i = 1; i <= 500; ++i) {
        ++counts[splits.choose(route)];
        for (const config::weighted_service& part : route.split) {
            BOOST_TEST(std::abs(counts[part.service] - part.weight / 10 * i) < 3.0);
        }
    }
}

// Load pattern: a fleet of 195 daemons, each with only a few requests of the route. The platform
// allows a share to be wrong by a tenth of the requests.
BOOST_AUTO_TEST_CASE(a_large_fleet_keeps_the_shares_with_few_requests_per_daemon) {
    constexpr double allowed = 0.1;
    for (double weight : {10.0, 30.0, 40.0, 50.0}) {
        for (int per_daemon : {1, 2, 3}) {
            split_fleet fleet(195);
            config::route route = split_route({{"a", 100 - weight}, {"b", weight}});
            BOOST_TEST_CONTEXT("weight " << weight << ", requests per daemon " << per_daemon) {
                BOOST_TEST(std::abs(fleet.share_of("b", route, per_daemon) - weight / 100) <
                           allowed);
            }
        }
    }
}

// Load pattern: the weights change so often that each daemon gets few requests between two changes.
BOOST_AUTO_TEST_CASE(a_large_fleet_keeps_the_shares_while_weights_change_often) {
    split_fleet fleet(195);
    for (double weight : {40.0, 39.0, 41.0, 38.0}) {
        config::route route = split_route({{"a", 100 - weight}, {"b", weight}});
        BOOST_TEST(std::abs(fleet.share_of("b", route, 1) - weight / 100) < 0.1);
    }
}

// Guards against a route without a split that is not sent to its only service.
BOOST_AUTO_TEST_CASE(a_route_without_a_split_uses_its_service) {
    traffic_split splits(any_seed);
    BOOST_TEST(splits.choose({.name = "r", .service = "a"}) == "a");
}

// Guards against a former split that stays in effect.
BOOST_AUTO_TEST_CASE(a_service_that_left_the_split_gets_no_requests) {
    traffic_split splits(any_seed);
    config::route route = split_route({{"a", 50}, {"b", 50}});
    splits.choose(route);
    route = split_route({{"a", 1}});
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(splits.choose(route) == "a");
    }
}

}  // namespace trefoil::routing
