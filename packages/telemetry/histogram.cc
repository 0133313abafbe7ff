// Implements the histogram.

#include "telemetry/histogram.h"

#include <algorithm>

namespace trefoil::telemetry {

void histogram::observe(std::chrono::microseconds duration) {
    std::int64_t us = std::max<std::int64_t>(0, duration.count());
    const auto* bound = std::lower_bound(bucket_bounds_us.begin(), bucket_bounds_us.end(), us);
    auto bucket = static_cast<std::size_t>(bound - bucket_bounds_us.begin());
    this->counts[bucket].fetch_add(1, std::memory_order_relaxed);
    this->sum_us.fetch_add(us, std::memory_order_relaxed);
}

histogram_values histogram::values() const {
    histogram_values copy;
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
        copy.counts[i] = this->counts[i].load(std::memory_order_relaxed);
    }
    copy.sum_us = this->sum_us.load(std::memory_order_relaxed);
    return copy;
}

}  // namespace trefoil::telemetry
