// Implements the slot limit and its token bucket for cold upstreams.

#include "gate/slot_limit.h"

#include <algorithm>

namespace trefoil::gate {

slot_limit::slot_limit(slot_limit_options initial) : options(initial) {
    this->options.slots = std::max<std::uint32_t>(1, initial.slots);
}

// At least one token; with less, no call would ever start.
double slot_limit::cold_capacity() const {
    return std::max(
        1.0, this->cold.rate * std::chrono::duration<double>(this->options.cold_burst).count());
}

double slot_limit::cold_tokens(mono_time now) const {
    double elapsed = std::chrono::duration<double>(now - this->refilled_at).count();
    return std::min(this->cold_capacity(), this->tokens + std::max(0.0, elapsed) * this->cold.rate);
}

bool slot_limit::may_start(std::size_t running, mono_time now) const {
    if (running >= this->options.slots || now < this->pause_end) {
        return false;
    }
    return now >= this->cold.until || this->cold_tokens(now) >= 1;
}

void slot_limit::on_start(mono_time now) {
    if (now < this->cold.until) {
        this->tokens = this->cold_tokens(now) - 1;
        this->refilled_at = now;
    }
}

mono_time slot_limit::paused_until() const {
    mono_time next = this->pause_end;
    if (this->cold.until > this->refilled_at && this->tokens < 1 && this->cold.rate > 0) {
        auto wait = std::chrono::duration<double>((1 - this->tokens) / this->cold.rate);
        auto refilled = this->refilled_at + std::chrono::ceil<mono_duration>(wait);
        next = std::max(next, std::min(refilled, this->cold.until));
    }
    return next;
}

std::optional<double> slot_limit::max_start_rate(mono_time now) const {
    return now < this->cold.until ? std::optional(this->cold.rate) : std::nullopt;
}

void slot_limit::on_result(call_result_kind kind, mono_duration /*latency*/,
                           std::size_t /*running*/, mono_time now) {
    switch (kind) {
        case call_result_kind::connection_refused:
            this->pause(now);
            this->expect_restart(now);
            break;
        case call_result_kind::shed:
            this->pause(now);
            break;
        case call_result_kind::good:
        case call_result_kind::application_error:
            this->pause_length = mono_duration(0);
            break;
        case call_result_kind::failed:
        case call_result_kind::cancelled:
            break;
    }
}

void slot_limit::set_slots(std::uint32_t slots) {
    this->options.slots = std::max<std::uint32_t>(1, slots);
}

void slot_limit::set_cold(const cold_period& period, mono_time now) {
    bool was_cold = now < this->cold.until;
    this->cold = period;
    if (!was_cold) {
        this->tokens = 1;
        this->refilled_at = now;
    }
}

// An upstream that refuses connections may start anew at any time from now on.
void slot_limit::expect_restart(mono_time now) {
    if (this->restart.rate > 0) {
        this->set_cold({.until = std::max(this->cold.until, now + this->restart.duration),
                        .rate = this->restart.rate},
                       now);
    }
}

void slot_limit::pause(mono_time now) {
    if (now < this->pause_end) {
        return;
    }
    this->pause_length = std::clamp<mono_duration>(this->pause_length * 2, this->options.min_pause,
                                                   this->options.max_pause);
    this->pause_end = now + this->pause_length;
}

}  // namespace trefoil::gate
