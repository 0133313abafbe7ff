// Tests of the requests that wait for the tokens of the lender before.

#define BOOST_TEST_MODULE admission_lender_handovers
#include "admission/lender_handovers.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct handover_fixture {
    mono_time now{seconds(10)};
    lender_handovers open{};
    held_request request{.workspace = "north", .from = "station-2", .round = 7};
    handover_fixture() { this->open.start(1, "north", this->now); }
};

}  // namespace

// Guards against tokens that a copy of an answer adds again, and against requests decided twice.
BOOST_FIXTURE_TEST_CASE(an_answer_counts_once, handover_fixture) {
    BOOST_TEST(this->open.hold(this->request, this->now + milliseconds(1)));
    BOOST_TEST(!this->open.complete(2, this->now + milliseconds(2)).has_value());
    auto answered = this->open.complete(1, this->now + milliseconds(2));
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST((*answered == completed_handover{.workspace = "north", .held = {this->request}}));
    BOOST_TEST(!this->open.complete(1, this->now + milliseconds(3)).has_value());
    BOOST_TEST(!this->open.hold(this->request, this->now + milliseconds(3)));
    BOOST_TEST(this->open.expire(this->now + seconds(1)).empty());
}

// Guards against requests that wait for a lender that does not answer.
BOOST_FIXTURE_TEST_CASE(requests_wait_for_a_short_time, handover_fixture) {
    BOOST_TEST(this->open.hold(this->request, this->now));
    BOOST_TEST(this->open.expire(this->now + milliseconds(49)).empty());
    BOOST_TEST(this->open.expire(this->now + milliseconds(50)).size() == 1U);
    BOOST_TEST(!this->open.hold(this->request, this->now + milliseconds(50)));
    // Its tokens still count.
    auto answered = this->open.complete(1, this->now + milliseconds(60));
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST(answered->held.empty());
}

// Guards against requests that wait for a lender that cannot be asked, and against the loss of one
// that waits already.
BOOST_FIXTURE_TEST_CASE(a_lender_that_cannot_be_asked_is_not_waited_for, handover_fixture) {
    BOOST_TEST(this->open.hold(this->request, this->now));
    this->open.cancel(1, this->now);
    BOOST_TEST(!this->open.hold(this->request, this->now));
    BOOST_TEST(this->open.expire(this->now).size() == 1U);
    BOOST_TEST(!this->open.complete(1, this->now).has_value());
}

// Guards against tokens of long ago on top of a bucket that has filled by itself.
BOOST_FIXTURE_TEST_CASE(late_tokens_do_not_count, handover_fixture) {
    BOOST_TEST(!this->open.complete(1, this->now + milliseconds(1000)).has_value());
}

}  // namespace trefoil::admission
