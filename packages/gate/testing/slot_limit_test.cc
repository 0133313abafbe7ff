// Tests of the start limit for upstreams whose slots and cold periods the platform reports.

#define BOOST_TEST_MODULE gate_slot_limit
#include "gate/slot_limit.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start = mono_time(std::chrono::hours(1));

// Starts as many calls as the limit allows, every millisecond, and returns the maximum number of
// starts within one second.
std::size_t max_starts_in_a_second(slot_limit& limit, mono_time until) {
    std::deque<mono_time> recent;
    std::size_t max_starts = 0;
    for (mono_time now = start; now < until; now += milliseconds(1)) {
        while (limit.may_start(0, now)) {
            limit.on_start(now);
            recent.push_back(now);
        }
        while (!recent.empty() && recent.front() <= now - std::chrono::seconds(1)) {
            recent.pop_front();
        }
        max_starts = std::max(max_starts, recent.size());
    }
    return max_starts;
}

}  // namespace

// Guards against a restarted daemon that starts calls at its warm upstream one at a time.
BOOST_AUTO_TEST_CASE(all_slots_of_a_warm_upstream_are_usable_at_once) {
    slot_limit limit({.slots = 12});
    BOOST_TEST(limit.may_start(11, start));
    BOOST_TEST(!limit.may_start(12, start));
    limit.set_slots(6);
    BOOST_TEST(!limit.may_start(6, start));
}

// Guards against a burst of starts that crashes a cold upstream while demand is unlimited, at a low
// and at a high rate.
BOOST_AUTO_TEST_CASE(starts_at_a_cold_upstream_stay_within_its_rate) {
    for (double rate : {6.2, 31.0}) {
        slot_limit limit({.slots = 12});
        mono_time warm = start + std::chrono::seconds(3);
        limit.set_cold({.until = warm, .rate = rate}, start);
        std::size_t max_starts = max_starts_in_a_second(limit, warm);
        BOOST_TEST(max_starts <= static_cast<std::size_t>(rate * 1.1 + 2));
        BOOST_TEST(max_starts >= static_cast<std::size_t>(rate));
        BOOST_TEST(limit.may_start(11, warm));
    }
}

// Guards against starts without a limit while the platform has not described the upstream yet, and
// against a burst when it does.
BOOST_AUTO_TEST_CASE(an_unknown_upstream_gets_the_rate_of_a_cold_one_until_it_is_described) {
    for (bool cold : {true, false}) {
        slot_limit limit({.slots = 18, .warmth = upstream_warmth::unknown});
        limit.set_restart_period({.duration = std::chrono::seconds(3), .rate = 11});
        std::size_t unknown = max_starts_in_a_second(limit, start + std::chrono::seconds(2));
        BOOST_TEST(unknown <= 14U);
        BOOST_TEST(unknown >= 11U);
        mono_time now = start + std::chrono::seconds(2);
        limit.set_cold({.until = cold ? now + std::chrono::seconds(1) : now, .rate = 11}, now);
        BOOST_TEST(limit.may_start(17, now) == !cold);
        BOOST_TEST(limit.may_start(17, now + std::chrono::seconds(1)));
    }
}

// Guards against a burst of waiting calls that crashes an upstream that has just started anew,
// before the platform reports that it is cold.
BOOST_AUTO_TEST_CASE(an_upstream_that_refused_connections_counts_as_cold) {
    slot_limit limit({.slots = 18});
    limit.set_restart_period({.duration = std::chrono::seconds(3), .rate = 11});
    limit.on_start(start);
    limit.on_result(call_result_kind::connection_refused, milliseconds(1), 1, start);
    mono_time back = limit.paused_until();
    BOOST_TEST(max_starts_in_a_second(limit, back + std::chrono::seconds(2)) <= 14U);
    BOOST_TEST(limit.may_start(17, start + std::chrono::seconds(4)));
    slot_limit unknown({.slots = 18});
    unknown.on_result(call_result_kind::connection_refused, milliseconds(1), 1, start);
    BOOST_TEST(!unknown.max_start_rate(unknown.paused_until()).has_value());
}

// Guards against a bucket that is refilled each time the platform reports the cold period again.
BOOST_AUTO_TEST_CASE(reporting_the_cold_period_again_adds_no_starts) {
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

// Guards against one connection attempt per queued call while the upstream is down.
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

// Guards against a queue that is served again only when another call ends: paused_until() must be
// the time at which the bucket holds the next token.
BOOST_AUTO_TEST_CASE(paused_until_is_the_next_start_at_a_cold_upstream) {
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
