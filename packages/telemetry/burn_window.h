// Counts good and bad calls of the last hour in a ring of buckets of 10 s.
//
// Example:
//
//     telemetry::burn_window window;
//     window.record(now, true);
//     telemetry::call_totals last = window.sum(now, std::chrono::minutes(5));

#ifndef TREFOIL_TELEMETRY_BURN_WINDOW_H_
#define TREFOIL_TELEMETRY_BURN_WINDOW_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace trefoil::telemetry {

struct call_totals {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    friend bool operator==(const call_totals&, const call_totals&) = default;
};

// Not safe for concurrent use. An object takes about 4 KB.
class burn_window {
public:
    static constexpr std::chrono::seconds bucket_length{10};
    static constexpr std::chrono::seconds max_window{3600};

    // Counts a call at `now`. Ignores a call that is older than `max_window` and whose bucket is
    // already in use for later calls.
    void record(mono_time now, bool good);

    // Returns the calls of the last `window`, which must be a multiple of `bucket_length` and at
    // most `max_window`. The current, incomplete bucket counts as a whole one.
    call_totals sum(mono_time now, std::chrono::seconds window) const;

    // Whether there were no calls in the `max_window` before `now`.
    bool idle(mono_time now) const;

private:
    struct bucket {
        // Time divided by bucket_length, plus 1; tells apart the hours that share a bucket. 0 means
        // unused.
        std::uint32_t number = 0;
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
    };

    // Returns the number of the bucket that holds `time`.
    static std::uint32_t bucket_number(mono_time time);

    std::array<bucket, max_window / bucket_length> buckets = {};
    std::uint32_t newest_number = 0;  // Highest bucket number with a call; 0 before the first call.
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_BURN_WINDOW_H_
