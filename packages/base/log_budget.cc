// Implements the rate limit for log lines as a token bucket with reserved tokens per kind of line.

#include "base/log_budget.h"

#include <algorithm>

#include "base/hash.h"

namespace trefoil {

namespace {

// Fill levels of the bucket, as fractions of the burst, below which lines of a kind are sampled and
// below which they are dropped.
struct sampling_limits {
    double sample_below;
    double drop_below;
};

constexpr sampling_limits ordinary_lines{.sample_below = 0.75, .drop_below = 0.5};
constexpr sampling_limits failure_lines{.sample_below = 0.5, .drop_below = 0.1};
// While lines are sampled, one request in this many keeps its lines.
constexpr std::uint64_t sampled_one_in = 8;

}  // namespace

void log_budget::start(const log_budget_options& given, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->options = given;
    this->tokens = given.burst_lines;
    this->refilled_at = now;
}

bool log_budget::take(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->refill(now);
    return this->spend();
}

bool log_budget::take_for_request(log_priority priority, std::string_view request_id,
                                  mono_time now) {
    const sampling_limits& limits =
        priority == log_priority::failure ? failure_lines : ordinary_lines;
    absl::MutexLock lock(&this->mutex);
    this->refill(now);
    double filled = this->tokens / this->options.burst_lines;
    bool admitted = filled >= limits.sample_below ||
                    (filled >= limits.drop_below && checksum64(request_id) % sampled_one_in == 0);
    if (!admitted) {
        ++this->dropped_lines;
        return false;
    }
    return this->spend();
}

std::uint64_t log_budget::take_unreported_drops(mono_time now) {
    {
        absl::MutexLock lock(&this->mutex);
        if (now - this->reported_at < report_interval) {
            return 0;
        }
    }
    return this->take_remaining_drops(now);
}

std::uint64_t log_budget::take_remaining_drops(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    std::uint64_t count = this->dropped_lines - this->reported_drops;
    this->reported_drops = this->dropped_lines;
    if (count > 0) {
        this->reported_at = now;
    }
    return count;
}

std::uint64_t log_budget::written() const {
    absl::MutexLock lock(&this->mutex);
    return this->written_lines;
}

std::uint64_t log_budget::dropped() const {
    absl::MutexLock lock(&this->mutex);
    return this->dropped_lines;
}

void log_budget::refill(mono_time now) {
    std::chrono::duration<double> passed = std::max(now - this->refilled_at, mono_duration(0));
    this->refilled_at = std::max(this->refilled_at, now);
    this->tokens = std::min(this->options.burst_lines,
                            this->tokens + passed.count() * this->options.lines_per_second);
}

bool log_budget::spend() {
    if (this->tokens < 1) {
        ++this->dropped_lines;
        return false;
    }
    this->tokens -= 1;
    ++this->written_lines;
    return true;
}

}  // namespace trefoil
