// Implements the window of good and bad calls.

#include "telemetry/burn_window.h"

#include <algorithm>

namespace trefoil::telemetry {

std::uint32_t burn_window::number_of(mono_time time) {
    // One is added, so that number 0 means an unused bucket.
    return static_cast<std::uint32_t>(time.time_since_epoch() / bucket_length) + 1;
}

void burn_window::record(mono_time now, bool good) {
    std::uint32_t number = number_of(now);
    bucket& current = this->buckets[number % this->buckets.size()];
    if (number < current.number) {
        return;
    }
    if (number > current.number) {
        current = {.number = number};
    }
    ++(good ? current.good : current.bad);
    this->newest = std::max(this->newest, number);
}

call_totals burn_window::sum(mono_time now, std::chrono::seconds window) const {
    std::uint32_t last = number_of(now);
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
    return number_of(now) >= this->newest + this->buckets.size();
}

}  // namespace trefoil::telemetry
