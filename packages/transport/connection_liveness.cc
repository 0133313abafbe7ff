// Implements the decisions on heartbeats and silence.

#include "transport/connection_liveness.h"

#include <algorithm>
#include <variant>

namespace trefoil::transport {

namespace {

// Gossip and limits send about once a second over a connection that they use.
constexpr std::chrono::milliseconds control_memory{2000};
// The side that holds a call leaves the probes to the side that waits, unless none come.
constexpr std::chrono::milliseconds holder_probe_delay{1000};
// A call whose result never comes, for instance because it was cancelled, is forgotten this long
// after its deadline.
constexpr std::chrono::milliseconds expiry_margin{1000};

bool is_of_connection(const messages::peer_message& message) {
    return std::holds_alternative<messages::hello>(message) ||
           std::holds_alternative<messages::proof>(message) ||
           std::holds_alternative<messages::ping>(message) ||
           std::holds_alternative<messages::pong>(message);
}

}  // namespace

connection_liveness::connection_liveness(const connection_liveness_options& initial, mono_time now)
    : options(initial), received_at(now), pinged_at(now) {}

void connection_liveness::add(open_calls& calls, const messages::call& call, mono_time now) {
    if (calls.expiries.empty()) {
        calls.since = now;
    }
    calls.expiries[call.sequence] = now + std::chrono::microseconds(call.budget_us) + expiry_margin;
}

void connection_liveness::drop_expired(open_calls& calls, mono_time now) {
    std::erase_if(calls.expiries, [now](const auto& each) { return each.second <= now; });
}

// `started` are the calls in the direction of the message, `ended` those in the other one.
void connection_liveness::note(const messages::peer_message& message, open_calls& started,
                               open_calls& ended, mono_time now) {
    if (const auto* call = std::get_if<messages::call>(&message)) {
        add(started, *call, now);
    } else if (const auto* result = std::get_if<messages::call_result>(&message)) {
        ended.expiries.erase(result->sequence);
    } else if (const auto* cancelled = std::get_if<messages::cancel>(&message)) {
        started.expiries.erase(cancelled->sequence);
    } else if (!is_of_connection(message)) {
        this->control_at = now;
    }
}

void connection_liveness::sent(const messages::peer_message& message, mono_time now) {
    std::lock_guard lock(this->mutex);
    this->note(message, this->calls_sent, this->calls_received, now);
}

void connection_liveness::received(const messages::peer_message& message, mono_time now) {
    std::lock_guard lock(this->mutex);
    this->received_at = now;
    const auto* ping = std::get_if<messages::ping>(&message);
    // A probe states none and leaves the stated one as it is.
    if (ping != nullptr && ping->interval_ms > 0) {
        this->peer_interval = std::chrono::milliseconds(ping->interval_ms);
    }
    this->note(message, this->calls_received, this->calls_sent, now);
}

// A peer that states no interval is of an older version and counts 2 s without a frame as silence.
std::chrono::milliseconds connection_liveness::interval(mono_time now) const {
    bool seldom = this->options.idle_interval > this->options.heartbeat_interval &&
                  this->peer_interval.count() > 0 &&
                  !(this->control_at.has_value() && now - *this->control_at < control_memory);
    return seldom ? this->options.idle_interval : this->options.heartbeat_interval;
}

std::chrono::milliseconds connection_liveness::pinged(mono_time now) {
    std::lock_guard lock(this->mutex);
    this->pinged_at = now;
    this->promised = this->interval(now);
    return this->options.idle_interval.count() == 0 ? this->options.idle_interval : this->promised;
}

mono_time connection_liveness::last_received() const {
    std::lock_guard lock(this->mutex);
    return this->received_at;
}

// A side with calls asks often, so it hears within the limit whatever interval the peer states.
mono_duration connection_liveness::patience(bool waits) const {
    if (waits || this->options.idle_interval.count() == 0) {
        return this->options.silence_limit;
    }
    auto longer = std::min(this->peer_interval, 2 * this->options.idle_interval) -
                  this->options.heartbeat_interval;
    return this->options.silence_limit + std::max(longer, std::chrono::milliseconds(0));
}

// Whether a side that waits has to ask now; notes that it does.
bool connection_liveness::asks(bool waits_long, mono_time now) {
    bool asked_lately =
        this->probed_at.has_value() && now - *this->probed_at < this->options.heartbeat_interval;
    if (!waits_long || asked_lately) {
        return false;
    }
    this->probed_at = now;
    return true;
}

liveness_verdict connection_liveness::check(mono_time now, const stall_detector& stalls) {
    std::lock_guard lock(this->mutex);
    drop_expired(this->calls_sent, now);
    drop_expired(this->calls_received, now);
    bool calls_out = !this->calls_sent.expiries.empty();
    bool calls_in = !this->calls_received.expiries.empty();
    mono_time since = this->received_at;
    if (calls_out || calls_in) {
        mono_time first = calls_out ? this->calls_sent.since : this->calls_received.since;
        if (calls_out && calls_in) {
            first = std::min(first, this->calls_received.since);
        }
        since = std::max(since, first);
    }
    mono_duration silence = stalls.silence(since, now);
    bool waits_long = (calls_out && silence >= this->options.probe_delay) ||
                      (calls_in && silence >= holder_probe_delay);
    if (silence > this->options.loss_limit) {
        return {.is_silent = true, .is_lost = true};
    }
    bool silent = silence > this->patience(calls_out || calls_in);
    if (this->asks(waits_long, now)) {
        return {.is_silent = silent, .needs_probe = true};
    }
    if (silent) {
        return {.is_silent = true};
    }
    auto wanted = this->interval(now);
    bool due = now - this->pinged_at >= std::min(wanted, this->promised);
    return {.needs_ping = due || wanted < this->promised};
}

}  // namespace trefoil::transport
