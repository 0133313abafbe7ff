// Tests of the clock estimate, which must include the time that a call waited in socket buffers.

#define BOOST_TEST_MODULE routing_clock_offset
#include "routing/clock_offset.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace trefoil::routing {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

messages::pong pong_of(mono_time ping_sent, std::int64_t peer_clock_us) {
    return {.echo_us = to_microseconds(ping_sent), .clock_us = peer_clock_us};
}

}  // namespace

// Guards against a deadline that is computed without an estimate of the peer's clock.
BOOST_AUTO_TEST_CASE(no_estimate_before_a_pong_and_after_ten_seconds) {
    clock_offset clock;
    BOOST_TEST(std::holds_alternative<no_clock_estimate>(clock.earliest_send(0, start)));
    clock.on_pong(pong_of(start, 77), start);
    BOOST_TEST(std::holds_alternative<mono_time>(clock.earliest_send(77, start + seconds(10))));
    BOOST_TEST(
        std::holds_alternative<no_clock_estimate>(clock.earliest_send(77, start + seconds(11))));
    clock_offset other;
    other.on_pong(pong_of(start + seconds(1), 77), start);
    BOOST_TEST(std::holds_alternative<no_clock_estimate>(other.earliest_send(77, start)));
}

// Guards against starts of calls past their deadline: the estimate must not be later than the true
// send time, and earlier by at most the shortest round trip of the last 10 s, also on slow paths.
BOOST_AUTO_TEST_CASE(estimate_is_a_tight_lower_bound) {
    seeded_random random(5);
    clock_offset clock;
    constexpr std::int64_t peer_ahead_us = 123'456'789;
    mono_time now = start;
    std::vector<std::pair<mono_time, mono_duration>> round_trips;
    for (int step = 0; step < 500; ++step) {
        now += std::chrono::milliseconds(500);
        microseconds there(500 + random.below(random.below(2) == 0 ? 100 : 900'000));
        microseconds back(500 + random.below(100));
        std::int64_t peer_clock = to_microseconds(now + there) + peer_ahead_us;
        mono_time received = now + there + back;
        clock.on_pong(pong_of(now, peer_clock), received);
        round_trips.emplace_back(received, there + back);
        now = received;
        // A message that waited in a socket buffer for up to 30 s.
        mono_time sent = now - microseconds(random.below(30'000'000));
        auto bound = clock.earliest_send(to_microseconds(sent) + peer_ahead_us, now);
        mono_duration smallest = seconds(10);
        for (const auto& [time, round_trip] : round_trips) {
            smallest = time + seconds(10) >= now ? std::min(smallest, round_trip) : smallest;
        }
        BOOST_TEST((std::get<mono_time>(bound) <= sent));
        BOOST_TEST((std::get<mono_time>(bound) + smallest >= sent));
    }
}

}  // namespace trefoil::routing
