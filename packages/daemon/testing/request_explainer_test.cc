// Tests of the explanation of requests: which route, services and upstreams it shows.

#define BOOST_TEST_MODULE daemon_request_explainer
#include "daemon/request_explainer.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <variant>

#include "config/build_snapshot.h"
#include "config/document.h"

namespace trefoil::daemon {

namespace {

using json = nlohmann::json;

constexpr mono_time now{std::chrono::hours(1)};
constexpr const char* base = R"(
fleet: {max_instances: 4}
services: {station: {slots: 1}, next: {slots: 1}}
routes:
  split:
    path_prefix: /split/
    host: fleet.example
    open: true
    split: [{service: station, weight: 3}, {service: next, weight: 1}]
  plain: {path_prefix: /plain/, service: station, open: true}
)";

struct fixture {
    fixture() {
        auto built = config::build_snapshot(config::make_document("base", 7, base),
                                            config::empty_overlay("north"));
        BOOST_REQUIRE(std::holds_alternative<config::snapshot>(built));
        this->shared.snapshot.publish(
            std::make_shared<const config::snapshot>(std::move(std::get<config::snapshot>(built))));
        this->shared.control.publish(std::make_shared<const control_state>(
            control_state{.ready = true, .confirmed_at = now}));
        routing::candidate_list::services services;
        services["station"] = {{.instance = "s-1", .failure_domain = "d1"}};
        services["next"] = {{.instance = "n-1", .failure_domain = "d2", .taken_out = true}};
        this->shared.candidates.publish(
            std::make_shared<const routing::candidate_list>(std::move(services)));
    }

    shared_state shared;
    upstream_selector selector{"d1", this->shared};
    request_explainer explainer{"d1", this->shared, this->selector};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_split_route_is_shown_with_its_services_and_their_upstreams, fixture) {
    json shown = this->explainer.explain({.host = "fleet.example", .path = "/split/7"}, now);
    BOOST_TEST(shown["decision"] == "routed");
    BOOST_TEST(shown["services"] == json::parse(R"([{"service": "station", "share": 0.75},
                                                    {"service": "next", "share": 0.25}])"));
    BOOST_REQUIRE(shown["candidates"].size() == 2U);
    BOOST_TEST(shown["candidates"][0]["instance"] == "s-1");
    BOOST_TEST(shown["candidates"][1]["service"] == "next");
    BOOST_TEST(shown["candidates"][1]["reason"] == "taken out");
}

// Guards against a route for one host that is never found, because the host is not looked up.
BOOST_FIXTURE_TEST_CASE(a_route_for_a_host_matches_only_that_host, fixture) {
    BOOST_TEST(this->explainer.explain({.path = "/split/7"}, now)["reason"] == "no_route");
    BOOST_TEST(this->explainer.explain({.host = "fleet.example", .path = "/split/7"},
                                       now)["route"] == "split");
}

BOOST_FIXTURE_TEST_CASE(a_route_without_a_split_is_shown_with_its_only_service, fixture) {
    json shown = this->explainer.explain({.path = "/plain/7"}, now);
    BOOST_TEST(shown["services"] == json::parse(R"([{"service": "station", "share": 1.0}])"));
}

BOOST_FIXTURE_TEST_CASE(an_unconfirmed_daemon_explains_its_refusal, fixture) {
    json shown = this->explainer.explain({.path = "/plain/7"},
                                         now + confirmation_limit + std::chrono::milliseconds(1));
    BOOST_TEST(shown["decision"] == "refused");
    BOOST_TEST(shown["reason"] == "unconfirmed");
}

}  // namespace trefoil::daemon
