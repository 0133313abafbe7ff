// Tests of the decisions on heartbeats, probes and silence, with a simulated clock.

#define BOOST_TEST_MODULE transport_connection_liveness
#include "transport/connection_liveness.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace trefoil::transport {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds check_interval{100};  // As in peer_endpoint.

// The two sides of a connection without delay. A frozen side neither checks nor reads.
struct connection_pair {
    struct side {
        explicit side(const connection_liveness_options& options)
            : liveness(options, mono_time{}) {}

        connection_liveness liveness;
        stall_detector stalls;
        bool frozen = false;
        bool silent = false;
        bool lost = false;
        int frames_sent = 0;
        std::vector<mono_time> pings;
    };

    explicit connection_pair(const connection_liveness_options& left_options = {},
                             const connection_liveness_options& right_options = {})
        : left(left_options), right(right_options) {
        this->ping(this->left, this->right);
        this->ping(this->right, this->left);
    }

    void deliver(side& from, side& to, const messages::peer_message& message) {
        ++from.frames_sent;
        from.liveness.on_sent(message, this->now);
        if (to.frozen) {
            return;
        }
        to.liveness.on_received(message, this->now);
        const auto* ping = std::get_if<messages::ping>(&message);
        if (ping != nullptr && ping->echo_us == 0) {
            this->deliver(to, from, messages::pong{});
        }
    }

    void ping(side& from, side& to) {
        from.pings.push_back(this->now);
        auto interval = from.liveness.record_ping(this->now);
        this->deliver(from, to,
                      messages::ping{.echo_us = 1,
                                     .interval_ms = static_cast<std::uint32_t>(interval.count())});
    }

    void check(side& one, side& other) {
        one.stalls.tick(this->now);
        liveness_verdict verdict = one.liveness.check(this->now, one.stalls);
        one.silent = one.silent || verdict.is_silent;
        one.lost = one.lost || verdict.is_lost;
        if (verdict.needs_probe) {
            this->deliver(one, other, messages::ping{});
        } else if (verdict.needs_ping) {
            this->ping(one, other);
        }
    }

    // Advances the clock until a side considers the connection silent. Returns the time that
    // passed, or nothing if that did not happen within `length`.
    std::optional<milliseconds> run_until_silent(milliseconds length) {
        for (milliseconds passed = check_interval; passed <= length; passed += check_interval) {
            this->now += check_interval;
            if (!this->left.frozen) {
                this->check(this->left, this->right);
            }
            if (!this->right.frozen) {
                this->check(this->right, this->left);
            }
            if (this->left.silent || this->right.silent) {
                return passed;
            }
        }
        return std::nullopt;
    }

    // Advances the clock until a side considers the connection lost. Returns the time that passed,
    // or nothing if that did not happen within `length`.
    std::optional<milliseconds> run_until_lost(milliseconds length) {
        for (milliseconds passed = check_interval; passed <= length; passed += check_interval) {
            this->run_until_silent(check_interval);
            if (this->left.lost || this->right.lost) {
                return passed;
            }
        }
        return std::nullopt;
    }

    void call(std::uint64_t sequence) {
        this->deliver(this->left, this->right,
                      messages::call{.sequence = sequence, .budget_us = 20'000'000});
    }

    mono_time now{};
    side left;
    side right;
};

// An earlier version announces no ping interval.
constexpr connection_liveness_options earlier_version{.idle_interval = milliseconds(0)};

}  // namespace

// Guards against heartbeats on idle connections that take most of an idle daemon's CPU time.
BOOST_AUTO_TEST_CASE(an_idle_connection_uses_the_idle_interval_and_stays_open) {
    connection_pair sides;
    BOOST_TEST(!sides.run_until_silent(milliseconds(60'000)).has_value());
    BOOST_TEST(sides.left.frames_sent <= 17);
    BOOST_TEST(sides.right.frames_sent <= 17);
}

// Guards against calls that wait for long on a connection whose peer stopped while it was idle.
BOOST_AUTO_TEST_CASE(a_call_on_an_idle_connection_detects_silence_within_two_seconds) {
    connection_pair sides;
    sides.run_until_silent(milliseconds(10'000));
    sides.right.frozen = true;
    BOOST_TEST(!sides.run_until_silent(milliseconds(1'500)).has_value());
    sides.call(1);
    auto found = sides.run_until_silent(milliseconds(10'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(2'100));
}

// Guards against closing the connection of a peer that is slow for some seconds, which loses
// results and leaves the outcome of calls unknown; and against lost connections that are never
// closed.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_lost_only_after_ten_seconds) {
    for (bool with_call : {true, false}) {
        for (bool caller_frozen : {true, false}) {
            connection_pair sides;
            sides.run_until_silent(milliseconds(10'000));
            if (with_call) {
                sides.call(1);
            }
            (caller_frozen ? sides.left : sides.right).frozen = true;
            auto lost = sides.run_until_lost(milliseconds(30'000));
            BOOST_REQUIRE(lost.has_value());
            BOOST_TEST((sides.left.silent || sides.right.silent));
            // Part of the ten seconds may have passed before the freeze.
            BOOST_TEST(*lost >= milliseconds(8'000));
            BOOST_TEST(*lost <= milliseconds(10'100));
        }
    }
}

// Guards against a silent connection without probes: a restarted peer then sends no reset and a
// slow one no answer, so neither is recognized.
BOOST_AUTO_TEST_CASE(a_silent_connection_with_a_pending_call_is_probed) {
    connection_pair sides;
    sides.run_until_silent(milliseconds(10'000));
    sides.right.frozen = true;
    sides.call(1);
    BOOST_REQUIRE(sides.run_until_silent(milliseconds(5'000)).has_value());
    int before = sides.left.frames_sent;
    sides.run_until_lost(milliseconds(3'000));
    BOOST_TEST(sides.left.frames_sent - before >= 5);
    sides.right.frozen = false;
    sides.run_until_lost(milliseconds(1'000));
    BOOST_TEST((sides.now - sides.left.liveness.last_received() <= milliseconds(600)));
    BOOST_TEST(!sides.run_until_lost(milliseconds(20'000)).has_value());
}

// Guards against an idle connection that counts as usable long after its network path broke.
BOOST_AUTO_TEST_CASE(silence_of_an_idle_connection_is_detected_soon_after_a_missed_ping) {
    connection_pair sides;
    sides.run_until_silent(milliseconds(10'000));
    sides.right.frozen = true;
    auto found = sides.run_until_silent(milliseconds(20'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(5'700));
}

// Guards against an ingress that considers a peer with a long call silent, which it does after
// 750 ms without a frame, and against a missing probe for a call on an idle connection.
BOOST_AUTO_TEST_CASE(a_side_that_waits_for_a_result_receives_frames_often) {
    connection_pair sides;
    sides.run_until_silent(milliseconds(11'300));
    sides.call(1);
    sides.run_until_silent(milliseconds(400));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!sides.run_until_silent(check_interval).has_value());
        BOOST_TEST((sides.now - sides.left.liveness.last_received() <= milliseconds(600)));
    }
}

// Guards against probes that continue after the result, the cancellation or the deadline of a call.
BOOST_AUTO_TEST_CASE(a_connection_is_idle_again_after_its_calls) {
    connection_pair sides;
    sides.call(1);
    sides.call(2);
    sides.run_until_silent(milliseconds(1'000));
    sides.deliver(sides.right, sides.left, messages::call_result{.sequence = 1});
    sides.deliver(sides.left, sides.right, messages::cancel{.sequence = 2});
    sides.run_until_silent(milliseconds(1'000));
    int before = sides.left.frames_sent + sides.right.frames_sent;
    BOOST_TEST(!sides.run_until_silent(milliseconds(40'000)).has_value());
    BOOST_TEST(sides.left.frames_sent + sides.right.frames_sent - before <= 21);
    sides.call(3);  // Never answered; its budget is 20 s.
    sides.run_until_silent(milliseconds(22'000));
    before = sides.left.frames_sent + sides.right.frames_sent;
    sides.run_until_silent(milliseconds(40'000));
    BOOST_TEST(sides.left.frames_sent + sides.right.frames_sent - before <= 21);
}

// Guards against late detection of the silence of a gossip peer.
BOOST_AUTO_TEST_CASE(a_connection_with_control_traffic_uses_the_heartbeat_interval) {
    connection_pair sides;
    sides.run_until_silent(milliseconds(10'000));
    for (int i = 0; i < 10; ++i) {
        sides.deliver(sides.left, sides.right, messages::digest{});
        sides.run_until_silent(milliseconds(1'000));
    }
    BOOST_TEST(sides.left.pings.size() + sides.right.pings.size() >= 36);
    sides.right.frozen = true;
    auto found = sides.run_until_silent(milliseconds(10'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(2'100));
}

// Guards against daemons of two versions that drop each other's connections during a rolling
// restart: the earlier version expects a frame within 2 s and announces no interval.
BOOST_AUTO_TEST_CASE(a_peer_of_an_earlier_version_is_pinged_at_the_heartbeat_interval) {
    connection_pair sides({}, earlier_version);
    BOOST_TEST(!sides.run_until_silent(milliseconds(30'000)).has_value());
    BOOST_TEST(sides.left.pings.size() >= 50);
    sides.right.frozen = true;
    auto found = sides.run_until_silent(milliseconds(10'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(2'100));
}

// Guards against estimates of the peer's clock that expire between two pings: they are valid for
// 10 s, and an answer can be one interval old when it arrives.
BOOST_AUTO_TEST_CASE(two_ping_intervals_fit_into_the_validity_of_a_clock_estimate) {
    connection_pair sides;
    sides.run_until_silent(milliseconds(60'000));
    for (std::size_t i = 1; i < sides.left.pings.size(); ++i) {
        BOOST_TEST((sides.left.pings[i] - sides.left.pings[i - 1] <= milliseconds(4'100)));
    }
}

}  // namespace trefoil::transport
