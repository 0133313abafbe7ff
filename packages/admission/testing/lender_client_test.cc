// Tests of whom a daemon asks for a token, and when it asks again.

#define BOOST_TEST_MODULE admission_lender_client
#include "admission/lender_client.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct asker_fixture {
    mono_time now{seconds(1)};
    // Not an instance of the domain itself, so that every request is asked for.
    lender_client asker{"asker", 7};
    asker_fixture() { this->asker.set_instances({"a", "b", "c"}); }
};

}  // namespace

// Guards against a change of lender, whose bucket starts empty, because of one late answer.
BOOST_FIXTURE_TEST_CASE(a_late_answer_is_asked_for_again_at_the_same_lender, asker_fixture) {
    lender_request first = this->asker.start("north", 1, this->now);
    BOOST_TEST(this->asker.expire(this->now + milliseconds(199)).empty());
    auto overdue = this->asker.expire(this->now + milliseconds(200));
    BOOST_REQUIRE(overdue.size() == 1U);
    BOOST_REQUIRE(overdue[0].next.has_value());
    BOOST_TEST(overdue[0].next->lender == first.lender);
    BOOST_TEST(!this->asker.on_answer(first.round).has_value());
    BOOST_TEST(this->asker.on_answer(overdue[0].next->round).value_or(0) == 1U);
    BOOST_TEST(this->asker.start("north", 2, this->now).lender == first.lender);
}

// Guards against a change of lender because this daemon itself stood still: it then finds several
// requests overdue at once, before it reads the answers.
BOOST_FIXTURE_TEST_CASE(requests_overdue_at_once_count_as_one, asker_fixture) {
    lender_request first = this->asker.start("north", 1, this->now);
    for (std::uint64_t call = 2; call <= 5; ++call) {
        this->asker.start("north", call, this->now + milliseconds(call));
    }
    BOOST_TEST(this->asker.expire(this->now + milliseconds(300)).size() == 5U);
    BOOST_TEST(this->asker.start("north", 6, this->now + milliseconds(300)).lender == first.lender);
}

// Guards against requests that keep going to a lender that is gone, and against waiting for ever.
BOOST_FIXTURE_TEST_CASE(a_lender_that_does_not_answer_is_passed_over_for_a_time, asker_fixture) {
    lender_request first = this->asker.start("north", 1, this->now);
    this->asker.expire(this->now + milliseconds(200));
    auto overdue = this->asker.expire(this->now + milliseconds(400));
    BOOST_REQUIRE(overdue.size() == 1U);
    BOOST_TEST(overdue[0].call == 1U);
    BOOST_TEST(!overdue[0].next.has_value());
    BOOST_TEST(this->asker.start("north", 2, this->now + milliseconds(400)).lender != first.lender);
    BOOST_TEST(this->asker.start("north", 3, this->now + milliseconds(3500)).lender ==
               first.lender);
}

// Guards against a daemon alone in its failure domain that waits for itself.
BOOST_FIXTURE_TEST_CASE(a_daemon_without_others_is_its_own_lender, asker_fixture) {
    this->asker.set_instances({});
    BOOST_TEST(this->asker.start("north", 1, this->now).lender == "asker");
    BOOST_TEST(this->asker.expire(this->now + seconds(1)).empty());
}

}  // namespace trefoil::admission
