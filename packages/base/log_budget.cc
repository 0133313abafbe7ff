// Implements the budget of log lines as a token bucket with a floor for each kind of line.

#include "base/log_budget.h"

#include <algorithm>

#include "base/hash.h"

namespace trefoil {

namespace {

// Parts of the burst at which lines of a kind thin out, and at which they stop.
struct thinning {
    double below;
    double stop;
};

constexpr thinning ordinary_lines{.below = 0.75, .stop = 0.5};
constexpr thinning failure_lines{.below = 0.5, .stop = 0.1};
// Requests that keep their lines while lines thin out: one of this many.
constexpr std::uint64_t one_in = 8;

}  // namespace

void log_budget::start(const log_budget_options& given, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->options = given;
    this->tokens = given.burst_lines;
    this->counted_at = now;
}

bool log_budget::take(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->refill(now);
    return this->spend();
}

bool log_budget::take_of_request(log_priority priority, std::string_view request_id,
                                 mono_time now) {
    const thinning& rule = priority == log_priority::failure ? failure_lines : ordinary_lines;
    absl::MutexLock lock(&this->mutex);
    this->refill(now);
    double filled = this->tokens / this->options.burst_lines;
    bool chosen =
        filled >= rule.below || (filled >= rule.stop && checksum64(request_id) % one_in == 0);
    if (!chosen) {
        ++this->missing;
        return false;
    }
    return this->spend();
}

std::uint64_t log_budget::take_unreported(mono_time now) {
    {
        absl::MutexLock lock(&this->mutex);
        if (now - this->reported_at < report_interval) {
            return 0;
        }
    }
    return this->take_last_unreported(now);
}

std::uint64_t log_budget::take_last_unreported(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    std::uint64_t count = this->missing - this->reported;
    this->reported = this->missing;
    if (count > 0) {
        this->reported_at = now;
    }
    return count;
}

std::uint64_t log_budget::written() const {
    absl::MutexLock lock(&this->mutex);
    return this->spent;
}

std::uint64_t log_budget::refused() const {
    absl::MutexLock lock(&this->mutex);
    return this->missing;
}

void log_budget::refill(mono_time now) {
    std::chrono::duration<double> passed = std::max(now - this->counted_at, mono_duration(0));
    this->counted_at = std::max(this->counted_at, now);
    this->tokens = std::min(this->options.burst_lines,
                            this->tokens + passed.count() * this->options.lines_per_second);
}

bool log_budget::spend() {
    if (this->tokens < 1) {
        ++this->missing;
        return false;
    }
    this->tokens -= 1;
    ++this->spent;
    return true;
}

}  // namespace trefoil
