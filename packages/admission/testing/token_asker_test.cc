// Tests of whom a daemon asks for a token, and when it asks again.

#define BOOST_TEST_MODULE admission_token_asker
#include "admission/token_asker.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct asker_fixture {
    mono_time now{seconds(1)};
    // Not an instance of the domain itself, so that every request is asked for.
    token_asker asker{"asker", 7};
    asker_fixture() { this->asker.set_instances({"a", "b", "c"}); }
};

}  // namespace

// Guards against a change of lender, whose bucket starts empty, because of one late answer.
BOOST_FIXTURE_TEST_CASE(a_late_answer_is_asked_for_again_at_the_same_lender, asker_fixture) {
    token_ask first = this->asker.start("north", 1, this->now);
    BOOST_TEST(this->asker.expire(this->now + milliseconds(99)).empty());
    auto overdue = this->asker.expire(this->now + milliseconds(100));
    BOOST_REQUIRE(overdue.size() == 1U);
    BOOST_REQUIRE(overdue[0].next.has_value());
    BOOST_TEST(overdue[0].next->lender == first.lender);
    BOOST_TEST(!this->asker.on_answer(first.round).has_value());
    BOOST_TEST(this->asker.on_answer(overdue[0].next->round).value_or(0) == 1U);
    BOOST_TEST(this->asker.start("north", 2, this->now).lender == first.lender);
}

// Guards against requests that keep going to a lender that is gone, and against waiting for ever.
BOOST_FIXTURE_TEST_CASE(a_lender_that_does_not_answer_is_passed_over_for_a_time, asker_fixture) {
    token_ask first = this->asker.start("north", 1, this->now);
    this->asker.expire(this->now + milliseconds(100));
    auto overdue = this->asker.expire(this->now + milliseconds(200));
    BOOST_REQUIRE(overdue.size() == 1U);
    BOOST_TEST(overdue[0].call == 1U);
    BOOST_TEST(!overdue[0].next.has_value());
    BOOST_TEST(this->asker.start("north", 2, this->now + milliseconds(200)).lender != first.lender);
    BOOST_TEST(this->asker.start("north", 3, this->now + seconds(4)).lender == first.lender);
}

// Guards against a daemon alone in its failure domain that waits for itself.
BOOST_FIXTURE_TEST_CASE(a_daemon_without_others_is_its_own_lender, asker_fixture) {
    this->asker.set_instances({});
    BOOST_TEST(this->asker.start("north", 1, this->now).lender == "asker");
    BOOST_TEST(this->asker.expire(this->now + seconds(1)).empty());
}

}  // namespace trefoil::admission
