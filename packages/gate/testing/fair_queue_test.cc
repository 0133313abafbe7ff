// Tests of the order in which waiting calls start.

#define BOOST_TEST_MODULE gate_fair_queue
#include "gate/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours(1)};

struct queue_fixture {
    fair_queue queue{8};
    std::uint64_t sequence = 0;

    waiting_call call(const std::string& workspace, std::uint32_t priority,
                      std::optional<mono_time> latest_start = std::nullopt) {
        offered_call offered{
            .id = {.instance = workspace, .incarnation = priority, .sequence = ++this->sequence},
            .workspace = workspace,
            .deadline = start + milliseconds(1000),
            .priority = priority,
            .latest_start = latest_start};
        return {.call = std::move(offered), .expires = start + milliseconds(1000)};
    }
    bool push(const std::string& workspace, std::uint32_t priority, bool late = false) {
        return std::holds_alternative<queue_added>(
            this->queue.push(this->call(workspace, priority), late));
    }
    // Workspace and priority of all calls, in the order in which they start.
    std::string order(mono_time now = start) {
        std::string all;
        while (auto next = this->queue.pop(now)) {
            all += next->call.workspace + std::to_string(next->call.priority) + " ";
        }
        return all;
    }
};

}  // namespace

// Guards against calls of low priority that delay urgent ones at an upstream without free slots.
BOOST_FIXTURE_TEST_CASE(urgent_calls_start_first, queue_fixture) {
    this->push("a", 2);
    this->push("a", 0);
    this->push("b", 1);
    this->push("b", 0);
    BOOST_TEST(this->order() == "a0 b0 b1 a2 ");
}

// Guards against a workspace with many requests that delays the calls of the others.
BOOST_FIXTURE_TEST_CASE(workspaces_of_one_rank_are_served_round_robin, queue_fixture) {
    for (int i = 0; i < 4; ++i) {
        this->push("a", 1);
    }
    this->push("b", 1);
    this->push("c", 1);
    BOOST_TEST(this->order() == "a1 b1 c1 a1 a1 a1 ");
}

// Guards against late calls that delay calls in time, and against wrong counts of the calls ahead.
BOOST_FIXTURE_TEST_CASE(late_calls_start_after_all_others, queue_fixture) {
    this->push("a", 0, true);
    this->push("b", 2);
    this->push("c", 1, true);
    BOOST_TEST(this->queue.late_size() == 2U);
    BOOST_TEST(this->queue.ahead_of(1, false) == 0U);
    BOOST_TEST(this->queue.ahead_of(1, true) == 3U);
    BOOST_TEST(this->order() == "b2 a0 c1 ");
    BOOST_TEST(this->queue.late_size() == 0U);
}

// Guards against a call that keeps its rank after its latest start has passed in the queue.
BOOST_FIXTURE_TEST_CASE(a_call_that_becomes_late_in_the_queue_starts_last, queue_fixture) {
    this->queue.push(this->call("a", 0, start + milliseconds(10)));
    this->push("b", 1);
    BOOST_TEST(this->order(start + milliseconds(11)) == "b1 a0 ");
}

// Guards against late calls that expire in the queue after a burst. They were queued because slots
// were expected to become free, but calls in time that could still wait took these slots first.
BOOST_FIXTURE_TEST_CASE(a_late_call_about_to_expire_starts_before_calls_that_can_wait,
                        queue_fixture) {
    mono_time last_start = start + milliseconds(100);
    for (auto [workspace, wait] : {std::pair("a", 50), std::pair("b", 200)}) {
        waiting_call late = this->call(workspace, 1);
        late.expires = start + milliseconds(wait);
        this->queue.push(late, true);
    }
    this->queue.push(this->call("c", 1, last_start));
    this->queue.push(this->call("d", 0, last_start));
    // The more urgent call in time first, then the late call that expires before "c" must start.
    BOOST_TEST(this->order() == "d0 a1 c1 b1 ");
}

// Guards against a full queue that refuses urgent calls or drops calls in time before late ones.
BOOST_FIXTURE_TEST_CASE(a_full_queue_displaces_late_calls_before_urgent_ones, queue_fixture) {
    for (int i = 0; i < 7; ++i) {
        this->push("a", 1);
    }
    this->push("a", 1, true);
    BOOST_TEST(this->push("b", 2));  // Displaces the late call.
    BOOST_TEST(this->push("b", 0));  // Displaces the call of priority 2.
    BOOST_TEST(!this->push("a", 1, true));
    BOOST_TEST(!this->push("b", 3));
    BOOST_TEST(this->push("c", 1));  // Displaces one of the seven of "a".
    BOOST_TEST(this->order() == "b0 a1 c1 a1 a1 a1 a1 a1 ");
}

}  // namespace trefoil::gate
