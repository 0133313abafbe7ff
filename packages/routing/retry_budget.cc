// Implements the retry budget with one counter per second.

#include "routing/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace trefoil::routing {

namespace {

std::int64_t second_of(mono_time now) {
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

std::size_t retry_budget::index_of(std::int64_t second) {
    return static_cast<std::size_t>(second) % ring_size;
}

retry_budget::second_count& retry_budget::count_of(mono_time now) {
    std::int64_t second = second_of(now);
    second_count& current = this->seconds[index_of(second)];
    if (current.second != second) {
        current = {.second = second};
    }
    return current;
}

void retry_budget::set_slack(double slack) {
    absl::MutexLock lock(&this->mutex);
    this->options.slack = slack;
}

void retry_budget::count_call(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    ++this->count_of(now).calls;
}

// What the share and the slack leave of the ten seconds that end with `second`; negative when the
// minimum was used beyond them.
double retry_budget::left_of_share(std::int64_t second) const {
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    auto oldest = second - static_cast<std::int64_t>(this->seconds.size());
    for (const second_count& each : this->seconds) {
        if (each.second > oldest && each.second <= second) {
            calls += each.calls;
            retries += each.retries;
        }
    }
    return this->options.share * static_cast<double>(calls) + this->options.slack -
           static_cast<double>(retries);
}

bool retry_budget::take(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    second_count& current = this->count_of(now);
    bool within_share = this->left_of_share(current.second) >= 1;
    if (!within_share && current.retries >= this->options.minimum_per_second) {
        return false;
    }
    ++current.retries;
    return true;
}

double retry_budget::left(mono_time now) const {
    absl::MutexLock lock(&this->mutex);
    std::int64_t second = second_of(now);
    const second_count& current = this->seconds[index_of(second)];
    std::uint32_t used = current.second == second ? static_cast<std::uint32_t>(current.retries) : 0;
    double of_minimum =
        this->options.minimum_per_second - std::min(used, this->options.minimum_per_second);
    return std::max({std::floor(this->left_of_share(second)), of_minimum, 0.0});
}

}  // namespace trefoil::routing
