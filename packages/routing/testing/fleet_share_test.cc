// Tests of one daemon's share of a fleet-wide allowance.

#define BOOST_TEST_MODULE routing_fleet_share
#include "routing/fleet_share.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoil::routing {

namespace {

using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

}  // namespace

// Guards against a new process that uses the share that its previous process has used already, and
// against a share that is too large because the first member list lacks expired entries.
BOOST_AUTO_TEST_CASE(a_new_process_has_no_share_before_the_settling_time) {
    fleet_share share;
    share.observe(0, start);
    BOOST_TEST(share.share_of(222, start + seconds(60)) == 0);
    share.observe(9, start + seconds(60));
    BOOST_TEST(share.share_of(222, start + seconds(69)) == 0);
    share.observe(91, start + seconds(69));
    BOOST_TEST(share.share_of(222, start + seconds(70)) <= 222.0 / 91);
    BOOST_TEST(share.share_of(222, start + seconds(70)) >= 0.5 * 222.0 / 91);
}

// Guards against shares that grow when list entries expire while their daemons still run.
BOOST_AUTO_TEST_CASE(a_shrinking_member_list_does_not_raise_the_share) {
    fleet_share share;
    share.observe(91, start);
    double before = share.share_of(222, start + seconds(20));
    share.observe(9, start + seconds(20));
    BOOST_TEST(share.share_of(222, start + seconds(21)) == before);
    share.observe(182, start + seconds(22));
    BOOST_TEST(share.share_of(222, start + seconds(22)) == before / 2);
}

}  // namespace trefoil::routing
