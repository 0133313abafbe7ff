// Implements the gate. Each public member takes the lock once, and every change that may free a
// slot ends with start_waiting(), so that no call waits while a slot is free.

#include "gate/upstream_gate.h"

#include <algorithm>
#include <utility>

namespace trefoil::gate {

namespace {

refusal not_run(refusal_reason reason) {
    return {.reason = reason, .outcome = messages::call_outcome::not_run};
}

// The refusal of a call that expired in the queue and was removed at `now`.
refusal expired_refusal(const waiting_call& waiting, mono_time now) {
    bool past_deadline = waiting.call.deadline <= now;
    return not_run(past_deadline ? refusal_reason::deadline_exceeded : refusal_reason::overloaded);
}

}  // namespace

upstream_gate::upstream_gate(upstream_gate_options initial)
    : upstream_gate(initial, std::make_unique<concurrency_limit>(initial.limit)) {}

upstream_gate::upstream_gate(upstream_gate_options initial, std::unique_ptr<start_limit> start_rule)
    : max_queue_wait(initial.max_queue_wait),
      limit(std::move(start_rule)),
      waiting(initial.queue),
      duplicates(initial.duplicates) {}

offer_result upstream_gate::offer(const offered_call& offered, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    offered_call call = offered;
    if (call.precedes && !this->limit->max_start_rate(now).has_value()) {
        call.priority = 0;
        call.objective_at.reset();
    }
    if (call.keeps_floor && this->floor.offer(call.route, now)) {
        call.priority = 0;
    }
    if (call.objective_at.has_value()) {
        call.latest_start = *call.objective_at - this->times.high_percentile(call.route, now);
    }
    offer_result result;
    this->refuse_expiring(now, now, result.changes);
    this->start_waiting(now, result.changes);
    if (std::optional<refusal> refused = this->refuse_new(call, now)) {
        result.decision = *refused;
    } else {
        result.decision = this->start_or_queue(call, now, result.changes);
    }
    return result;
}

std::optional<refusal> upstream_gate::refuse_new(const offered_call& call, mono_time now) {
    // Checked first, because a copy of a call that ran must not be refused as "not run".
    if (this->duplicates.admit(call.id) != duplicate_verdict::fresh) {
        return refusal{.reason = refusal_reason::duplicate,
                       .outcome = messages::call_outcome::unknown};
    }
    if (this->draining) {
        return not_run(refusal_reason::stopping);
    }
    if (this->availability != upstream_availability::available) {
        return not_run(refusal_reason::no_upstream);
    }
    if (call.deadline <= now) {
        return not_run(refusal_reason::deadline_exceeded);
    }
    return std::nullopt;
}

std::variant<start_now, queued, refusal> upstream_gate::start_or_queue(const offered_call& call,
                                                                       mono_time now,
                                                                       gate_changes& changes) {
    if (this->waiting.empty() && this->limit->may_start(this->running.size(), now)) {
        this->start_call(call, now);
        return start_now{};
    }
    if (std::optional<refusal> too_late = this->refuse_if_too_late(call, now)) {
        return *too_late;
    }
    mono_time expires = this->queue_expiry(call, now);
    // The call would expire before the pause ends, so waiting would only delay its retry at another
    // egress.
    if (expires <= this->limit->paused_until()) {
        return not_run(refusal_reason::overloaded);
    }
    bool late = this->would_start_late(call, now);
    if (late) {
        this->late_starts.on_late_queued(now);
    }
    auto pushed = this->waiting.push({.call = call, .expires = expires}, late);
    auto* added = std::get_if<queue_added>(&pushed);
    if (added == nullptr) {
        return not_run(refusal_reason::overloaded);
    }
    if (added->displaced.has_value()) {
        changes.refused.push_back({.id = std::move(added->displaced->call.id),
                                   .why = not_run(refusal_reason::overloaded)});
    }
    return queued{};
}

void upstream_gate::start_call(const offered_call& call, mono_time now) {
    this->running.insert(call.id);
    if (call.keeps_floor) {
        this->floor.on_started(call.route);
    }
    this->times.begin_request(call.id, call.route, now);
    this->limit->on_start(now);
    // A late call that starts before waiting calls in time was about to expire, which does not show
    // that there is capacity for late calls.
    bool before_others = this->waiting.size() > this->waiting.late_size();
    if (call.latest_start.has_value() && *call.latest_start < now && !before_others) {
        this->late_starts.on_late_start();
    }
}

mono_duration upstream_gate::expected_wait(const offered_call& call, bool late,
                                           mono_time now) const {
    double ahead = static_cast<double>(this->waiting.ahead_of(call.priority, late));
    double slots = std::max<double>(this->limit->limit(), 1);
    double busy = static_cast<double>(this->running.size());
    double mean = std::chrono::duration<double>(this->times.mean(now)).count();
    double wait = std::max(0.0, busy + ahead + 1 - slots) / slots * mean;
    if (auto rate = this->limit->max_start_rate(now); rate.has_value() && *rate > 0) {
        wait = std::max(wait, (ahead + 1) / *rate);
    }
    auto queued = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(wait));
    // paused_until() is the minimum of mono_time if there was no pause yet; a difference from it
    // would overflow.
    mono_time unpaused = std::max(this->limit->paused_until(), now);
    return std::max(queued, unpaused - now);
}

bool upstream_gate::would_start_late(const offered_call& call, mono_time now) const {
    return call.latest_start.has_value() &&
           now + this->expected_wait(call, false, now) > *call.latest_start;
}

// Refuses at once a call that would start too late, so that its ingress can try another egress or
// its caller can retry.
std::optional<refusal> upstream_gate::refuse_if_too_late(const offered_call& call,
                                                         mono_time now) const {
    if (!call.latest_start.has_value()) {
        return std::nullopt;
    }
    mono_duration wait = this->expected_wait(call, false, now);
    bool late = this->would_start_late(call, now);
    bool futile = late && !call.may_be_late;
    if (late && call.may_be_late) {
        auto expected = this->expected_late_wait(call, now);
        wait = expected.value_or(wait);
        futile = !expected.has_value();
    }
    bool misses_deadline = now + wait + this->times.expected(call.route, now) > call.deadline;
    if (misses_deadline || futile) {
        return refusal{.reason = refusal_reason::overloaded,
                       .outcome = messages::call_outcome::not_run,
                       .retry_after = wait};
    }
    return std::nullopt;
}

// The queue alone does not determine how long a late call waits, because calls in time that arrive
// later start first. The estimate uses the rate at which late calls start instead. A rate that was
// observed for less time than the call can wait is not used: few starts may be due to a burst after
// which the call can still start before its deadline.
std::optional<mono_duration> upstream_gate::expected_late_wait(const offered_call& call,
                                                               mono_time now) const {
    mono_duration wait = this->expected_wait(call, true, now);
    mono_duration max_wait = call.deadline - this->times.expected(call.route, now) - now;
    auto rate = this->late_starts.per_second(
        now, std::min<mono_duration>(max_wait, late_start_rate::max_observation));
    if (!rate.has_value()) {
        return wait;
    }
    // A wait beyond this ends no call in time and could not be represented at rates close to 0.
    constexpr double longest_wait_s = 3600;
    auto ahead = static_cast<double>(this->waiting.late_size() + 1);
    if (*rate * longest_wait_s <= ahead) {
        return std::nullopt;
    }
    return std::max(wait, std::chrono::duration_cast<mono_duration>(
                              std::chrono::duration<double>(ahead / *rate)));
}

mono_time upstream_gate::queue_expiry(const offered_call& call, mono_time now) const {
    if (!call.latest_start.has_value()) {
        return std::min(call.deadline, now + this->max_queue_wait);
    }
    if (!call.may_be_late) {
        return std::min(call.deadline, std::max(*call.latest_start, now));
    }
    return std::max(now, call.deadline - this->times.expected(call.route, now));
}

gate_changes upstream_gate::finish(const call_id& id, call_result_kind kind, mono_duration latency,
                                   mono_time now) {
    absl::MutexLock lock(&this->mutex);
    gate_changes changes;
    std::size_t running_before = this->running.size();
    if (this->running.erase(id) == 0) {
        return changes;
    }
    bool complete = kind == call_result_kind::good || kind == call_result_kind::application_error;
    this->times.end_request(id, complete, now);
    this->limit->on_result(kind, latency, running_before, now);
    // Calls that would expire before the pause ends are refused now, so that they can be retried at
    // another egress.
    this->refuse_expiring(std::max(now, this->limit->paused_until()), now, changes);
    this->start_waiting(now, changes);
    return changes;
}

cancel_result upstream_gate::cancel(const call_id& id) {
    absl::MutexLock lock(&this->mutex);
    if (this->running.contains(id)) {
        return cancel_result::abort_running;
    }
    if (this->waiting.remove(id).has_value()) {
        return cancel_result::removed_from_queue;
    }
    // If the cancellation arrived before its call, the record prevents the call from starting.
    this->duplicates.admit(id);
    return cancel_result::not_here;
}

gate_changes upstream_gate::expire(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    gate_changes changes;
    this->refuse_expiring(now, now, changes);
    this->start_waiting(now, changes);
    return changes;
}

std::optional<mono_time> upstream_gate::next_wakeup() const {
    absl::MutexLock lock(&this->mutex);
    std::optional<mono_time> expiry = this->waiting.next_expiry();
    if (expiry.has_value() && this->availability == upstream_availability::leaving) {
        mono_time refused_at = this->leaving_since.has_value()
                                   ? *this->leaving_since + max_wait_when_leaving
                                   : mono_time::min();
        expiry = std::min(*expiry, refused_at);
    }
    if (!expiry.has_value() || this->running.size() >= this->limit->limit()) {
        return expiry;
    }
    // Calls wait while a slot is free only during a pause.
    return std::min(*expiry, this->limit->paused_until());
}

mono_duration upstream_gate::pause_left(mono_time now) const {
    absl::MutexLock lock(&this->mutex);
    return std::max(this->limit->paused_until(), now) - now;
}

void upstream_gate::drain() {
    absl::MutexLock lock(&this->mutex);
    this->draining = true;
}

bool upstream_gate::idle() const {
    absl::MutexLock lock(&this->mutex);
    return this->running.empty() && this->waiting.empty();
}

gate_changes upstream_gate::set_availability(upstream_availability next) {
    absl::MutexLock lock(&this->mutex);
    gate_changes changes;
    this->availability = next;
    if (next != upstream_availability::leaving) {
        this->leaving_since.reset();
    }
    if (next != upstream_availability::taken_out) {
        return changes;
    }
    for (waiting_call& each : this->waiting.clear()) {
        changes.refused.push_back(
            {.id = std::move(each.call.id), .why = not_run(refusal_reason::no_upstream)});
    }
    return changes;
}

gate_changes upstream_gate::set_start_limit(std::unique_ptr<start_limit> start_rule,
                                            mono_time now) {
    absl::MutexLock lock(&this->mutex);
    gate_changes changes;
    this->limit = std::move(start_rule);
    this->start_waiting(now, changes);
    return changes;
}

gate_changes upstream_gate::set_cold(const cold_period& period, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    gate_changes changes;
    this->limit->set_cold(period, now);
    this->start_waiting(now, changes);
    return changes;
}

gate_changes upstream_gate::configure(std::uint32_t slots, std::size_t queue, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    gate_changes changes;
    this->limit->set_slots(slots);
    this->waiting.set_capacity(queue);
    this->refuse_expiring(now, now, changes);
    this->start_waiting(now, changes);
    return changes;
}

void upstream_gate::set_restart_period(const restart_period& period) {
    absl::MutexLock lock(&this->mutex);
    this->limit->set_restart_period(period);
}

messages::load_report upstream_gate::load() const {
    absl::MutexLock lock(&this->mutex);
    return {.running = static_cast<std::uint32_t>(this->running.size()),
            .queued = static_cast<std::uint32_t>(this->waiting.size()),
            .limit = this->limit->limit()};
}

std::uint64_t upstream_gate::promoted() const {
    absl::MutexLock lock(&this->mutex);
    return this->floor.promoted();
}

messages::load_report upstream_gate::load_for_route(const std::string& route, mono_time now) const {
    messages::load_report report = this->load();
    auto microseconds = [](mono_duration time) {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    };
    absl::MutexLock lock(&this->mutex);
    report.service_us = microseconds(this->times.expected(route, now));
    report.mean_service_us = microseconds(this->times.mean(now));
    return report;
}

void upstream_gate::refuse_expiring(mono_time until, mono_time now, gate_changes& changes) {
    for (waiting_call& each : this->waiting.expire(until)) {
        refusal why = expired_refusal(each, now);
        changes.refused.push_back({.id = std::move(each.call.id), .why = why});
    }
}

void upstream_gate::refuse_at_leaving_upstream(mono_time now, gate_changes& changes) {
    if (this->availability != upstream_availability::leaving) {
        return;
    }
    this->leaving_since = this->leaving_since.value_or(now);
    if (now < *this->leaving_since + max_wait_when_leaving) {
        return;
    }
    for (waiting_call& each : this->waiting.clear()) {
        changes.refused.push_back(
            {.id = std::move(each.call.id), .why = not_run(refusal_reason::no_upstream)});
    }
}

void upstream_gate::start_waiting(mono_time now, gate_changes& changes) {
    this->refuse_at_leaving_upstream(now, changes);
    while (!this->waiting.empty() && this->limit->may_start(this->running.size(), now)) {
        offered_call next = std::move(this->waiting.pop(now)->call);
        this->start_call(next, now);
        changes.start.push_back(std::move(next.id));
    }
    this->late_starts.decay(now);
    if (this->waiting.empty()) {
        this->late_starts.end_observation();
    }
}

}  // namespace trefoil::gate
