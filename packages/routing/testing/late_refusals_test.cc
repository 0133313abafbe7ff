// Tests of the memory of refused late calls.

#define BOOST_TEST_MODULE routing_late_refusals
#include "routing/late_refusals.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours(1)};

}  // namespace

// The pattern: one upstream of a called service is left, and every call is sent there twice, to be
// refused in time and again as a late call.
BOOST_AUTO_TEST_CASE(a_short_service_is_asked_for_late_room_ten_times_a_second) {
    late_refusals refusals;
    int sent = 0;
    for (int ms = 0; ms < 10'000; ms += 5) {
        mono_time now = start + milliseconds(ms);
        if (!refusals.recently_refused("station-1", "alarms", now)) {
            ++sent;
            refusals.add("station-1", "alarms", now);
        }
    }
    BOOST_TEST(sent == 100);
}

// Guards against one full upstream, or one route, that closes others.
BOOST_AUTO_TEST_CASE(other_instances_and_routes_are_not_affected) {
    late_refusals refusals;
    refusals.add("station-1", "alarms", start);
    BOOST_TEST(refusals.recently_refused("station-1", "alarms", start));
    BOOST_TEST(!refusals.recently_refused("station-2", "alarms", start));
    BOOST_TEST(!refusals.recently_refused("station-1", "orders", start));
}

// Guards against a refusal that is remembered after there is room again.
BOOST_AUTO_TEST_CASE(refusals_are_forgotten_after_a_moment) {
    late_refusals refusals;
    refusals.add("station-1", "alarms", start);
    BOOST_TEST(refusals.recently_refused("station-1", "alarms", start + milliseconds(99)));
    BOOST_TEST(!refusals.recently_refused("station-1", "alarms", start + milliseconds(100)));
    refusals.expire(start + milliseconds(50));
    BOOST_TEST(refusals.recently_refused("station-1", "alarms", start + milliseconds(60)));
    refusals.expire(start + milliseconds(100));
    BOOST_TEST(!refusals.recently_refused("station-1", "alarms", start + milliseconds(60)));
}

}  // namespace trefoil::routing
