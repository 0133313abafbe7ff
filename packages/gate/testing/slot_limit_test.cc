// Tests of the rule for upstreams whose slots and coldness the platform states.

#define BOOST_TEST_MODULE gate_slot_limit
#include "gate/slot_limit.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start = mono_time(std::chrono::hours(1));

// Starts as many calls as the rule allows, every millisecond, and returns the most starts that fell
// into one second.
std::size_t most_starts_in_a_second(slot_limit& limit, mono_time until) {
    std::deque<mono_time> recent;
    std::size_t most = 0;
    for (mono_time now = start; now < until; now += milliseconds(1)) {
        while (limit.may_start(0, now)) {
            limit.on_start(now);
            recent.push_back(now);
        }
        while (!recent.empty() && recent.front() <= now - std::chrono::seconds(1)) {
            recent.pop_front();
        }
        most = std::max(most, recent.size());
    }
    return most;
}

}  // namespace

// Guards against a daemon that restarts beside a warm upstream and serves it one call at a time.
BOOST_AUTO_TEST_CASE(a_warm_upstream_gets_all_slots_at_once) {
    slot_limit limit({.slots = 12});
    BOOST_TEST(limit.may_start(11, start));
    BOOST_TEST(!limit.may_start(12, start));
    limit.set_slots(6);
    BOOST_TEST(!limit.may_start(6, start));
}

// Guards against a group of starts that makes a cold upstream crash: demand without end, for a
// small and for a large rate.
BOOST_AUTO_TEST_CASE(a_cold_upstream_never_gets_more_than_its_rate) {
    for (double rate : {6.2, 31.0}) {
        slot_limit limit({.slots = 12});
        mono_time warm = start + std::chrono::seconds(3);
        limit.set_cold({.until = warm, .rate = rate}, start);
        std::size_t most = most_starts_in_a_second(limit, warm);
        BOOST_TEST(most <= static_cast<std::size_t>(rate * 1.1 + 2));
        BOOST_TEST(most >= static_cast<std::size_t>(rate));
        BOOST_TEST(limit.may_start(11, warm));
    }
}

// Guards against a repeated notice that gives a cold upstream a new burst each time.
BOOST_AUTO_TEST_CASE(a_repeated_notice_adds_no_starts) {
    slot_limit limit({.slots = 12});
    std::size_t started = 0;
    mono_time end = start + std::chrono::seconds(1);
    for (mono_time now = start; now < end; now += milliseconds(1)) {
        limit.set_cold({.until = now + std::chrono::seconds(2), .rate = 10}, now);
        while (limit.may_start(0, now)) {
            limit.on_start(now);
            ++started;
        }
    }
    BOOST_TEST(started <= 12U);
}

// Guards against an upstream that is down and gets a connection attempt for every waiting call.
BOOST_AUTO_TEST_CASE(refused_connections_pause_starts_until_a_success) {
    slot_limit limit({.slots = 12});
    limit.on_result(call_result_kind::connection_refused, {}, 1, start);
    BOOST_TEST(!limit.may_start(0, start + milliseconds(19)));
    BOOST_TEST(limit.may_start(0, start + milliseconds(20)));
    mono_time now = start;
    for (int i = 0; i < 10; ++i) {
        now = limit.paused_until();
        limit.on_result(call_result_kind::connection_refused, {}, 1, now);
    }
    BOOST_TEST((limit.paused_until() - now == milliseconds(500)));
    now = limit.paused_until();
    limit.on_result(call_result_kind::good, {}, 1, now);
    limit.on_result(call_result_kind::connection_refused, {}, 1, now);
    BOOST_TEST((limit.paused_until() - now == milliseconds(20)));
}

// Guards against a queue that looks again only when another call ends: the time of the next start.
BOOST_AUTO_TEST_CASE(the_next_start_of_a_cold_upstream_is_known) {
    slot_limit limit({.slots = 12});
    limit.set_cold({.until = start + std::chrono::seconds(3), .rate = 10}, start);
    BOOST_TEST(limit.may_start(0, start));
    limit.on_start(start);
    BOOST_TEST(!limit.may_start(0, start));
    mono_time next = limit.paused_until();
    BOOST_TEST((next == start + milliseconds(100)));
    BOOST_TEST(limit.may_start(0, next));
}

}  // namespace trefoil::gate
