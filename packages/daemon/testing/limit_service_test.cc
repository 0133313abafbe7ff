// Tests of the rate limits right after a configuration was applied.

#define BOOST_TEST_MODULE daemon_limit_service
#include "daemon/limit_service.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <variant>

#include "config/build_snapshot.h"

namespace trefoil::daemon {

namespace {

struct service_fixture {
    shared_state shared;
    machine_time_source clock;
    limit_service limits{
        {}, {.instance = "i-1", .failure_domain = "d1"}, this->shared, this->clock};

    void publish(std::uint64_t revision, const std::string& workspaces) {
        std::string body = "fleet: {max_instances: listed}\nworkspaces: {" + workspaces + "}\n";
        auto built = config::build_snapshot(config::make_document("base", revision, body),
                                            config::empty_overlay("north"));
        BOOST_REQUIRE(std::holds_alternative<config::snapshot>(built));
        this->shared.snapshot.publish(
            std::make_shared<const config::snapshot>(std::get<config::snapshot>(built)));
    }
    bool admits(const std::string& workspace) {
        bool admitted = false;
        this->limits.admit(workspace,
                           [&](const admission_outcome& outcome) { admitted = outcome.admitted; });
        return admitted;
    }
};

}  // namespace

// Guards against refusals between a new configuration and the next tick: until the tick, the
// limiter that the previous configuration selected decides, and it may not know the workspace.
BOOST_FIXTURE_TEST_CASE(a_new_workspace_is_admitted_before_the_next_tick, service_fixture) {
    this->publish(1, "north: {rate: 1000, burst: 100}");
    BOOST_TEST(this->admits("north"));
    this->publish(2, "north: {rate: 1000, burst: 100}, south: {rate: 10, burst: 10}");
    BOOST_TEST(this->admits("south"));
}

// Guards against a new limit that is not enforced until the next tick.
BOOST_FIXTURE_TEST_CASE(a_new_limit_is_enforced_before_the_next_tick, service_fixture) {
    this->publish(1, "north: {rate: unlimited}");
    BOOST_TEST(this->admits("north"));
    this->publish(2, "north: {rate: 0.01, burst: 1}");
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
        admitted += this->admits("north") ? 1 : 0;
    }
    BOOST_TEST(admitted == 1);
}

}  // namespace trefoil::daemon
