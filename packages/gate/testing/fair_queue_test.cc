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

// The pattern: orders and readings share an upstream that is short of room.
BOOST_FIXTURE_TEST_CASE(urgent_calls_start_first, queue_fixture) {
    this->push("a", 2);
    this->push("a", 0);
    this->push("b", 1);
    this->push("b", 0);
    BOOST_TEST(this->order() == "a0 b0 b1 a2 ");
}

// The pattern: one workspace sends many times what the others do.
BOOST_FIXTURE_TEST_CASE(workspaces_of_one_rank_take_turns, queue_fixture) {
    for (int i = 0; i < 4; ++i) {
        this->push("a", 1);
    }
    this->push("b", 1);
    this->push("c", 1);
    BOOST_TEST(this->order() == "a1 b1 c1 a1 a1 a1 ");
}

BOOST_FIXTURE_TEST_CASE(late_calls_come_after_all_others, queue_fixture) {
    this->push("a", 0, true);
    this->push("b", 2);
    this->push("c", 1, true);
    BOOST_TEST(this->queue.late_size() == 2U);
    BOOST_TEST(this->queue.ahead_of(1, false) == 0U);
    BOOST_TEST(this->queue.ahead_of(1, true) == 3U);
    BOOST_TEST(this->order() == "b2 a0 c1 ");
    BOOST_TEST(this->queue.late_size() == 0U);
}

// A call that waited until its latest useful start has passed gives way to those in time.
BOOST_FIXTURE_TEST_CASE(a_call_that_became_late_while_it_waited_goes_last, queue_fixture) {
    this->queue.push(this->call("a", 0, start + milliseconds(10)));
    this->push("b", 1);
    BOOST_TEST(this->order(start + milliseconds(11)) == "b1 a0 ");
}

// The pattern: a burst has passed. Its late calls were let in because there would be room for them;
// calls in time that can wait must not use it up.
BOOST_FIXTURE_TEST_CASE(a_late_call_about_to_expire_goes_before_calls_that_can_wait,
                        queue_fixture) {
    mono_time useful = start + milliseconds(100);
    for (auto [workspace, wait] : {std::pair("a", 50), std::pair("b", 200)}) {
        waiting_call late = this->call(workspace, 1);
        late.expires = start + milliseconds(wait);
        this->queue.push(late, true);
    }
    this->queue.push(this->call("c", 1, useful));
    this->queue.push(this->call("d", 0, useful));
    // The more urgent call in time first, then the late one that must start before the other.
    BOOST_TEST(this->order() == "d0 a1 c1 b1 ");
}

BOOST_FIXTURE_TEST_CASE(a_full_queue_keeps_the_urgent_and_drops_the_late, queue_fixture) {
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
