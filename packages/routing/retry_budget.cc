// Implements the retry budget with a balance of saved retries and one counter per second.

#include "routing/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace trefoil::routing {

namespace {

// Tolerance for rounding errors of sums of shares such as 0.2.
constexpr double rounding = 1e-6;

std::int64_t second_of(mono_time now) {
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

std::string_view to_string(retry_allowance allowance) {
    switch (allowance) {
        case retry_allowance::share:
            return "share";
        case retry_allowance::slack:
            return "slack";
        case retry_allowance::minimum:
            return "minimum";
        case retry_allowance::none:
            break;
    }
    return "none";
}

std::size_t retry_budget::ring_index(std::int64_t second) {
    return static_cast<std::size_t>(second) % ring_size;
}

retry_budget::second_count& retry_budget::counter_of(mono_time now) {
    std::int64_t second = second_of(now);
    second_count& current = this->seconds[ring_index(second)];
    if (current.second != second) {
        current = {.second = second};
    }
    return current;
}

// At least one retry; with less, none would ever be allowed.
double retry_budget::capacity() const {
    return std::max(
        {1.0, this->options.slack, static_cast<double>(this->options.minimum_per_second)});
}

// The balance, or the slack that was not used in the last ten seconds if that is more. In both
// cases the retries of any ten seconds are at most the capacity plus what is earned in that time.
double retry_budget::saved_at(mono_time now) const {
    double retries = 0;
    for (const second_count& each : this->seconds) {
        retries += each.second >= second_of(now) - window_seconds ? each.retries : 0;
    }
    return std::max(this->saved, this->options.slack - retries);
}

void retry_budget::update_balance(mono_time now) {
    this->saved = std::min(this->capacity(), this->saved_at(now));
}

void retry_budget::set_slack(double slack, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->update_balance(now);
    this->options.slack = slack;
}

void retry_budget::count_call(mono_time now, double retry_probability) {
    absl::MutexLock lock(&this->mutex);
    this->update_balance(now);
    double original = 1 - retry_probability;
    second_count& current = this->counter_of(now);
    current.calls += original;
    current.retries += retry_probability;
    this->total.nested += retry_probability;
    double earned = std::min(this->capacity(), this->saved + this->options.share * original);
    this->saved = earned - retry_probability;
    if (this->saved < 0) {
        // Bounds the debt to what calls of the last ten seconds can have caused.
        double max_debt = this->options.share * this->window_at(now).calls + this->options.slack;
        this->saved = std::max(this->saved, -std::max(1.0, max_debt));
    }
}

void retry_budget::refund(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->update_balance(now);
    this->saved = std::min(this->capacity(), this->saved + 1);
    second_count& current = this->counter_of(now);
    current.retries = std::max(0.0, current.retries - 1);
}

// The state for the ten seconds that end now, without `left`.
retry_window retry_budget::window_at(mono_time now) const {
    retry_window recent;
    std::int64_t second = second_of(now);
    auto oldest = second - window_seconds;
    for (const second_count& each : this->seconds) {
        if (each.second > oldest && each.second <= second) {
            recent.calls += each.calls;
            recent.retries += each.retries;
        }
    }
    recent.saved = std::min(this->capacity(), this->saved_at(now));
    recent.capacity = this->capacity();
    recent.covered = this->options.share * this->options.sustained_fraction * recent.calls +
                     this->options.slack - recent.retries;
    return recent;
}

// The balance, bounded by the share and the slack that the last ten seconds leave.
double retry_budget::allowed_at(mono_time now) const {
    retry_window recent = this->window_at(now);
    return std::min(recent.saved, recent.covered) + rounding;
}

retry_allowance retry_budget::allowance_at(mono_time now) const {
    if (this->allowed_at(now) >= 1) {
        retry_window recent = this->window_at(now);
        bool of_share = this->options.share * recent.calls - recent.retries >= 1;
        return of_share ? retry_allowance::share : retry_allowance::slack;
    }
    const second_count& current = this->seconds[ring_index(second_of(now))];
    bool any_left =
        current.second != second_of(now) || current.taken < this->options.minimum_per_second;
    return any_left && this->options.minimum_per_second > 0 ? retry_allowance::minimum
                                                            : retry_allowance::none;
}

retry_allowance retry_budget::take(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->update_balance(now);
    retry_allowance allowance = this->allowance_at(now);
    this->count(allowance);
    if (allowance != retry_allowance::none) {
        second_count& current = this->counter_of(now);
        current.retries += 1;
        ++current.taken;
        // Retries of the minimum per second are charged to the balance as well, down to the
        // negative minimum, so that they use up the share while calls arrive.
        double min_balance = -static_cast<double>(this->options.minimum_per_second);
        this->saved = std::max(std::min(min_balance, this->saved), this->saved - 1);
    }
    return allowance;
}

void retry_budget::count(retry_allowance allowance) {
    switch (allowance) {
        case retry_allowance::none:
            ++this->total.refused;
            break;
        case retry_allowance::share:
            ++this->total.share;
            break;
        case retry_allowance::slack:
            ++this->total.slack;
            break;
        case retry_allowance::minimum:
            ++this->total.minimum;
            break;
    }
}

double retry_budget::left(mono_time now) const {
    absl::MutexLock lock(&this->mutex);
    return this->left_at(now);
}

retry_window retry_budget::window(mono_time now) const {
    absl::MutexLock lock(&this->mutex);
    retry_window recent = this->window_at(now);
    recent.left = this->left_at(now);
    return recent;
}

retry_totals retry_budget::totals() const {
    absl::MutexLock lock(&this->mutex);
    return this->total;
}

double retry_budget::left_at(mono_time now) const {
    const second_count& current = this->seconds[ring_index(second_of(now))];
    std::uint32_t used = current.second == second_of(now) ? current.taken : 0;
    double of_minimum =
        this->options.minimum_per_second - std::min(used, this->options.minimum_per_second);
    return std::max({std::floor(this->allowed_at(now)), of_minimum, 0.0});
}

}  // namespace trefoil::routing
