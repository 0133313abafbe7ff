// Implements the adaptive concurrency limit. Growth and halving are those of section 7 of the
// design page. The bound on the time to warm up, the drop to 1 after consecutive bad results and
// the pause between starts are additions to it.

#include "gate/concurrency_limit.h"

#include <algorithm>

namespace trefoil::gate {

namespace {

// Maximum number of consecutive application errors that are tolerated.
constexpr double max_error_allowance = 3.0;

}  // namespace

concurrency_limit::concurrency_limit(concurrency_limit_options initial)
    : options(initial), latencies(initial.baseline) {
    this->options.slots = std::max<std::uint32_t>(1, initial.slots);
}

bool concurrency_limit::may_start(std::size_t running, mono_time now) const {
    return running < this->current && now >= this->pause_end;
}

upstream_use concurrency_limit::classify_use(std::size_t running) const {
    if (running <= 1) {
        return upstream_use::single;
    }
    return running * 2 <= this->current ? upstream_use::partial : upstream_use::full;
}

void concurrency_limit::on_result(call_result_kind kind, mono_duration latency, std::size_t running,
                                  mono_time now) {
    upstream_use use = this->classify_use(running);
    mono_time started = now - latency;
    switch (kind) {
        case call_result_kind::good:
            if (this->latencies.observe(latency, use, now)) {
                this->on_bad(started, now);
            } else {
                this->on_good(started, running, now);
            }
            break;
        case call_result_kind::application_error:
            if (!this->tolerate_error()) {
                this->on_bad(started, now);
            }
            break;
        case call_result_kind::shed:
        case call_result_kind::failed:
            this->on_bad(started, now);
            break;
        case call_result_kind::connection_refused:
            this->reduce_to(1, now);
            this->pause(now);
            break;
        case call_result_kind::cancelled:
            if (this->latencies.observe_unfinished(latency, use, now)) {
                this->on_bad(started, now);
            }
            break;
    }
}

bool concurrency_limit::after_reduction(mono_time started) const {
    return !this->reduced_at.has_value() || started >= *this->reduced_at;
}

void concurrency_limit::on_good(mono_time started, std::size_t running, mono_time now) {
    // A call that started earlier says nothing about the upstream since the reduction.
    if (this->after_reduction(started)) {
        this->bad_results = 0;
    }
    this->pause_length = mono_duration::zero();
    this->pause_end = mono_time::min();
    this->error_allowance =
        std::min(max_error_allowance, this->error_allowance + this->options.tolerated_error_share);
    // A response below full use does not show that the upstream can handle more than the limit.
    if (running < this->current) {
        return;
    }
    ++this->good_responses;
    if (this->reached_at.empty()) {
        this->reached_at.assign(this->current, now);
    }
    bool enough = this->good_responses >= this->current && now >= this->next_growth_time();
    if (enough && this->current < this->options.slots) {
        this->grow(now);
    }
}

mono_time concurrency_limit::next_growth_time() const {
    // The next limit may be at most twice the limit of one doubling time ago. That limit is at
    // least `half` once a doubling time has passed since `half` was reached.
    std::size_t half = (this->current + 2) / 2;
    mono_time doubled = this->reached_at[half - 1] + this->options.doubling_time;
    std::uint32_t steps = std::max<std::uint32_t>(1, this->options.slots - 1);
    mono_duration step = mono_duration(this->options.min_warm_up) / steps;
    return std::max(doubled, this->reached_at.back() + step);
}

void concurrency_limit::grow(mono_time now) {
    ++this->current;
    this->reached_at.push_back(now);
    this->good_responses = 0;
    this->latencies.restart_window();
}

void concurrency_limit::on_bad(mono_time started, mono_time now) {
    this->error_allowance = 0;
    if (this->after_reduction(started)) {
        ++this->bad_results;
    }
    if (this->bad_results >= this->options.bad_streak) {
        this->reduce_to(1, now);
    }
    bool recent =
        this->reduced_at.has_value() && now < *this->reduced_at + this->options.reduction_interval;
    if (this->current > 1 && !recent) {
        this->reduce_to(this->current / 2, now);
    } else if (this->current == 1) {
        this->pause(now);
    }
}

void concurrency_limit::reduce_to(std::uint32_t next, mono_time now) {
    this->current = std::max<std::uint32_t>(1, next);
    this->good_responses = 0;
    this->reduced_at = now;
    this->reached_at.assign(this->current, now);
    this->latencies.restart_window();
}

void concurrency_limit::pause(mono_time now) {
    // Results that arrive during a pause are of calls that ran concurrently with the one that
    // caused it, and do not lengthen it.
    if (now < this->pause_end) {
        return;
    }
    mono_duration shortest = this->options.min_pause;
    mono_duration longest = this->options.max_pause;
    this->pause_length = std::clamp(this->pause_length * 2, shortest, longest);
    this->pause_end = now + this->pause_length;
}

bool concurrency_limit::tolerate_error() {
    if (this->error_allowance < 1.0) {
        return false;
    }
    this->error_allowance -= 1.0;
    return true;
}

void concurrency_limit::set_slots(std::uint32_t slots) {
    this->options.slots = std::max<std::uint32_t>(1, slots);
    this->current = std::min(this->current, this->options.slots);
    if (this->reached_at.size() > this->current) {
        this->reached_at.resize(this->current);
    }
}

}  // namespace trefoil::gate
