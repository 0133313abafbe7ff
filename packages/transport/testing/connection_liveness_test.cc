// Tests of the decisions on heartbeats and silence, with a clock of the test's own.

#define BOOST_TEST_MODULE transport_connection_liveness
#include "transport/connection_liveness.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace trefoil::transport {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{100};  // The interval at which the endpoint checks.

// Two sides of a connection without delay. A side that is frozen neither checks nor reads.
struct pair_of_sides {
    struct side {
        explicit side(const connection_liveness_options& options)
            : liveness(options, mono_time{}) {}

        connection_liveness liveness;
        stall_detector stalls;
        bool frozen = false;
        bool silent = false;
        bool lost = false;
        int frames = 0;
        std::vector<mono_time> pings;
    };

    explicit pair_of_sides(const connection_liveness_options& left_options = {},
                           const connection_liveness_options& right_options = {})
        : left(left_options), right(right_options) {
        this->ping(this->left, this->right);
        this->ping(this->right, this->left);
    }

    void deliver(side& from, side& to, const messages::peer_message& message) {
        ++from.frames;
        from.liveness.sent(message, this->now);
        if (to.frozen) {
            return;
        }
        to.liveness.received(message, this->now);
        const auto* ping = std::get_if<messages::ping>(&message);
        if (ping != nullptr && ping->echo_us == 0) {
            this->deliver(to, from, messages::pong{});
        }
    }

    void ping(side& from, side& to) {
        from.pings.push_back(this->now);
        auto interval = from.liveness.pinged(this->now);
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

    // Returns how long it took until a side found the other one silent; nothing within `length`.
    std::optional<milliseconds> run(milliseconds length) {
        for (milliseconds passed = step; passed <= length; passed += step) {
            this->now += step;
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

    // Returns how long it took until a side found the connection lost; nothing within `length`.
    std::optional<milliseconds> run_until_lost(milliseconds length) {
        for (milliseconds passed = step; passed <= length; passed += step) {
            this->run(step);
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

constexpr connection_liveness_options earlier_version{.idle_interval = milliseconds(0)};

}  // namespace

// Guards against frames of idle connections that cost most of an idle daemon's processor time.
BOOST_AUTO_TEST_CASE(an_idle_connection_is_pinged_seldom_and_stays_open) {
    pair_of_sides sides;
    BOOST_TEST(!sides.run(milliseconds(60'000)).has_value());
    BOOST_TEST(sides.left.frames <= 17);
    BOOST_TEST(sides.right.frames <= 17);
}

// Guards against calls that wait on a connection that fell silent while it was idle.
BOOST_AUTO_TEST_CASE(silence_of_an_idle_connection_with_a_call_is_found_in_two_seconds) {
    pair_of_sides sides;
    sides.run(milliseconds(10'000));
    sides.right.frozen = true;
    BOOST_TEST(!sides.run(milliseconds(1'500)).has_value());
    sides.call(1);
    auto found = sides.run(milliseconds(10'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(2'100));
}

// Guards against results that are lost, and calls whose outcome stays unknown, because a peer that
// was slow for some seconds finds its connection closed; and against lost connections that stay.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_lost_only_after_ten_seconds) {
    for (bool with_call : {true, false}) {
        for (bool caller_frozen : {true, false}) {
            pair_of_sides sides;
            sides.run(milliseconds(10'000));
            if (with_call) {
                sides.call(1);
            }
            (caller_frozen ? sides.left : sides.right).frozen = true;
            auto lost = sides.run_until_lost(milliseconds(30'000));
            BOOST_REQUIRE(lost.has_value());
            BOOST_TEST((sides.left.silent || sides.right.silent));
            BOOST_TEST(*lost >= milliseconds(8'000));  // Some of it may have passed before.
            BOOST_TEST(*lost <= milliseconds(10'100));
        }
    }
}

// Guards against a peer that restarted or is slow and is never asked, so that neither its reset nor
// its answer comes.
BOOST_AUTO_TEST_CASE(a_silent_connection_with_a_call_is_asked_for_an_answer) {
    pair_of_sides sides;
    sides.run(milliseconds(10'000));
    sides.right.frozen = true;
    sides.call(1);
    BOOST_REQUIRE(sides.run(milliseconds(5'000)).has_value());
    int before = sides.left.frames;
    sides.run_until_lost(milliseconds(3'000));
    BOOST_TEST(sides.left.frames - before >= 5);
    sides.right.frozen = false;
    sides.run_until_lost(milliseconds(1'000));
    BOOST_TEST((sides.now - sides.left.liveness.last_received() <= milliseconds(600)));
    BOOST_TEST(!sides.run_until_lost(milliseconds(20'000)).has_value());
}

// Guards against an idle connection that stays in the table long after its path lost its state.
BOOST_AUTO_TEST_CASE(silence_of_an_idle_connection_is_found_soon_after_a_missed_ping) {
    pair_of_sides sides;
    sides.run(milliseconds(10'000));
    sides.right.frozen = true;
    auto found = sides.run(milliseconds(20'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(5'700));
}

// Guards against an ingress that takes a peer with a long call for silent, which it does after
// 750 ms without a frame, and against calls that are not asked after at once on an idle connection.
BOOST_AUTO_TEST_CASE(a_side_that_waits_for_a_result_hears_often) {
    pair_of_sides sides;
    sides.run(milliseconds(11'300));
    sides.call(1);
    sides.run(milliseconds(400));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!sides.run(step).has_value());
        BOOST_TEST((sides.now - sides.left.liveness.last_received() <= milliseconds(600)));
    }
}

// Guards against probes that go on after the result, the cancellation or the deadline of the call.
BOOST_AUTO_TEST_CASE(a_connection_is_idle_again_after_its_calls) {
    pair_of_sides sides;
    sides.call(1);
    sides.call(2);
    sides.run(milliseconds(1'000));
    sides.deliver(sides.right, sides.left, messages::call_result{.sequence = 1});
    sides.deliver(sides.left, sides.right, messages::cancel{.sequence = 2});
    sides.run(milliseconds(1'000));
    int before = sides.left.frames + sides.right.frames;
    BOOST_TEST(!sides.run(milliseconds(40'000)).has_value());
    BOOST_TEST(sides.left.frames + sides.right.frames - before <= 21);
    sides.call(3);  // Never answered; its budget is 20 s.
    sides.run(milliseconds(22'000));
    before = sides.left.frames + sides.right.frames;
    sides.run(milliseconds(40'000));
    BOOST_TEST(sides.left.frames + sides.right.frames - before <= 21);
}

// Guards against gossip peers whose silence is found later than that of others.
BOOST_AUTO_TEST_CASE(a_connection_with_control_traffic_is_pinged_as_often_as_before) {
    pair_of_sides sides;
    sides.run(milliseconds(10'000));
    for (int i = 0; i < 10; ++i) {
        sides.deliver(sides.left, sides.right, messages::digest{});
        sides.run(milliseconds(1'000));
    }
    BOOST_TEST(sides.left.pings.size() + sides.right.pings.size() >= 36);
    sides.right.frozen = true;
    auto found = sides.run(milliseconds(10'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(2'100));
}

// Guards against daemons of two versions that drop each other's connections during a restart in
// turn: the earlier one expects a frame within 2 s and states no interval.
BOOST_AUTO_TEST_CASE(a_peer_of_an_earlier_version_hears_often) {
    pair_of_sides sides({}, earlier_version);
    BOOST_TEST(!sides.run(milliseconds(30'000)).has_value());
    BOOST_TEST(sides.left.pings.size() >= 50);
    sides.right.frozen = true;
    auto found = sides.run(milliseconds(10'000));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(*found <= milliseconds(2'100));
}

// Guards against estimates of the peer's clock that run out between two pings: an answer is held
// back for one interval at most and lives for 10 s.
BOOST_AUTO_TEST_CASE(two_intervals_fit_into_the_life_of_a_clock_estimate) {
    pair_of_sides sides;
    sides.run(milliseconds(60'000));
    for (std::size_t i = 1; i < sides.left.pings.size(); ++i) {
        BOOST_TEST((sides.left.pings[i] - sides.left.pings[i - 1] <= milliseconds(4'100)));
    }
}

}  // namespace trefoil::transport
