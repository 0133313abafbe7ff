// The gate before one upstream. It alone decides which calls start there and when: it joins the
// concurrency limit, the fair queue, the duplicate filter, deadlines and the drain.
//
// Example:
//
//     gate::upstream_gate gate({.limit = {.slots = 12}, .queue = 64});
//     gate::offer_result offered = gate.offer({id, "north", deadline}, now);
//     if (std::holds_alternative<gate::start_now>(offered.decision)) { ... send to upstream ... }
//     gate::gate_changes changes = gate.finish(id, gate::call_result_kind::good, latency, now);
//     for (const gate::call_id& next : changes.start) { ... }
//     for (const gate::refused_call& each : changes.refused) { ... answer ... }
//
// Every call that is offered gets exactly one of: a refusal in its own offer, a place in `refused`
// of a later change, a queued cancellation, or a start. Every started call must be finished once.

#ifndef TREFOIL_GATE_UPSTREAM_GATE_H_
#define TREFOIL_GATE_UPSTREAM_GATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "base/time.h"
#include "gate/concurrency_limit.h"
#include "gate/duplicate_filter.h"
#include "gate/fair_queue.h"
#include "gate/gate_types.h"
#include "gate/late_start_rate.h"
#include "gate/service_times.h"
#include "gate/start_limit.h"
#include "messages/messages.h"

namespace trefoil::gate {

struct upstream_gate_options {
    concurrency_limit_options limit = {};
    std::size_t queue = 64;  // Waiting calls, all workspaces together.
    // Longest wait in the queue of calls without a latency objective. Beyond it another upstream or
    // an early refusal serves the caller better, and it bounds how long after its admission a call
    // may start.
    std::chrono::milliseconds longest_wait{100};
    duplicate_filter_options duplicates = {};
};

// The call may be sent to the upstream at once.
struct start_now {};

// The call waits. A later change starts or refuses it, unless it is cancelled first.
struct queued {};

// Calls that other calls' events affect. The owner starts the first and answers the second.
struct gate_changes {
    std::vector<call_id> start;
    std::vector<refused_call> refused;

    bool empty() const { return this->start.empty() && this->refused.empty(); }
};

struct offer_result {
    std::variant<start_now, queued, refusal> decision;  // About the offered call.
    gate_changes changes;                               // About other calls.
};

enum class cancel_result : std::uint8_t {
    removed_from_queue,  // The call did not run and never will.
    abort_running,       // The call runs: abort it, then call finish().
    not_here,            // Not offered yet (then its offer will be refused) or already over.
};

enum class upstream_availability : std::uint8_t {
    available,
    leaving,    // New calls are refused; running and queued ones finish.
    taken_out,  // New and queued calls are refused; running ones finish.
};

// Safe for concurrent use. Times passed by different threads may be slightly out of order.
class upstream_gate {
public:
    explicit upstream_gate(upstream_gate_options initial);

    // Uses another rule than concurrency_limit; `initial.limit` is ignored.
    upstream_gate(upstream_gate_options initial, std::unique_ptr<start_limit> rule);

    offer_result offer(const offered_call& offered, mono_time now);

    // Reports the end of a started call after `latency`. A call that is not running is ignored.
    gate_changes finish(const call_id& id, call_result_kind kind, mono_duration latency,
                        mono_time now);

    cancel_result cancel(const call_id& id);

    // Refuses the queued calls that waited for too long and starts those for which a pause ended.
    // To be called at next_wakeup().
    gate_changes expire(mono_time now);

    // When expire() has something to do next, if no other event comes first.
    std::optional<mono_time> next_wakeup() const;

    // Refuses new calls as `stopping` from now on, for good.
    void drain();

    // Whether nothing runs and nothing waits.
    bool idle() const;

    // Refusals, if any, are of queued calls.
    gate_changes set_availability(upstream_availability next);

    // Replaces the rule that decides how many calls run.
    gate_changes set_start_limit(std::unique_ptr<start_limit> rule, mono_time now);

    // The upstream is cold for some time.
    gate_changes set_cold(const cold_period& period, mono_time now);

    // Applies a configuration change. Waiting calls beyond a smaller queue are kept.
    gate_changes configure(std::uint32_t slots, std::size_t queue, mono_time now);

    messages::load_report load() const;
    // With the times of requests of one route.
    messages::load_report load_for_route(const std::string& route, mono_time now) const;

private:
    // When a call that is offered now would start, from `now`.
    mono_duration expected_wait(const offered_call& call, bool late, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Whether it would miss its objective.
    bool comes_late(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    mono_time expiry_of(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<refusal> refuse_hopeless(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // The wait of a late call, or nothing while late calls start so rarely that it cannot be told.
    std::optional<mono_duration> expected_late_wait(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void begin(const offered_call& call, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<refusal> refuse_new(const offered_call& call, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::variant<start_now, queued, refusal> place(const offered_call& call, mono_time now,
                                                   gate_changes& changes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Refuses the queued calls that expire at or before `until`.
    void refuse_expiring(mono_time until, mono_time now, gate_changes& changes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_waiting(mono_time now, gate_changes& changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    // All members below are guarded by mutex. A call is in at most one of `waiting` and `running`,
    // and `duplicates` holds it before it enters either.
    std::chrono::milliseconds longest_wait;
    std::unique_ptr<start_limit> limit;  // Never null.
    fair_queue waiting;
    service_times times;
    late_start_rate late_starts;
    duplicate_filter duplicates;
    absl::flat_hash_set<call_id> running;
    bool draining = false;  // Never reset.
    upstream_availability availability = upstream_availability::available;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_UPSTREAM_GATE_H_
