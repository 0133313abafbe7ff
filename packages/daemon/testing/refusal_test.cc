// Tests the statuses and headers of refusals.

#define BOOST_TEST_MODULE daemon_refusal
#include "daemon/refusal.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::daemon {

namespace {

using messages::call_outcome;

constexpr call_refusal expired_not_run{.reason = reasons::deadline_exceeded,
                                       .outcome = call_outcome::not_run};
constexpr call_refusal expired_unknown{.reason = reasons::deadline_exceeded,
                                       .outcome = call_outcome::unknown};

}  // namespace

// Guards against a status that depends on the outcome although a header states the outcome, as in
// the default header profile.
BOOST_AUTO_TEST_CASE(the_default_headers_state_the_outcome) {
    edge::http_response refused = make_refusal(expired_not_run);
    BOOST_TEST(refused.status == 504U);
    BOOST_TEST(edge::find_header(refused.headers, "Trefoil-Outcome").value() == "not_run");
    BOOST_TEST(make_refusal(expired_unknown).status == 504U);
}

// Guards against a status that keeps callers from retrying a request that has not run: the route's
// time-out may pass long before the caller's own deadline.
BOOST_AUTO_TEST_CASE(the_status_states_the_outcome_where_the_headers_do_not) {
    edge::header_profile names{.outcome = "", .status_implies_outcome = true};
    BOOST_TEST(make_refusal(expired_not_run, names).status == 503U);
    BOOST_TEST(make_refusal(expired_unknown, names).status == 504U);
    // The outcome is unknown if an earlier attempt may have run or the daemon stopped while the
    // request was in progress.
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
