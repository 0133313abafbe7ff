// Tests of the throttle with an upstream whose requests make nested calls to a service with too
// little room.

#define BOOST_TEST_MODULE gate_nested_call_throttle
#include "gate/nested_call_throttle.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "gate/testing/shared_upstream.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

// Offers a request every 20 ms that runs for 100 ms, for `length`, and returns the share admitted.
double share_admitted(nested_call_throttle& throttle, mono_time from, seconds length,
                      double failing) {
    int offered = 0;
    int admitted = 0;
    double due = 0;
    for (mono_time now = from; now < from + length; now += milliseconds(20)) {
        ++offered;
        if (!throttle.admit("lookup")) {
            continue;
        }
        ++admitted;
        due += failing;
        bool failed = due >= 1;
        due -= failed ? 1 : 0;
        if (failed) {
            throttle.on_nested_call_failed(now + milliseconds(50));
        }
        throttle.on_run_ended("lookup", {.started = now, .failed = failed},
                              now + milliseconds(100));
    }
    return static_cast<double>(admitted) / offered;
}

// One upstream that serves lookups, 7 of 10 of which make a nested call, and filings without nested
// calls. The called service has room for `nested_per_second` of them, evenly spaced.
struct competing_kinds {
    call_kind lookup{.route = "lookup",
                     .priority = 1,
                     .per_second = 50,
                     .service_time = milliseconds(270),
                     .objective = milliseconds(800),
                     .time_limit = milliseconds(2000),
                     .has_workspace = false};
    call_kind filing{.route = "filing",
                     .per_second = 45,
                     .service_time = milliseconds(350),
                     .objective = milliseconds(1200),
                     .time_limit = milliseconds(3000),
                     .has_workspace = false};
};

competing_kinds play(bool throttled, double nested_per_second, std::uint64_t seed,
                     std::uint32_t filing_priority = 1) {
    competing_kinds kinds;
    kinds.filing.priority = filing_priority;
    nested_call_throttle throttle;
    double room = 0;
    mono_time refilled = start;
    if (throttled) {
        kinds.lookup.may_wait = [&] { return throttle.admit("lookup"); };
    }
    kinds.lookup.fails = [&](mono_time started, mono_time now, random_source& random) {
        std::chrono::duration<double> since = now - refilled;
        room = std::min(6.0, room + since.count() * nested_per_second);
        refilled = now;
        bool refused = random.uniform() < 0.7 && room < 1;
        room -= refused || room < 1 ? 0 : 1;
        if (refused) {
            throttle.on_nested_call_failed(now);
        }
        throttle.on_run_ended("lookup", {.started = started, .failed = refused}, now);
        return refused;
    };
    shared_upstream upstream(seed, 18);
    upstream.run({&kinds.lookup, &kinds.filing}, seconds(30));
    BOOST_TEST_MESSAGE((throttled ? "throttled" : "not throttled")
                       << ", room for " << nested_per_second << "/s: in time lookup "
                       << kinds.lookup.in_time_share() << ", filing "
                       << kinds.filing.in_time_share() << "; lookups failed "
                       << kinds.lookup.failed_share());
    return kinds;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_share_follows_what_is_served_and_recovers) {
    nested_call_throttle throttle;
    BOOST_TEST(share_admitted(throttle, start, seconds(5), 0.1) == 1);
    BOOST_TEST(share_admitted(throttle, start + seconds(5), seconds(10), 0.45) == 1);
    // At least the minimum starts.
    double none = share_admitted(throttle, start + seconds(15), seconds(10), 1);
    BOOST_TEST(none >= 0.25);
    BOOST_TEST(none < 0.4);
    share_admitted(throttle, start + seconds(25), seconds(8), 0);
    BOOST_TEST(share_admitted(throttle, start + seconds(33), seconds(2), 0) == 1);
    BOOST_TEST(throttle.shares().empty());
}

// Runs that fail by themselves, as at an upstream that fails part of its requests, are not counted.
BOOST_AUTO_TEST_CASE(failures_without_a_failed_nested_call_do_not_throttle) {
    nested_call_throttle throttle;
    for (int i = 0; i < 1000; ++i) {
        mono_time now = start + milliseconds(20) * i;
        BOOST_TEST(throttle.admit("lookup"));
        if (i % 100 == 0) {
            throttle.on_nested_call_failed(now);
        }
        throttle.on_run_ended("lookup", {.started = now, .failed = true}, now + milliseconds(10));
    }
}

// Load pattern: the service that lookups call has room for a tenth of their nested calls (most of
// it is lost or cold), while other requests wait for the same slots.
BOOST_AUTO_TEST_CASE(requests_whose_nested_calls_fail_leave_their_slots_to_others) {
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        competing_kinds before = play(false, 3, seed);
        competing_kinds after = play(true, 3, seed);
        BOOST_TEST(after.lookup.failed_share() < before.lookup.failed_share() - 0.2);
        BOOST_TEST(after.filing.in_time_share() > before.filing.in_time_share() + 0.1);
        BOOST_TEST(after.lookup.in_time + after.filing.in_time >=
                   before.lookup.in_time + before.filing.in_time);
        // Less urgent requests do not displace those whose nested calls fail.
        double urgent = play(true, 3, seed, 2).lookup.in_time_share();
        BOOST_TEST(urgent > play(false, 3, seed, 2).lookup.in_time_share() - 0.05);
        // Without a shortage nothing changes.
        BOOST_TEST(play(true, 1e6, seed).lookup.served == play(false, 1e6, seed).lookup.served);
    }
}

BOOST_AUTO_TEST_CASE(a_decision_takes_microseconds_at_most) {
    nested_call_throttle throttle;
    constexpr int calls = 1'000'000;
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        mono_time now = start + milliseconds(1) * i;
        throttle.admit("lookup");
        throttle.on_nested_call_failed(now);
        throttle.on_run_ended("lookup", {.started = now, .failed = i % 2 == 0}, now);
    }
    std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    BOOST_TEST_MESSAGE(took.count() / calls << " ns a request");
    BOOST_TEST(took.count() / calls < 50'000);
}

}  // namespace trefoil::gate
