// Implements the retry budget with one counter per second.

#include "routing/retry_budget.h"

namespace trefoil::routing {

retry_budget::second_count& retry_budget::count_of(mono_time now) {
    std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto index = static_cast<std::size_t>(second) % this->seconds.size();
    second_count& current = this->seconds[index];
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

bool retry_budget::take(mono_time now) {
    absl::MutexLock lock(&this->mutex);
    second_count& current = this->count_of(now);
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    auto oldest = current.second - static_cast<std::int64_t>(this->seconds.size());
    for (const second_count& each : this->seconds) {
        if (each.second > oldest) {
            calls += each.calls;
            retries += each.retries;
        }
    }
    bool within_share = static_cast<double>(retries + 1) <=
                        this->options.share * static_cast<double>(calls) + this->options.slack;
    if (!within_share && current.retries >= this->options.minimum_per_second) {
        return false;
    }
    ++current.retries;
    return true;
}

}  // namespace trefoil::routing
