// Tests of the share of the latest offers that were refused.

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

// Guards against a full service that is found out only after a storm of refusals.
BOOST_AUTO_TEST_CASE(a_service_that_refuses_everything_counts_as_full_after_a_few_calls) {
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

// Guards against one full instance of several that makes the whole service count as full.
BOOST_AUTO_TEST_CASE(a_service_that_accepts_most_calls_does_not_count_as_full) {
    recent_refusals refusals;
    double most = 0;
    for (int i = 0; i < 1000; ++i) {
        if (i % 4 == 0) {
            refusals.on_refused("read", start);
        } else {
            refusals.on_accepted("read");
        }
        most = std::max(most, refusals.share("read", start));
    }
    BOOST_TEST(most < 0.5);
    BOOST_TEST(most > 0.25);
}

// Guards against a service that counts as full after there is room again, with and without calls.
BOOST_AUTO_TEST_CASE(a_share_is_forgotten_when_room_returns) {
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

// Guards against a route whose calls are refused, for a stricter objective, that closes others.
BOOST_AUTO_TEST_CASE(routes_do_not_affect_each_other) {
    recent_refusals refusals;
    refusals.on_refused("read", start);
    refusals.on_accepted("order");
    BOOST_TEST(refusals.share("read", start) > 0.0);
    BOOST_TEST(refusals.share("order", start) == 0.0);
}

}  // namespace trefoil::routing
