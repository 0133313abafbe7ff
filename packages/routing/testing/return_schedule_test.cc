// Tests of the times at which refused callers return, with callers that return once.

#define BOOST_TEST_MODULE routing_return_schedule
#include "routing/return_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>

#include "gate/testing/shared_upstream.h"

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

// One service of many slots. Returns its kind of requests after 30 s.
gate::call_kind play(bool scheduled, const std::function<double(mono_duration)>& load,
                     std::uint64_t seed) {
    return_schedule schedule;
    gate::call_kind kind{.route = "filing",
                         .priority = 1,
                         .per_second = 200,
                         .service_time = milliseconds(350),
                         .objective = milliseconds(1200),
                         .time_limit = milliseconds(3000),
                         .has_workspace = false,
                         .load = load};
    kind.on_served = [&](mono_time now) { schedule.on_answered("filing", now); };
    kind.pause = [&](mono_time now, mono_time arrived, mono_duration announced) {
        mono_duration earliest = std::max<mono_duration>(milliseconds(50), announced);
        if (!scheduled) {
            return std::min<mono_duration>(earliest, (arrived + seconds(3) - now) / 3);
        }
        return schedule.pause_for("filing",
                                  {.left = arrived + seconds(3) - now,
                                   .objective_left = arrived + milliseconds(1200) - now,
                                   .earliest = earliest},
                                  now);
    };
    gate::shared_upstream upstream(seed, 90);
    upstream.run({&kind}, seconds(30));
    BOOST_TEST_MESSAGE((scheduled ? "scheduled" : "as announced")
                       << ", seed " << seed << ": served " << kind.served_share() << ", in time "
                       << kind.in_time_share() << " refused " << kind.refused << " promptly " << kind.refused_promptly << " returned " << kind.returned);
    return kind;
}

}  // namespace

BOOST_AUTO_TEST_CASE(callers_return_one_after_the_other_within_their_time) {
    return_schedule schedule;
    for (int i = 0; i < 400; ++i) {
        schedule.on_answered("lookup", start + milliseconds(10) * i);
    }
    mono_time now = start + seconds(4);
    refused_caller caller{.left = seconds(2), .earliest = milliseconds(50)};
    mono_duration before = schedule.pause_for("lookup", caller, now);
    BOOST_TEST((before == milliseconds(50)));
    for (int i = 1; i < 30; ++i) {
        mono_duration pause = schedule.pause_for("lookup", caller, now);
        BOOST_TEST((pause >= before + milliseconds(5)));
        BOOST_TEST((pause <= before + milliseconds(20)));
        before = pause;
    }
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST((schedule.pause_for("lookup", caller, now) <= milliseconds(667)));
    }
    caller.objective_left = milliseconds(300);
    BOOST_TEST((schedule.pause_for("lookup", caller, now) <= milliseconds(150)));
    // A later caller is not sent behind times that have passed.
    caller = {.left = seconds(2), .earliest = milliseconds(50)};
    BOOST_TEST((schedule.pause_for("lookup", caller, now + seconds(5)) == milliseconds(50)));
}

// Load pattern: many callers come at once: three times the usual rate for 300 ms every 3 s, beside
// a usual load of 0.6.
BOOST_AUTO_TEST_CASE(refused_callers_of_a_burst_are_served_when_they_return) {
    auto bursts = [](mono_duration since) {
            return since % seconds(4) < milliseconds(800) ? 4 : 0.7;
    };
    auto overload = [](mono_duration) { return 2.0; };
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        gate::call_kind before = play(false, bursts, seed);
        gate::call_kind after = play(true, bursts, seed);
        BOOST_TEST(after.served_share() > before.served_share());
        // Under a lasting overload there is no better time to return.
        BOOST_TEST(play(true, overload, seed).in_time_share() >
                   play(false, overload, seed).in_time_share() - 0.02);
    }
}

BOOST_AUTO_TEST_CASE(a_decision_takes_microseconds_at_most) {
    return_schedule schedule;
    constexpr int calls = 1'000'000;
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        mono_time now = start + std::chrono::microseconds(100) * i;
        schedule.on_answered("lookup", now);
        schedule.pause_for("lookup", {.left = seconds(2)}, now);
    }
    std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    BOOST_TEST_MESSAGE(took.count() / calls << " ns a request");
    BOOST_TEST(took.count() / calls < 50'000);
}

}  // namespace trefoil::routing
