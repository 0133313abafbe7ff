// Tests of nested calls at the gate of an upstream that is overloaded by other requests.

#define BOOST_TEST_MODULE gate_nested_calls
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>

#include "gate/slot_limit.h"
#include "gate/testing/shared_upstream.h"
#include "gate/upstream_gate.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t slots = 9;
constexpr std::uint32_t request_priority = 1002;

// Returns by how much the share of nested calls that are served exceeds that of the requests.
double advantage_of_nested_calls(bool precede, std::uint64_t seed) {
    call_kind requests{.route = "balance",
                       .priority = request_priority,
                       .per_second = 55,
                       .service_time = milliseconds(240),
                       .objective = milliseconds(600),
                       .time_limit = milliseconds(4000)};
    call_kind nested{.route = "peek",
                     .priority = request_priority,
                     .per_second = 90,
                     .service_time = milliseconds(15),
                     .objective = milliseconds(60),
                     .time_limit = milliseconds(200),
                     .has_workspace = false,
                     .precedes = precede};
    shared_upstream upstream(seed, slots);
    upstream.run({&requests, &nested}, seconds(30));
    BOOST_TEST_MESSAGE((precede ? "precede" : "do not precede")
                       << ": served " << nested.served_share() << " of the nested calls, "
                       << requests.served_share() << " of the requests");
    return nested.served_share() - requests.served_share();
}

}  // namespace

// Load pattern: eight workspaces overload an upstream with long requests of their own, while the
// requests that run elsewhere make short nested calls to it. The platform charges for a kind of
// calls that is served less often than a less urgent one by more than 5 in 100.
BOOST_AUTO_TEST_CASE(nested_calls_that_precede_are_served_as_often_as_the_requests) {
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        BOOST_TEST(advantage_of_nested_calls(true, seed) > -0.05);
        // Without precedence they are one more workspace in the round robin.
        BOOST_TEST(advantage_of_nested_calls(false, seed) < -0.05);
    }
}

// Load pattern: all upstreams return cold after an outage. A nested call then takes as much of the
// start rate as a request, so it must not displace more urgent requests.
BOOST_AUTO_TEST_CASE(nested_calls_do_not_precede_at_a_cold_upstream) {
    mono_time now{std::chrono::hours(1)};
    upstream_gate gate({}, std::make_unique<slot_limit>(slot_limit_options{.slots = slots}));
    gate.set_cold({.until = now + seconds(3), .rate = 20}, now);
    auto call = [&](std::uint64_t sequence, std::uint32_t priority, bool precedes) {
        return offered_call{.id = {.instance = "i", .incarnation = 1, .sequence = sequence},
                            .deadline = now + seconds(2),
                            .priority = priority,
                            .precedes = precedes};
    };
    BOOST_TEST(std::holds_alternative<start_now>(gate.offer(call(1, 5, false), now).decision));
    BOOST_TEST(std::holds_alternative<queued>(gate.offer(call(2, 5, true), now).decision));
    BOOST_TEST(std::holds_alternative<queued>(gate.offer(call(3, 4, false), now).decision));
    gate_changes changes = gate.expire(now + milliseconds(50));
    BOOST_REQUIRE(changes.start.size() == 1U);
    BOOST_TEST(changes.start.front().sequence == 3U);
}

}  // namespace trefoil::gate
