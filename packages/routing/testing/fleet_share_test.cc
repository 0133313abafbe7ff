// Tests of one daemon's part of an allowance of the fleet.

#define BOOST_TEST_MODULE routing_fleet_share
#include "routing/fleet_share.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoil::routing {

namespace {

using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

}  // namespace

// Guards against a process that uses the part of the process before it, and one that takes a list
// without the entries that have lapsed for the whole fleet.
BOOST_AUTO_TEST_CASE(a_new_process_has_no_part_before_it_knows_the_fleet) {
    fleet_share share;
    share.observe(0, start);
    BOOST_TEST(share.share_of(222, start + seconds(60)) == 0);
    share.observe(9, start + seconds(60));
    BOOST_TEST(share.share_of(222, start + seconds(69)) == 0);
    share.observe(91, start + seconds(69));
    BOOST_TEST(share.share_of(222, start + seconds(70)) <= 222.0 / 91);
    BOOST_TEST(share.share_of(222, start + seconds(70)) >= 0.5 * 222.0 / 91);
}

// Guards against parts that grow when entries lapse while their daemons go on.
BOOST_AUTO_TEST_CASE(a_list_that_shrinks_leaves_the_part_as_it_is) {
    fleet_share share;
    share.observe(91, start);
    double before = share.share_of(222, start + seconds(20));
    share.observe(9, start + seconds(20));
    BOOST_TEST(share.share_of(222, start + seconds(21)) == before);
    share.observe(182, start + seconds(22));
    BOOST_TEST(share.share_of(222, start + seconds(22)) == before / 2);
}

}  // namespace trefoil::routing
