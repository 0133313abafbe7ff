// A histogram of durations with fixed buckets.
//
// Example:
//
//     telemetry::histogram& latency =
//         registry.get_or_create_histogram("trefoil_call_microseconds", {});
//     latency.observe(std::chrono::microseconds(820));

#ifndef TREFOIL_TELEMETRY_HISTOGRAM_H_
#define TREFOIL_TELEMETRY_HISTOGRAM_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace trefoil::telemetry {

// Inclusive upper bounds of the buckets, in microseconds. One more bucket without bound follows.
inline constexpr std::array<std::int64_t, 17> bucket_bounds_us = {
    50,    100,   250,    500,    1000,   1400,    2500,    5000,    10000,
    25000, 50000, 100000, 250000, 500000, 1000000, 2500000, 10000000};

struct histogram_values {
    // Per bucket, not cumulative.
    std::array<std::uint64_t, bucket_bounds_us.size() + 1> counts = {};
    std::int64_t sum_us = 0;

    friend bool operator==(const histogram_values&, const histogram_values&) = default;
};

// Safe for concurrent use. Values read during concurrent updates may include only part of them.
class alignas(64) histogram {
public:
    // Negative durations count as 0.
    void observe(std::chrono::microseconds duration);
    histogram_values values() const;

private:
    std::array<std::atomic<std::uint64_t>, bucket_bounds_us.size() + 1> counts = {};
    std::atomic<std::int64_t> sum_us = 0;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_HISTOGRAM_H_
