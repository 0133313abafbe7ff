// Tests of the warnings about valid configurations.

#define BOOST_TEST_MODULE config_warnings
#include "config/warnings.h"

#include <boost/test/unit_test.hpp>

#include "base/hash.h"
#include "config/build_snapshot.h"

namespace trefoil::config {

namespace {

const std::string sound =
    "services: {station: {slots: 12, max_connections: 110}}\n"
    "routes: {readings: {path_prefix: /station/, service: station, timeout_ms: 900,\n"
    "  latency_objective_ms: 300}}\n"
    "workspaces: {north: {rate: 5, burst: 20}}\n"
    "failure_domains: {d1: {}, d2: {out: true}}\n";

// Returns the warnings about `sound` with a part replaced, one per line.
std::string warnings_with(const std::string& from, const std::string& to) {
    std::string body = sound + "keys: {north-1: {workspace: north, sha256: " + sha256_hex("k") +
                       "}}\nfleet: {max_instances: 2}\n";
    body.replace(body.find(from), from.size(), to);
    auto built = build_snapshot(make_document("base", 1, body), empty_overlay("north"));
    auto* valid = std::get_if<snapshot>(&built);
    if (valid == nullptr) {
        return "invalid";
    }
    std::string text;
    for (const warning& each : find_warnings(*valid)) {
        text += describe(each) + "\n";
    }
    return text;
}

}  // namespace

// Guards against warnings about configurations without a fault, which operators would ignore.
BOOST_AUTO_TEST_CASE(a_sound_configuration_has_no_warnings) {
    BOOST_TEST(warnings_with("", "") == "");
}

// Guards against entries that operators believe to be effective.
BOOST_AUTO_TEST_CASE(entries_that_can_never_match_are_reported) {
    BOOST_TEST(warnings_with("services: {", "services: {dosing: {slots: 2}, ") ==
               "service dosing: no route targets it\n");
    BOOST_TEST(warnings_with("workspaces: {", "workspaces: {south: {rate: 1, burst: 1}, ") ==
               "workspace south: it has no key, so no request can belong to it\n");
    BOOST_TEST(warnings_with("service: station,", "service: station, open: true,") ==
               "workspace north: no route admits it\n");
    BOOST_TEST(warnings_with("d1: {}", "d1: {out: true}") ==
               "failure domains: all are taken out, so no request is served\n");
}

// Guards against limits of which one makes the other meaningless.
BOOST_AUTO_TEST_CASE(contradicting_limits_are_reported) {
    BOOST_TEST(warnings_with("max_connections: 110", "max_connections: 8") ==
               "service station: max_connections 8 allows fewer requests than slots 12\n");
    BOOST_TEST(warnings_with("timeout_ms: 900", "timeout_ms: 300") ==
               "route readings: a request ends at timeout_ms 300 before it can miss "
               "latency_objective_ms 300\n");
    BOOST_TEST(
        warnings_with("service: station,", "service: station, idempotent: false, attempts: 3,")
            .starts_with("route readings: its requests are not idempotent"));
}

}  // namespace trefoil::config
