// Tests of the bound on the calls that precede other requests.

#define BOOST_TEST_MODULE routing_nested_call_precedence
#include "routing/nested_call_precedence.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::routing {

BOOST_AUTO_TEST_CASE(no_call_precedes_while_the_upstream_is_idle) {
    nested_call_precedence precedence;
    BOOST_TEST(!precedence.begin(0));
}

// Load pattern: many callers of an open route while the upstream runs two requests.
BOOST_AUTO_TEST_CASE(the_running_requests_bound_the_calls_that_precede) {
    constexpr std::size_t running = 2;
    constexpr std::size_t most = running * nested_call_precedence::max_calls_per_request;
    nested_call_precedence precedence;
    std::size_t preceding = 0;
    for (int i = 0; i < 100; ++i) {
        preceding += precedence.begin(running) ? 1 : 0;
    }
    BOOST_TEST(preceding == most);
    precedence.end();
    BOOST_TEST(precedence.begin(running));
    BOOST_TEST(!precedence.begin(running));
}

}  // namespace trefoil::routing
