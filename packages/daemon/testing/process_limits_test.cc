// Tests of the bounds on callers that follow from the machine.

#define BOOST_TEST_MODULE daemon_process_limits
#include "daemon/process_limits.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::daemon {

// Guards against bounds that do not fit into the machine, and against a machine that cannot hold
// one request of the largest size that the deployments allow.
BOOST_AUTO_TEST_CASE(bounds_fit_into_the_machine) {
    constexpr std::size_t largest_body = std::size_t{64} << 20U;
    constexpr std::size_t idle_bytes = 25'000'000;
    for (std::size_t memory_mb : {160, 260, 512, 4096}) {
        edge::memory_account_options bounds = caller_memory(memory_mb);
        BOOST_TEST(bounds.limit_bytes + idle_bytes < memory_mb * 1'000'000);
        BOOST_TEST(bounds.limit_bytes - bounds.reserve_bytes > largest_body + (1U << 20U));
        BOOST_TEST(bounds.reserve_bytes > 8 * bounds.small_bytes);
    }
    BOOST_TEST(caller_memory(0).limit_bytes > largest_body);
    for (std::size_t descriptors : {256, 512, 4'100, 8'192}) {
        BOOST_TEST(max_caller_connections(descriptors) < descriptors - 200);
    }
    BOOST_TEST(max_caller_connections(4'100) > 2'000U);
    BOOST_TEST(max_caller_connections(0) >= 32U);
}

}  // namespace trefoil::daemon
