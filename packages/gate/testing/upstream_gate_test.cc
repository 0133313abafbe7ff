// Tests of the upstream gate: outcomes of refusals, deadlines, cancellation and drain.

#define BOOST_TEST_MODULE gate_upstream_gate
#include "gate/upstream_gate.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <thread>

#include "base/random.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours(1)};

call_id id_of(std::uint64_t sequence) {
    return {.instance = "station-1", .incarnation = 5, .sequence = sequence};
}

offered_call call_of(std::uint64_t sequence, milliseconds budget = milliseconds(1000),
                     const std::string& workspace = "north") {
    return {.id = id_of(sequence), .workspace = workspace, .deadline = start + budget};
}

bool starts(const offer_result& result) {
    return std::holds_alternative<start_now>(result.decision);
}

bool waits(const offer_result& result) {
    return std::holds_alternative<queued>(result.decision);
}

bool refuses(const offer_result& result, refusal_reason reason, messages::call_outcome outcome) {
    const auto* refused = std::get_if<refusal>(&result.decision);
    return refused != nullptr && *refused == refusal{.reason = reason, .outcome = outcome};
}

constexpr auto not_run = messages::call_outcome::not_run;
constexpr auto unknown = messages::call_outcome::unknown;

}  // namespace

// Guards against a second run of a call of which a copy arrives while it waits, while it runs or
// after it ended, and against refusing that copy as "not run".
BOOST_AUTO_TEST_CASE(copies_are_refused_as_unknown) {
    upstream_gate gate({.limit = {.slots = 1}});
    BOOST_TEST(starts(gate.offer(call_of(1), start)));
    BOOST_TEST(waits(gate.offer(call_of(2), start)));
    BOOST_TEST(refuses(gate.offer(call_of(1), start), refusal_reason::duplicate, unknown));
    BOOST_TEST(refuses(gate.offer(call_of(2), start), refusal_reason::duplicate, unknown));
    gate.finish(id_of(1), call_result_kind::good, milliseconds(1), start);
    BOOST_TEST(refuses(gate.offer(call_of(1), start + std::chrono::hours(1)),
                       refusal_reason::duplicate, unknown));
}

// Guards against a false "not run": a copy of a refused call must not run later.
BOOST_AUTO_TEST_CASE(refused_call_never_runs_later) {
    upstream_gate gate({.limit = {.slots = 1}, .queue = 0});
    BOOST_TEST(starts(gate.offer(call_of(1), start)));
    BOOST_TEST(refuses(gate.offer(call_of(2), start), refusal_reason::overloaded, not_run));
    gate.finish(id_of(1), call_result_kind::good, milliseconds(1), start);
    BOOST_TEST(refuses(gate.offer(call_of(2), start), refusal_reason::duplicate, unknown));
}

// Guards against starts of calls past their deadline after the process was paused: they are refused
// and the remaining ones start.
BOOST_AUTO_TEST_CASE(expired_calls_do_not_start_after_a_pause_of_the_process) {
    upstream_gate gate({.limit = {.slots = 1}, .max_queue_wait = milliseconds(60'000)});
    BOOST_TEST(starts(gate.offer(call_of(1), start)));
    BOOST_TEST(waits(gate.offer(call_of(2, milliseconds(300)), start)));
    BOOST_TEST(waits(gate.offer(call_of(3, milliseconds(20'000)), start)));
    mono_time resumed = start + milliseconds(10'000);
    gate_changes changes =
        gate.finish(id_of(1), call_result_kind::good, milliseconds(10'000), resumed);
    BOOST_TEST((changes.start == std::vector<call_id>{id_of(3)}));
    BOOST_TEST((changes.refused == std::vector<refused_call>{
                                       {id_of(2), {refusal_reason::deadline_exceeded, not_run}}}));
    BOOST_TEST(
        refuses(gate.offer(call_of(4), resumed), refusal_reason::deadline_exceeded, not_run));
}

// Guards against a call that waits longer than the maximum because its deadline is later.
BOOST_AUTO_TEST_CASE(call_is_refused_as_overloaded_after_the_maximum_wait) {
    upstream_gate gate({.limit = {.slots = 1}, .max_queue_wait = milliseconds(150)});
    gate.offer(call_of(1), start);
    gate.offer(call_of(2), start);
    BOOST_TEST((gate.next_wakeup() == start + milliseconds(150)));
    BOOST_TEST(gate.expire(start + milliseconds(149)).empty());
    gate_changes changes = gate.expire(start + milliseconds(150));
    BOOST_TEST((changes.refused ==
                std::vector<refused_call>{{id_of(2), {refusal_reason::overloaded, not_run}}}));
}

// Guards against a cancellation that starts, loses or leaks a call in any of its states.
BOOST_AUTO_TEST_CASE(cancellation_works_in_every_state_of_a_call) {
    upstream_gate gate({.limit = {.slots = 1}});
    BOOST_TEST(starts(gate.offer(call_of(1), start)));
    gate.offer(call_of(2), start);
    gate.offer(call_of(3), start);
    BOOST_TEST((gate.cancel(id_of(2)) == cancel_result::removed_from_queue));
    BOOST_TEST((gate.cancel(id_of(1)) == cancel_result::abort_running));
    gate_changes changes =
        gate.finish(id_of(1), call_result_kind::cancelled, milliseconds(1), start);
    BOOST_TEST((changes.start == std::vector<call_id>{id_of(3)}));
    BOOST_TEST((gate.cancel(id_of(1)) == cancel_result::not_here));
    BOOST_TEST((gate.cancel(id_of(2)) == cancel_result::not_here));
    // The cancellation arrived before its call.
    BOOST_TEST((gate.cancel(id_of(9)) == cancel_result::not_here));
    BOOST_TEST(refuses(gate.offer(call_of(9), start), refusal_reason::duplicate, unknown));
    gate.finish(id_of(3), call_result_kind::good, milliseconds(1), start);
    BOOST_TEST(gate.idle());
}

// Guards against a drain that interrupts admitted calls or admits new ones.
BOOST_AUTO_TEST_CASE(drain_finishes_admitted_calls) {
    upstream_gate gate({.limit = {.slots = 1}});
    gate.offer(call_of(1), start);
    gate.offer(call_of(2), start);
    gate.drain();
    BOOST_TEST(refuses(gate.offer(call_of(3), start), refusal_reason::stopping, not_run));
    BOOST_TEST(!gate.idle());
    gate_changes changes = gate.finish(id_of(1), call_result_kind::good, milliseconds(1), start);
    BOOST_TEST((changes.start == std::vector<call_id>{id_of(2)}));
    gate.finish(id_of(2), call_result_kind::good, milliseconds(1), start);
    BOOST_TEST(gate.idle());
}

// Guards against new calls at an upstream that is leaving or that operators took out.
BOOST_AUTO_TEST_CASE(unavailable_upstream_gets_no_new_calls) {
    upstream_gate gate({.limit = {.slots = 1}});
    gate.offer(call_of(1), start);
    gate.offer(call_of(2), start);
    BOOST_TEST(gate.set_availability(upstream_availability::leaving).empty());
    BOOST_TEST(refuses(gate.offer(call_of(3), start), refusal_reason::no_upstream, not_run));
    gate_changes changes = gate.set_availability(upstream_availability::taken_out);
    BOOST_TEST((changes.refused ==
                std::vector<refused_call>{{id_of(2), {refusal_reason::no_upstream, not_run}}}));
    BOOST_TEST(refuses(gate.offer(call_of(4), start), refusal_reason::no_upstream, not_run));
    gate.finish(id_of(1), call_result_kind::good, milliseconds(1), start);
    gate.set_availability(upstream_availability::available);
    BOOST_TEST(starts(gate.offer(call_of(5), start)));
}

// Guards against a call that waits so long at an upstream that is leaving that it reaches it when
// it has ended, or after the time in which it may still get work.
BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_no_call_that_has_waited_long) {
    upstream_gate gate({.limit = {.slots = 1}, .max_queue_wait = std::chrono::seconds(5)});
    offered_call waiting = call_of(2);
    waiting.deadline = start + std::chrono::seconds(5);
    gate.offer(call_of(1), start);
    gate.offer(waiting, start);
    gate.set_availability(upstream_availability::leaving);
    BOOST_TEST((gate.next_wakeup().value() <= start));
    BOOST_TEST(gate.expire(start).empty());
    mono_time late = start + upstream_gate::max_wait_when_leaving;
    BOOST_TEST((gate.next_wakeup().value() <= late));
    gate_changes changes = gate.finish(id_of(1), call_result_kind::good, milliseconds(1), late);
    BOOST_TEST(changes.start.empty());
    BOOST_TEST((changes.refused ==
                std::vector<refused_call>{{id_of(2), {refusal_reason::no_upstream, not_run}}}));
}

// Guards against calls that wait for an upstream that is down although another one could serve
// them.
BOOST_AUTO_TEST_CASE(failing_upstream_refuses_its_queued_calls) {
    upstream_gate gate({.limit = {.slots = 1}});
    mono_time now = start;
    std::size_t released = 0;
    for (std::uint64_t sequence = 1; released == 0 && sequence < 20; ++sequence) {
        gate.offer({id_of(2 * sequence), "north", now + milliseconds(1000)}, now);
        gate.offer({id_of(2 * sequence + 1), "north", now + milliseconds(1000)}, now);
        gate_changes changes = gate.finish(
            id_of(2 * sequence), call_result_kind::connection_refused, milliseconds(1), now);
        for (const refused_call& each : changes.refused) {
            BOOST_TEST((each.why == refusal{refusal_reason::overloaded, not_run}));
            ++released;
        }
        gate.cancel(id_of(2 * sequence + 1));
        now += milliseconds(500);
    }
    BOOST_TEST(released == 1U);
}

// Guards against a noisy workspace that fills the whole queue.
BOOST_AUTO_TEST_CASE(full_queue_displaces_the_noisy_workspace) {
    upstream_gate gate({.limit = {.slots = 1}, .queue = 4});
    gate.offer(call_of(1), start);
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence) {
        BOOST_TEST(waits(gate.offer(call_of(sequence, milliseconds(1000), "noisy"), start)));
    }
    BOOST_TEST(refuses(gate.offer(call_of(6, milliseconds(1000), "noisy"), start),
                       refusal_reason::overloaded, not_run));
    offer_result quiet = gate.offer(call_of(7, milliseconds(1000), "quiet"), start);
    BOOST_TEST(waits(quiet));
    BOOST_TEST((quiet.changes.refused ==
                std::vector<refused_call>{{id_of(5), {refusal_reason::overloaded, not_run}}}));
    std::vector<call_id> order;
    for (std::uint64_t running = 1; order.size() < 4; running = order.back().sequence) {
        gate_changes changes =
            gate.finish(id_of(running), call_result_kind::good, milliseconds(1), start);
        order.insert(order.end(), changes.start.begin(), changes.start.end());
    }
    BOOST_TEST((order == std::vector<call_id>{id_of(2), id_of(7), id_of(3), id_of(4)}));
}

namespace {

// Tracks each call through random events and checks that it starts or is refused exactly once.
class call_tracker {
public:
    void offered(const call_id& id, const offer_result& result, mono_time now) {
        this->apply(result.changes, now);
        if (starts(result)) {
            this->start(id, now);
        } else if (waits(result)) {
            this->waiting.insert(id.sequence);
        }
    }
    void apply(const gate_changes& changes, mono_time now) {
        for (const call_id& id : changes.start) {
            BOOST_TEST(this->waiting.erase(id.sequence) == 1U);
            this->start(id, now);
        }
        for (const refused_call& each : changes.refused) {
            BOOST_TEST((each.why.outcome == not_run));
            BOOST_TEST(this->waiting.erase(each.id.sequence) == 1U);
        }
    }
    void start(const call_id& id, mono_time now) {
        BOOST_TEST(this->started.insert(id.sequence).second);
        BOOST_TEST((now < this->deadlines.at(id.sequence)));
        this->running.insert(id.sequence);
    }

    std::map<std::uint64_t, mono_time> deadlines;
    std::set<std::uint64_t> waiting;
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> started;
};

}  // namespace

// Guards against calls that are leaked or run twice when calls end, expire, are cancelled and are
// offered twice in any order.
BOOST_AUTO_TEST_CASE(random_events_leak_no_call) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        seeded_random random(seed);
        upstream_gate gate({.limit = {.slots = 4}, .queue = 8});
        call_tracker tracker;
        mono_time now = start;
        for (std::uint64_t step = 1; step <= 3000; ++step) {
            now += milliseconds(random.below(20));
            std::uint64_t sequence = 1 + random.below(step);
            if (random.below(2) == 0) {
                std::string workspace(1, static_cast<char>('a' + random.below(3)));
                offered_call call{id_of(sequence), workspace,
                                  now + milliseconds(random.below(400))};
                tracker.deadlines.emplace(sequence, call.deadline);
                tracker.offered(call.id, gate.offer(call, now), now);
            } else if (random.below(3) == 0) {
                cancel_result result = gate.cancel(id_of(sequence));
                BOOST_TEST((result == cancel_result::removed_from_queue) ==
                           (tracker.waiting.erase(sequence) == 1));
                BOOST_TEST((result == cancel_result::abort_running) ==
                           tracker.running.contains(sequence));
            } else if (!tracker.running.empty()) {
                std::uint64_t ended = *tracker.running.begin();
                tracker.running.erase(ended);
                auto kind = static_cast<call_result_kind>(random.below(6));
                tracker.apply(gate.finish(id_of(ended), kind, milliseconds(random.below(50)), now),
                              now);
            }
            tracker.apply(gate.expire(now), now);
            BOOST_TEST(gate.load().running == tracker.running.size());
            BOOST_TEST(gate.load().queued == tracker.waiting.size());
        }
        for (std::uint64_t ended : std::set<std::uint64_t>(tracker.running)) {
            tracker.running.erase(ended);
            tracker.apply(gate.finish(id_of(ended), call_result_kind::good, milliseconds(1), now),
                          now);
        }
        tracker.apply(gate.expire(now + milliseconds(1000)), now + milliseconds(1000));
        BOOST_TEST(tracker.waiting.empty());
    }
}

// Guards against calls that are lost or run twice when several threads use one gate.
BOOST_AUTO_TEST_CASE(concurrent_use_loses_no_call) {
    upstream_gate gate({.limit = {.slots = 8}, .queue = 1000});
    std::atomic<int> started{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> threads;
    for (std::uint64_t thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&, thread] {
            std::vector<call_id> to_finish;
            auto apply = [&](const gate_changes& changes) {
                to_finish.insert(to_finish.end(), changes.start.begin(), changes.start.end());
                refused += static_cast<int>(changes.refused.size());
            };
            for (std::uint64_t call = 0; call < 2000; ++call) {
                offered_call next = call_of(call * 4 + thread);
                offer_result result = gate.offer(next, start);
                if (starts(result)) {
                    to_finish.push_back(next.id);
                }
                refused += std::holds_alternative<refusal>(result.decision) ? 1 : 0;
                apply(result.changes);
                while (!to_finish.empty()) {
                    call_id id = to_finish.back();
                    to_finish.pop_back();
                    ++started;
                    apply(gate.finish(id, call_result_kind::good, milliseconds(1), start));
                }
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    BOOST_TEST(gate.idle());
    BOOST_TEST(started + refused == 8000);
}

}  // namespace trefoil::gate
