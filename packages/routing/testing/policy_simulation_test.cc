// Tests of routing and gate together: the measures of the benchmark as bounds, with a fixed seed.

#define BOOST_TEST_MODULE routing_policy_simulation
#include "routing/testing/policy_simulation.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::routing {

namespace {

const site guantera{"guantera", 3, 9, 6, microseconds(1500), 0.55};

double worst_quiet_workspace(const rules& with) {
    simulation run(guantera, with, {.noise = 5}, 3);
    run.run();
    double worst = 100;
    for (std::size_t index = 1; index < workspaces; ++index) {
        const tally& each = run.by_workspace.at(index);
        worst = std::min(worst, each.share(each.served));
    }
    return worst;
}

}  // namespace

// Guards against a workspace at five times its rate that harms the others, and shows that the bound
// detects it: one queue for all workspaces misses it.
BOOST_AUTO_TEST_CASE(noisy_workspace_does_not_harm_the_others) {
    BOOST_TEST(worst_quiet_workspace({.name = "choice"}) >= 99.5);
    BOOST_TEST(worst_quiet_workspace({.name = "one FIFO queue", .fifo = true}) < 95.0);
}

// Guards against lost service while a failure domain leaves in any way and returns cold, and
// against load above the capacity of its cold upstreams.
BOOST_AUTO_TEST_CASE(leaving_domain_costs_little) {
    for (domain_failure failure :
         {domain_failure::killed, domain_failure::silent, domain_failure::upstream_down}) {
        simulation run(guantera, {.name = "choice"}, {.failure = failure}, 3);
        run.run();
        for (const tally& each : run.by_second) {
            BOOST_TEST(each.share(each.served) >= 95.0);
        }
        BOOST_TEST(run.above_capacity() <= 5U);
    }
}

}  // namespace trefoil::routing
