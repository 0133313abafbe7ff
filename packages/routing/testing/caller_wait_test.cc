// Tests of the estimate of how long a caller has waited, and of what it changes at an overloaded
// gate for callers that return after a refusal.

#define BOOST_TEST_MODULE routing_caller_wait
#include "routing/caller_wait.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>

#include "gate/testing/shared_upstream.h"

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds limit{3000};

// One service of many slots, whose refused callers return once after `pause`.
gate::call_kind play(bool estimate, const std::function<double(mono_duration)>& load,
                     milliseconds pause, std::uint64_t seed) {
    caller_wait waits;
    gate::call_kind kind{.route = "filing",
                         .priority = 1002,
                         .per_second = 200,
                         .service_time = milliseconds(350),
                         .objective = milliseconds(1200),
                         .time_limit = limit,
                         .has_workspace = false,
                         .load = load,
                         .return_after = pause};
    kind.decide_precedence = [&](mono_time, random_source&) {
        waits.record("filing", limit);
        return false;
    };
    if (estimate) {
        kind.known_wait = [&](milliseconds waited) {
            return waits.record("filing", limit - waited);
        };
    }
    gate::shared_upstream upstream(seed, 90);
    upstream.run({&kind}, seconds(30));
    BOOST_TEST_MESSAGE((estimate ? "from the first attempt" : "from the return")
                       << ", pause " << pause.count() << " ms, seed " << seed << ": in time "
                       << kind.in_time_share() << ", served " << kind.served_share()
                       << ", returned " << kind.returned << " of " << kind.offered);
    return kind;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_smaller_limit_than_usual_tells_how_long_the_caller_has_waited) {
    caller_wait waits;
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((waits.record("lookup", limit - milliseconds(i)) == milliseconds(0)));
    }
    BOOST_TEST((waits.record("lookup", milliseconds(2600)) == milliseconds(400)));
    BOOST_TEST((waits.record("detail", milliseconds(2600)) == milliseconds(0)));
    // When callers state a smaller limit from now on, that becomes the usual one.
    for (int i = 0; i < 1000; ++i) {
        waits.record("lookup", milliseconds(2000));
    }
    BOOST_TEST((waits.record("lookup", milliseconds(2000)) == milliseconds(0)));
    BOOST_TEST((waits.record("lookup", milliseconds(1500)) == milliseconds(500)));
}

// Guards callers with different limits against being taken for ones that return.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_while_most_callers_state_smaller_limits) {
    caller_wait waits;
    for (int i = 0; i < 1000; ++i) {
        milliseconds stated = i % 5 < 2 ? limit : milliseconds(1000);
        milliseconds waited = waits.record("lookup", stated);
        if (i > 50) {
            BOOST_TEST((waited == milliseconds(0)));
        }
    }
}

// Load pattern: a service at 1.3 and 1.8 of its capacity, whose refused callers return once. Those
// that cannot be served in time any more must not displace callers that can.
BOOST_AUTO_TEST_CASE(callers_that_return_do_not_displace_those_who_can_be_served_in_time) {
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        for (double load : {1.5, 2.2}) {
            auto lasting = [load](mono_duration) { return load; };
            gate::call_kind before = play(false, lasting, milliseconds(300), seed);
            gate::call_kind after = play(true, lasting, milliseconds(300), seed);
            BOOST_TEST(after.in_time_share() > before.in_time_share() + 0.04);
            BOOST_TEST(after.served_share() > before.served_share() - 0.02);
            BOOST_TEST(after.returned < before.returned);
        }
        // Many callers at once: twice the capacity for 2 s, every 6 s.
        auto bursts = [](mono_duration since) {
            return since % seconds(6) < seconds(2) ? 3.0 : 0.6;
        };
        BOOST_TEST(play(true, bursts, milliseconds(300), seed).in_time_share() >
                   play(false, bursts, milliseconds(300), seed).in_time_share() - 0.02);
    }
}

BOOST_AUTO_TEST_CASE(a_decision_takes_microseconds_at_most) {
    caller_wait waits;
    constexpr int calls = 1'000'000;
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        waits.record("lookup", limit - milliseconds(i % 3 == 0 ? 500 : 0));
    }
    std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    BOOST_TEST_MESSAGE(took.count() / calls << " ns a request");
    BOOST_TEST(took.count() / calls < 50'000);
}

}  // namespace trefoil::routing
