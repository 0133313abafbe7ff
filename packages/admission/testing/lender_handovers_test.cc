// Tests of token handovers and of the requests that they hold.

#define BOOST_TEST_MODULE admission_lender_handovers
#include "admission/lender_handovers.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct handover_fixture {
    mono_time now{seconds(10)};
    lender_handovers handovers{};
    held_request request{.workspace = "north", .from = "station-2", .round = 7};
    handover_fixture() { this->handovers.start(1, "north", this->now); }
};

}  // namespace

// Guards against a duplicate answer whose tokens are added again or whose requests are decided
// twice.
BOOST_FIXTURE_TEST_CASE(a_duplicate_answer_is_ignored, handover_fixture) {
    BOOST_TEST(this->handovers.hold(this->request, this->now + milliseconds(1)));
    BOOST_TEST(!this->handovers.complete(2, this->now + milliseconds(2)).has_value());
    auto completed = this->handovers.complete(1, this->now + milliseconds(2));
    BOOST_REQUIRE(completed.has_value());
    BOOST_TEST((*completed == completed_handover{.workspace = "north", .held = {this->request}}));
    BOOST_TEST(!this->handovers.complete(1, this->now + milliseconds(3)).has_value());
    BOOST_TEST(!this->handovers.hold(this->request, this->now + milliseconds(3)));
    BOOST_TEST(this->handovers.expire(this->now + seconds(1)).empty());
}

// Guards against requests that wait for ever when the previous lender does not answer.
BOOST_FIXTURE_TEST_CASE(held_requests_expire, handover_fixture) {
    BOOST_TEST(this->handovers.hold(this->request, this->now));
    BOOST_TEST(this->handovers.expire(this->now + milliseconds(49)).empty());
    BOOST_TEST(this->handovers.expire(this->now + milliseconds(50)).size() == 1U);
    BOOST_TEST(!this->handovers.hold(this->request, this->now + milliseconds(50)));
    // The tokens of the handover are still accepted.
    auto completed = this->handovers.complete(1, this->now + milliseconds(60));
    BOOST_REQUIRE(completed.has_value());
    BOOST_TEST(completed->held.empty());
}

// Guards against requests held for a handover whose request could not be sent, and against the loss
// of a request that is already held.
BOOST_FIXTURE_TEST_CASE(a_cancelled_handover_releases_its_requests, handover_fixture) {
    BOOST_TEST(this->handovers.hold(this->request, this->now));
    this->handovers.cancel(1, this->now);
    BOOST_TEST(!this->handovers.hold(this->request, this->now));
    BOOST_TEST(this->handovers.expire(this->now).size() == 1U);
    BOOST_TEST(!this->handovers.complete(1, this->now).has_value());
}

// Guards against tokens of an expired handover that are added to a bucket that has refilled
// meanwhile.
BOOST_FIXTURE_TEST_CASE(late_tokens_are_ignored, handover_fixture) {
    BOOST_TEST(!this->handovers.complete(1, this->now + milliseconds(1000)).has_value());
}

}  // namespace trefoil::admission
