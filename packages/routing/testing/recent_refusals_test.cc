// Tests of the share of recent calls that were refused.

#define BOOST_TEST_MODULE routing_recent_refusals
#include "routing/recent_refusals.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

}  // namespace

// Guards against an overloaded service that is detected only after many refusals.
BOOST_AUTO_TEST_CASE(share_rises_within_a_few_calls_when_a_service_refuses_all) {
    recent_refusals refusals;
    BOOST_TEST(refusals.share("read", start) == 0.0);
    for (int i = 0; i < 6; ++i) {
        refusals.on_refused("read", start);
    }
    BOOST_TEST(refusals.share("read", start) > 0.5);
    BOOST_TEST(refusals.share("read", start) < 0.75);
    for (int i = 0; i < 94; ++i) {
        refusals.on_refused("read", start);
    }
    BOOST_TEST(refusals.share("read", start) > 0.99);
    BOOST_TEST(refusals.share("read", start) <= 1.0);
}

// Guards against one full instance of several that makes the whole service appear full.
BOOST_AUTO_TEST_CASE(share_stays_below_half_when_a_service_accepts_most_calls) {
    recent_refusals refusals;
    double highest = 0;
    for (int i = 0; i < 1000; ++i) {
        if (i % 4 == 0) {
            refusals.on_refused("read", start);
        } else {
            refusals.on_accepted("read");
        }
        highest = std::max(highest, refusals.share("read", start));
    }
    BOOST_TEST(highest < 0.5);
    BOOST_TEST(highest > 0.25);
}

// Guards against a service that appears full after there is capacity again, with and without calls.
BOOST_AUTO_TEST_CASE(share_falls_with_time_and_with_accepted_calls) {
    recent_refusals refusals;
    for (int i = 0; i < 100; ++i) {
        refusals.on_refused("read", start);
    }
    BOOST_TEST(refusals.share("read", start + seconds(1)) < 0.26);
    for (int i = 0; i < 6; ++i) {
        refusals.on_accepted("read");
    }
    BOOST_TEST(refusals.share("read", start) < 0.5);
    refusals.expire(start + milliseconds(100));
    BOOST_TEST(refusals.share("read", start) > 0.4);
    refusals.expire(start + seconds(10));
    BOOST_TEST(refusals.share("read", start) == 0.0);
}

// Guards against refusals of one route, for example due to a stricter objective, that affect
// others.
BOOST_AUTO_TEST_CASE(routes_do_not_affect_each_other) {
    recent_refusals refusals;
    refusals.on_refused("read", start);
    refusals.on_accepted("order");
    BOOST_TEST(refusals.share("read", start) > 0.0);
    BOOST_TEST(refusals.share("order", start) == 0.0);
}

}  // namespace trefoil::routing
