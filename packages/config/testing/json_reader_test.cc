// Tests of JSON documents: they must have the same meaning as the equivalent YAML.

#define BOOST_TEST_MODULE config_json_reader
#include "config/json_reader.h"

#include <boost/test/unit_test.hpp>

#include "config/build_snapshot.h"

namespace trefoil::config {

namespace {

snapshot build_valid(const std::string& body) {
    auto outcome = build_snapshot(make_document("base", 3, body), empty_overlay("north"));
    BOOST_TEST_REQUIRE(std::holds_alternative<snapshot>(outcome));
    return std::get<snapshot>(std::move(outcome));
}

std::string failures_of(const std::string& body) {
    auto outcome = build_snapshot(make_document("base", 3, body), empty_overlay("north"));
    std::string texts;
    if (auto* failures = std::get_if<validation_failures>(&outcome)) {
        for (const validation_failure& each : *failures) {
            texts += describe(each) + "\n";
        }
    }
    return texts;
}

}  // namespace

// Guards against a difference between the JSON and the YAML reader for any kind of value.
BOOST_AUTO_TEST_CASE(json_and_yaml_give_the_same_configuration) {
    snapshot from_json = build_valid(R"({"version": 7, "fleet": {"max_instances": "listed"},
        "caller_limits": {"max_body_bytes": 4096, "idle_timeout_ms": 15000},
        "services": {"a": {"slots": "listed", "cold": {"duration_ms": 3000, "rate": 6.2},
                           "health_path": "/healthz", "max_connections": 110},
                     "b": {"slots": 4}},
        "routes": {"r": {"host": "X.example", "path_prefix": "/r/", "idempotent": true,
                         "open": false, "timeout_ms": 1000, "latency_objective_ms": 300,
                         "priority": 2, "attempts": 2, "regions": ["one"],
                         "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]}},
        "workspaces": {"w": {"rate": "unlimited", "priority": 0}, "v": {"rate": 1.5, "burst": 3}}})");
    snapshot from_yaml = build_valid(R"(
version: 7
fleet: {max_instances: listed}
caller_limits: {max_body_bytes: 4096, idle_timeout_ms: 15000}
services:
  a: {slots: listed, cold: {duration_ms: 3000, rate: 6.2}, health_path: /healthz,
      max_connections: 110}
  b: {slots: 4}
routes:
  r:
    host: x.example
    path_prefix: /r/
    idempotent: true
    timeout_ms: 1000
    latency_objective_ms: 300
    priority: 2
    attempts: 2
    regions: [one]
    split: [{service: a, weight: 90}, {service: b, weight: 10}]
workspaces:
  w: {rate: unlimited, priority: 0}
  v: {rate: 1.5, burst: 3}
)");
    BOOST_TEST((from_json.contents().routes == from_yaml.contents().routes));
    BOOST_TEST((from_json.contents().services == from_yaml.contents().services));
    BOOST_TEST((from_json.contents().workspaces == from_yaml.contents().workspaces));
    BOOST_TEST((from_json.caller_limits() == from_yaml.caller_limits()));
    BOOST_TEST((from_json.fleet() == from_yaml.fleet()));
    BOOST_TEST(from_json.version() == 7U);
}

// Guards against quoted numbers that are accepted as numbers, and against duplicate or unknown keys
// that are ignored.
BOOST_AUTO_TEST_CASE(json_is_as_strict_as_yaml) {
    BOOST_TEST(failures_of(R"({"fleet": {"max_instances": "4"}})") ==
               "base:1: fleet.max_instances: expected an integer from 1 to 100000, found a quoted "
               "text\n");
    BOOST_TEST(failures_of(R"({"fleet": {"max_instances": 4, "max_instances": 5}})") ==
               "base:1: fleet.max_instances: expected each key once in a map\n");
    BOOST_TEST(failures_of(R"({"fleet": {"max_instances": 4}, "flet": {}})") != "");
}

// Guards against a route that has neither or both of `service` and `split`.
BOOST_AUTO_TEST_CASE(a_route_needs_service_or_split) {
    std::string services = R"("fleet": {"max_instances": 4}, "services": {"a": {"slots": 1}})";
    std::string both =
        R"({"path_prefix": "/", "service": "a", "split": [{"service": "a", "weight": 1}]})";
    BOOST_TEST(failures_of("{" + services + R"(, "routes": {"r": )" + both + "}}") ==
               "base:1: routes.r.service: expected either service or split\n");
    BOOST_TEST(failures_of("{" + services + R"(, "routes": {"r": {"path_prefix": "/"}}})") ==
               "base:1: routes.r.service: missing field, expected a name\n");
    BOOST_TEST(
        failures_of("{" + services + R"(, "routes": {"r": {"path_prefix": "/", "split": []}}})") ==
        "base:1: routes.r.split: expected at least one service with a weight above 0\n");
}

// Guards against a split without any traffic, which would leave a route without a service.
BOOST_AUTO_TEST_CASE(a_split_needs_a_known_service_with_a_weight) {
    auto document = [](const std::string& split) {
        return R"({"fleet": {"max_instances": 4}, "services": {"a": {"slots": 1}, "b": {"slots": 1}}, "routes": {"r":
            {"path_prefix": "/", "split": )" +
               split + "}}}";
    };
    std::string only_zero = R"([{"service": "a", "weight": 0}, {"service": "b", "weight": 0}])";
    BOOST_TEST(failures_of(document(only_zero)).find("weight above 0") != std::string::npos);
    BOOST_TEST(failures_of(document("[]")).find("weight above 0") != std::string::npos);
    std::string unknown = failures_of(document(R"([{"service": "c", "weight": 1}])"));
    BOOST_TEST(unknown.find("expected the name of a service") != std::string::npos);
    snapshot built =
        build_valid(document(R"([{"service": "a", "weight": 0}, {"service": "b", "weight": 2}])"));
    auto found = built.find_route("GET", "/x");
    BOOST_TEST(std::get<const route*>(found)->split.size() == 1U);
    BOOST_TEST(std::get<const route*>(found)->split.front().service == "b");
}

// Guards against a request that is routed by the routes of another host.
BOOST_AUTO_TEST_CASE(routes_are_chosen_by_host_and_longest_prefix) {
    snapshot built = build_valid(R"({"fleet": {"max_instances": 4}, "services": {"a": {"slots": 1}},
        "routes": {"one": {"host": "one.example", "path_prefix": "/x/", "service": "a"},
                   "deep": {"host": "one.example", "path_prefix": "/x/y/", "service": "a"},
                   "two": {"host": "two.example", "path_prefix": "/x/", "service": "a"},
                   "any": {"path_prefix": "/z/", "service": "a"}}})");
    auto name = [&built](std::string_view host, std::string_view path) {
        auto found = built.find_route(host, "GET", path);
        auto* route = std::get_if<const config::route*>(&found);
        return route == nullptr ? std::string("none") : (*route)->name;
    };
    BOOST_TEST(name("one.example", "/x/1") == "one");
    BOOST_TEST(name("ONE.example:8080", "/x/y/1") == "deep");
    BOOST_TEST(name("two.example", "/x/y/1") == "two");
    BOOST_TEST(name("three.example", "/x/1") == "none");
    BOOST_TEST(name("three.example", "/z/1") == "any");
    BOOST_TEST(name("", "/x/1") == "none");
}

}  // namespace trefoil::config
