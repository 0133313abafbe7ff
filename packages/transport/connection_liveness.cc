// Implements the decisions on heartbeats, probes and silence.

#include "transport/connection_liveness.h"

#include <algorithm>
#include <variant>

namespace trefoil::transport {

namespace {

// A connection has control traffic if a control message was sent or received within this time.
// Gossip and rate limits send about one per second on each connection that they use.
constexpr std::chrono::milliseconds control_traffic_window{2000};
// Time without a frame after which the side that runs a call sends a probe. Longer than the default
// probe_delay of the side that waits for the result, so that this side sends probes only if none
// arrive from that one.
constexpr std::chrono::milliseconds responder_probe_delay{1000};
// Time after its deadline at which a pending call without a result is removed.
constexpr std::chrono::milliseconds expiry_margin{1000};

bool is_connection_message(const messages::peer_message& message) {
    return std::holds_alternative<messages::hello>(message) ||
           std::holds_alternative<messages::proof>(message) ||
           std::holds_alternative<messages::ping>(message) ||
           std::holds_alternative<messages::pong>(message);
}

}  // namespace

connection_liveness::connection_liveness(const connection_liveness_options& initial, mono_time now)
    : options(initial), received_at(now), pinged_at(now) {}

void connection_liveness::add_call(pending_calls& calls, const messages::call& call,
                                   mono_time now) {
    if (calls.expiries.empty()) {
        calls.since = now;
    }
    calls.expiries[call.sequence] = now + std::chrono::microseconds(call.budget_us) + expiry_margin;
}

void connection_liveness::drop_expired(pending_calls& calls, mono_time now) {
    std::erase_if(calls.expiries, [now](const auto& each) { return each.second <= now; });
}

// Updates the pending calls and the time of the latest control message. `started` are the pending
// calls in the direction of the message, `ended` those in the opposite direction.
void connection_liveness::record(const messages::peer_message& message, pending_calls& started,
                                 pending_calls& ended, mono_time now) {
    if (const auto* call = std::get_if<messages::call>(&message)) {
        add_call(started, *call, now);
    } else if (const auto* result = std::get_if<messages::call_result>(&message)) {
        ended.expiries.erase(result->sequence);
    } else if (const auto* cancelled = std::get_if<messages::cancel>(&message)) {
        started.expiries.erase(cancelled->sequence);
    } else if (!is_connection_message(message)) {
        this->control_at = now;
    }
}

void connection_liveness::on_sent(const messages::peer_message& message, mono_time now) {
    std::lock_guard lock(this->mutex);
    this->record(message, this->calls_sent, this->calls_received, now);
}

void connection_liveness::on_received(const messages::peer_message& message, mono_time now) {
    std::lock_guard lock(this->mutex);
    this->received_at = now;
    const auto* ping = std::get_if<messages::ping>(&message);
    // A probe announces no interval and does not change the announced one.
    if (ping != nullptr && ping->interval_ms > 0) {
        this->peer_interval = std::chrono::milliseconds(ping->interval_ms);
    }
    this->record(message, this->calls_received, this->calls_sent, now);
}

// A peer that announces no interval is of an earlier version, which considers a connection silent
// after 2 s without a frame, so it needs the heartbeat interval.
std::chrono::milliseconds connection_liveness::ping_interval(mono_time now) const {
    bool use_idle_interval =
        this->options.idle_interval > this->options.heartbeat_interval &&
        this->peer_interval.count() > 0 &&
        !(this->control_at.has_value() && now - *this->control_at < control_traffic_window);
    return use_idle_interval ? this->options.idle_interval : this->options.heartbeat_interval;
}

std::chrono::milliseconds connection_liveness::record_ping(mono_time now) {
    std::lock_guard lock(this->mutex);
    this->pinged_at = now;
    this->announced = this->ping_interval(now);
    return this->options.idle_interval.count() == 0 ? this->options.idle_interval : this->announced;
}

mono_time connection_liveness::last_received() const {
    std::lock_guard lock(this->mutex);
    return this->received_at;
}

// While there are pending calls, probes are sent, and their answers arrive within the configured
// limit whatever interval the peer announces. Otherwise the limit is extended by that interval. The
// extension is bounded, because the peer chooses the interval.
mono_duration connection_liveness::effective_silence_limit(bool has_pending_calls) const {
    if (has_pending_calls || this->options.idle_interval.count() == 0) {
        return this->options.silence_limit;
    }
    auto extension = std::min(this->peer_interval, 2 * this->options.idle_interval) -
                     this->options.heartbeat_interval;
    return this->options.silence_limit + std::max(extension, std::chrono::milliseconds(0));
}

// Returns whether to send a probe now, and records it as sent.
bool connection_liveness::start_probe_if_due(bool probe_wanted, mono_time now) {
    bool probed_lately =
        this->probed_at.has_value() && now - *this->probed_at < this->options.heartbeat_interval;
    if (!probe_wanted || probed_lately) {
        return false;
    }
    this->probed_at = now;
    return true;
}

liveness_verdict connection_liveness::check(mono_time now, const stall_detector& stalls) {
    std::lock_guard lock(this->mutex);
    drop_expired(this->calls_sent, now);
    drop_expired(this->calls_received, now);
    bool awaits_results = !this->calls_sent.expiries.empty();
    bool runs_calls = !this->calls_received.expiries.empty();
    mono_time since = this->received_at;
    if (awaits_results || runs_calls) {
        mono_time first = awaits_results ? this->calls_sent.since : this->calls_received.since;
        if (awaits_results && runs_calls) {
            first = std::min(first, this->calls_received.since);
        }
        since = std::max(since, first);
    }
    mono_duration silence = stalls.silence(since, now);
    bool probe_wanted = (awaits_results && silence >= this->options.probe_delay) ||
                        (runs_calls && silence >= responder_probe_delay);
    if (silence > this->options.loss_limit) {
        return {.is_silent = true, .is_lost = true};
    }
    bool silent = silence > this->effective_silence_limit(awaits_results || runs_calls);
    if (this->start_probe_if_due(probe_wanted, now)) {
        return {.is_silent = silent, .needs_probe = true};
    }
    if (silent) {
        return {.is_silent = true};
    }
    auto wanted = this->ping_interval(now);
    bool due = now - this->pinged_at >= std::min(wanted, this->announced);
    return {.needs_ping = due || wanted < this->announced};
}

}  // namespace trefoil::transport
