// Tests of what callers learn from a refusal.

#define BOOST_TEST_MODULE daemon_refusal
#include "daemon/refusal.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::daemon {

namespace {

using messages::call_outcome;

constexpr call_refusal late_not_run{.reason = reasons::deadline_exceeded,
                                    .outcome = call_outcome::not_run};
constexpr call_refusal late_unknown{.reason = reasons::deadline_exceeded,
                                    .outcome = call_outcome::unknown};

}  // namespace

BOOST_AUTO_TEST_CASE(the_outcome_is_in_a_header_of_the_products_own_interface) {
    edge::http_response refused = make_refusal(late_not_run);
    BOOST_TEST(refused.status == 504U);
    BOOST_TEST(edge::find_header(refused.headers, "Trefoil-Outcome").value() == "not_run");
    BOOST_TEST(make_refusal(late_unknown).status == 504U);
}

// Guards against a caller that must not repeat a request although it has not run: the route's
// time-out may be far from the caller's own deadline.
BOOST_AUTO_TEST_CASE(callers_that_see_only_the_status_learn_that_a_request_has_not_run) {
    edge::header_profile names{.outcome = "", .status_tells_outcome = true};
    BOOST_TEST(make_refusal(late_not_run, names).status == 503U);
    BOOST_TEST(make_refusal(late_unknown, names).status == 504U);
    // An earlier attempt may have run, or the daemon ended with the request still open.
    for (auto reason : {reasons::overloaded, reasons::no_upstream, reasons::stopping}) {
        call_refusal not_run{.reason = reason};
        call_refusal unknown{.reason = reason, .outcome = call_outcome::unknown};
        BOOST_TEST(make_refusal(not_run, names).status == 503U);
        BOOST_TEST(make_refusal(unknown, names).status == 502U);
    }
    for (auto reason : {reasons::upstream_failed, reasons::connection_lost, reasons::duplicate}) {
        call_refusal unknown{.reason = reason, .outcome = call_outcome::unknown};
        BOOST_TEST(make_refusal(unknown, names).status == 502U);
    }
}

}  // namespace trefoil::daemon
