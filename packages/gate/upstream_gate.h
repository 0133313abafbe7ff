// Admission control in front of one upstream. The gate alone decides which calls start there and
// when. It combines the concurrency limit, the fair queue, the duplicate filter, deadlines, latency
// objectives and the drain.
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
// Every offered call ends in exactly one of four ways: it is refused by its own offer, refused by a
// later change, cancelled while it is queued, or started. Every started call must be finished once.
//
// A call is late when it would start so late that it probably misses its latency objective. Late
// calls wait behind calls in time, and are refused when they would not end before their deadline.

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
#include "gate/kind_floor.h"
#include "gate/late_start_rate.h"
#include "gate/service_times.h"
#include "gate/start_limit.h"
#include "messages/messages.h"

namespace trefoil::gate {

struct upstream_gate_options {
    concurrency_limit_options limit = {};
    std::size_t queue = 64;  // Capacity for waiting calls, all workspaces together.
    // Longest wait in the queue for calls without a latency objective. After it a retry at another
    // upstream or a refusal serves the caller better. It also bounds the time between the admission
    // and the start of a call.
    std::chrono::milliseconds max_queue_wait{100};
    duplicate_filter_options duplicates = {};
};

// The call may be sent to the upstream at once.
struct start_now {};

// The call waits. A later change starts or refuses it unless it is cancelled first.
struct queued {};

// Queued calls that change state because of an event. The owner sends the calls in `start` to the
// upstream and reports those in `refused` to their ingresses.
struct gate_changes {
    std::vector<call_id> start;
    std::vector<refused_call> refused;

    bool empty() const { return this->start.empty() && this->refused.empty(); }
};

struct offer_result {
    std::variant<start_now, queued, refusal> decision;  // For the offered call.
    gate_changes changes;                               // Of other calls.
};

enum class cancel_result : std::uint8_t {
    removed_from_queue,  // The call did not run and will not run.
    abort_running,       // The call runs: abort it, then call finish().
    not_here,            // Already over, or not offered yet; in that case its offer is refused.
};

enum class upstream_availability : std::uint8_t {
    available,
    leaving,    // New calls are refused; running and queued ones finish.
    taken_out,  // New and queued calls are refused; running ones finish.
};

// Safe for concurrent use. Times passed by different threads may be slightly out of order.
class upstream_gate {
public:
    // An upstream that leaves ends some seconds after its announcement.
    static constexpr std::chrono::milliseconds max_wait_when_leaving{1000};

    explicit upstream_gate(upstream_gate_options initial);

    // Uses `start_rule` instead of a concurrency_limit; `initial.limit` is ignored.
    upstream_gate(upstream_gate_options initial, std::unique_ptr<start_limit> start_rule);

    offer_result offer(const offered_call& offered, mono_time now);

    // Reports the end of a started call after `latency`. A call that is not running is ignored.
    gate_changes finish(const call_id& id, call_result_kind kind, mono_duration latency,
                        mono_time now);

    cancel_result cancel(const call_id& id);

    // Refuses the queued calls that have expired, and starts queued calls if a pause of the start
    // limit has ended. To be called at next_wakeup().
    gate_changes expire(mono_time now);

    // When expire() has to be called next if no other event comes first; nothing if never.
    std::optional<mono_time> next_wakeup() const;

    // Time until the end of the pause that the upstream's refusals caused; 0 without a pause.
    mono_duration pause_left(mono_time now) const;

    // Refuses all further calls as `stopping`. Cannot be undone.
    void drain();

    // Whether no call runs or waits.
    bool idle() const;

    // Refuses the queued calls: at once if the upstream is taken out, and those that have not
    // started max_wait_when_leaving later if it is leaving.
    gate_changes set_availability(upstream_availability next);

    gate_changes set_start_limit(std::unique_ptr<start_limit> start_rule, mono_time now);

    // The upstream is cold until the end of the period.
    gate_changes set_cold(const cold_period& period, mono_time now);

    // Applies a configuration change. Waiting calls are kept even beyond a smaller queue.
    gate_changes configure(std::uint32_t slots, std::size_t queue, mono_time now);

    messages::load_report load() const;
    // From now on, an upstream that refused a connection counts as cold for this time: what refuses
    // connections may have started anew, and its report that it is cold arrives later.
    void set_restart_period(const restart_period& period);
    // Number of calls that ranked as most urgent, because their route was below its floor.
    std::uint64_t promoted() const;
    // Includes the expected time of requests of the route and the mean over all routes.
    messages::load_report load_for_route(const std::string& route, mono_time now) const;

private:
    // Estimated wait of a call that is offered now. `late`: whether it ranks as a late call.
    mono_duration expected_wait(const offered_call& call, bool late, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Whether a call that is offered now would start after its latest start.
    bool would_start_late(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // When the call is refused if it is still queued.
    mono_time queue_expiry(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<refusal> refuse_if_too_late(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Estimated wait of a late call; nothing if `late_starts` has measured a rate of 0.
    std::optional<mono_duration> expected_late_wait(const offered_call& call, mono_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_call(const offered_call& call, mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<refusal> refuse_new(const offered_call& call, mono_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::variant<start_now, queued, refusal> start_or_queue(const offered_call& call, mono_time now,
                                                            gate_changes& changes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Refuses the queued calls that expire at or before `until`.
    void refuse_expiring(mono_time until, mono_time now, gate_changes& changes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void refuse_at_leaving_upstream(mono_time now, gate_changes& changes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void start_waiting(mono_time now, gate_changes& changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    // All members below are guarded by mutex. A call is in at most one of `waiting` and `running`,
    // and is recorded in `duplicates` before it enters either.
    std::chrono::milliseconds max_queue_wait;
    std::unique_ptr<start_limit> limit;  // Never null.
    fair_queue waiting;
    service_times times;
    kind_floor floor;  // Of the calls with `keeps_floor`.
    late_start_rate late_starts;
    duplicate_filter duplicates;
    absl::flat_hash_set<call_id> running;
    bool draining = false;  // Never reset.
    upstream_availability availability = upstream_availability::available;
    // When the gate first saw that the upstream is leaving.
    std::optional<mono_time> leaving_since;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_UPSTREAM_GATE_H_
