// Tests of the record of refused late calls.

#define BOOST_TEST_MODULE routing_late_refusals
#include "routing/late_refusals.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours(1)};

}  // namespace

// Guards against offering every call twice to the only upstream that is left of a service, where it
// is refused first as a call in time and then as a late call.
BOOST_AUTO_TEST_CASE(late_calls_are_sent_to_a_full_instance_ten_times_per_second) {
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

// Guards against a refusal by one upstream, or for one route, that applies to others.
BOOST_AUTO_TEST_CASE(other_instances_and_routes_are_not_affected) {
    late_refusals refusals;
    refusals.add("station-1", "alarms", start);
    BOOST_TEST(refusals.recently_refused("station-1", "alarms", start));
    BOOST_TEST(!refusals.recently_refused("station-2", "alarms", start));
    BOOST_TEST(!refusals.recently_refused("station-1", "orders", start));
}

// Guards against a refusal that still counts after there is capacity again.
BOOST_AUTO_TEST_CASE(refusals_expire) {
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
