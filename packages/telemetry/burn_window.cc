// Implements the sliding window of good and bad calls.

#include "telemetry/burn_window.h"

#include <algorithm>

namespace trefoil::telemetry {

std::uint32_t burn_window::bucket_number(mono_time time) {
    // Numbers start at 1, because 0 marks an unused bucket.
    return static_cast<std::uint32_t>(time.time_since_epoch() / bucket_length) + 1;
}

void burn_window::record(mono_time now, bool good) {
    std::uint32_t number = bucket_number(now);
    bucket& current = this->buckets[number % this->buckets.size()];
    if (number < current.number) {
        return;
    }
    if (number > current.number) {
        current = {.number = number};
    }
    ++(good ? current.good : current.bad);
    this->newest_number = std::max(this->newest_number, number);
}

call_totals burn_window::sum(mono_time now, std::chrono::seconds window) const {
    std::uint32_t last = bucket_number(now);
    auto count = static_cast<std::uint32_t>(window / bucket_length);
    call_totals totals;
    for (const bucket& each : this->buckets) {
        if (each.number != 0 && each.number <= last && last - each.number < count) {
            totals.good += each.good;
            totals.bad += each.bad;
        }
    }
    return totals;
}

bool burn_window::idle(mono_time now) const {
    return bucket_number(now) >= this->newest_number + this->buckets.size();
}

}  // namespace trefoil::telemetry
