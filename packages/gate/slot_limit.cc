// Implements the slot limit and its token bucket for cold upstreams.

#include "gate/slot_limit.h"

#include <algorithm>

namespace trefoil::gate {

slot_limit::slot_limit(slot_limit_options initial) : options(initial), warmth(initial.warmth) {
    this->options.slots = std::max<std::uint32_t>(1, initial.slots);
}

// At least one token; with less, no call would ever start.
double slot_limit::cold_capacity(double rate) const {
    return std::max(1.0, rate * std::chrono::duration<double>(this->options.cold_burst).count());
}

double slot_limit::cold_tokens(double rate, mono_time now) const {
    if (this->refilled_at == mono_time::min()) {
        return 1;
    }
    double elapsed = std::chrono::duration<double>(now - this->refilled_at).count();
    return std::min(this->cold_capacity(rate), this->tokens + std::max(0.0, elapsed) * rate);
}

bool slot_limit::may_start(std::size_t running, mono_time now) const {
    if (running >= this->options.slots || now < this->pause_end) {
        return false;
    }
    std::optional<double> rate = this->max_start_rate(now);
    return !rate.has_value() || this->cold_tokens(*rate, now) >= 1;
}

void slot_limit::on_start(mono_time now) {
    if (std::optional<double> rate = this->max_start_rate(now)) {
        this->tokens = this->cold_tokens(*rate, now) - 1;
        this->refilled_at = now;
    }
}

mono_time slot_limit::paused_until() const {
    bool started = this->refilled_at != mono_time::min();
    std::optional<double> rate = started ? this->max_start_rate(this->refilled_at) : std::nullopt;
    if (this->tokens >= 1 || rate.value_or(0) <= 0) {
        return this->pause_end;
    }
    auto wait = std::chrono::duration<double>((1 - this->tokens) / *rate);
    mono_time refilled = this->refilled_at + std::chrono::ceil<mono_duration>(wait);
    return std::max(this->pause_end, std::min(refilled, this->warmth.warm_at()));
}

std::optional<double> slot_limit::max_start_rate(mono_time now) const {
    return this->warmth.max_start_rate(now);
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
    bool was_cold = this->max_start_rate(now).has_value();
    this->warmth.on_report(period);
    this->begin_cold_unless(was_cold, now);
}

void slot_limit::expect_restart(mono_time now) {
    bool was_cold = this->max_start_rate(now).has_value();
    this->warmth.on_connection_refused(now);
    this->begin_cold_unless(was_cold, now);
}

// A period that goes on keeps its bucket, so that reporting it again adds no starts.
void slot_limit::begin_cold_unless(bool was_cold, mono_time now) {
    if (!was_cold) {
        this->tokens = 1;
        this->refilled_at = now;
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
