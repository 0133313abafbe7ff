// Tests of the choice of a lender and of retried requests.

#define BOOST_TEST_MODULE admission_lender_client
#include "admission/lender_client.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct lender_client_fixture {
    mono_time now{seconds(1)};
    // Not an instance of the failure domain, so that every request goes to another daemon.
    lender_client client{"client", 7};
    lender_client_fixture() { this->client.set_instances({"a", "b", "c"}); }
};

}  // namespace

// Guards against a change of the lender after one late answer: the bucket of another lender starts
// empty.
BOOST_FIXTURE_TEST_CASE(an_overdue_request_is_retried_at_the_same_lender, lender_client_fixture) {
    lender_request first = this->client.start("north", 1, this->now);
    BOOST_TEST(this->client.expire(this->now + milliseconds(199)).empty());
    auto overdue = this->client.expire(this->now + milliseconds(200));
    BOOST_REQUIRE(overdue.size() == 1U);
    BOOST_REQUIRE(overdue[0].next.has_value());
    BOOST_TEST(overdue[0].next->lender == first.lender);
    BOOST_TEST(!this->client.on_answer(first.round).has_value());
    BOOST_TEST(this->client.on_answer(overdue[0].next->round).value_or(0) == 1U);
    BOOST_TEST(this->client.start("north", 2, this->now).lender == first.lender);
}

// Guards against a change of the lender because this daemon itself was suspended: it then finds
// several requests overdue before it reads the answers.
BOOST_FIXTURE_TEST_CASE(simultaneously_overdue_requests_count_as_one, lender_client_fixture) {
    lender_request first = this->client.start("north", 1, this->now);
    for (std::uint64_t call = 2; call <= 5; ++call) {
        this->client.start("north", call, this->now + milliseconds(call));
    }
    BOOST_TEST(this->client.expire(this->now + milliseconds(300)).size() == 5U);
    BOOST_TEST(this->client.start("north", 6, this->now + milliseconds(300)).lender ==
               first.lender);
}

// Guards against requests that are sent to a dead lender, and against calls that wait for ever.
BOOST_FIXTURE_TEST_CASE(an_unresponsive_lender_is_avoided_temporarily, lender_client_fixture) {
    lender_request first = this->client.start("north", 1, this->now);
    this->client.expire(this->now + milliseconds(200));
    auto overdue = this->client.expire(this->now + milliseconds(400));
    BOOST_REQUIRE(overdue.size() == 1U);
    BOOST_TEST(overdue[0].call == 1U);
    BOOST_TEST(!overdue[0].next.has_value());
    BOOST_TEST(this->client.start("north", 2, this->now + milliseconds(400)).lender !=
               first.lender);
    BOOST_TEST(this->client.start("north", 3, this->now + milliseconds(3500)).lender ==
               first.lender);
}

// Guards against a single daemon of a failure domain that waits for an answer from itself.
BOOST_FIXTURE_TEST_CASE(a_daemon_without_others_is_its_own_lender, lender_client_fixture) {
    this->client.set_instances({});
    BOOST_TEST(this->client.start("north", 1, this->now).lender == "client");
    BOOST_TEST(this->client.expire(this->now + seconds(1)).empty());
}

}  // namespace trefoil::admission
