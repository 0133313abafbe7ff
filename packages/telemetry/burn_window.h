// Good and bad calls of the last hour in buckets of 10 s.
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

// Not safe for concurrent use. Takes about 4 KB.
class burn_window {
public:
    static constexpr std::chrono::seconds bucket_length{10};
    static constexpr std::chrono::seconds longest_window{3600};

    // Calls that are older than the longest window are ignored.
    void record(mono_time now, bool good);

    // Calls of the last `window`, which is a multiple of the bucket's length and at most
    // `longest_window`. The current, incomplete bucket counts as one of them.
    call_totals sum(mono_time now, std::chrono::seconds window) const;

    // Whether the longest window that ends at `now` is empty.
    bool idle(mono_time now) const;

private:
    struct bucket {
        std::uint32_t number =
            0;  // Time divided by the bucket's length; tells which hour it is of.
        std::uint32_t good = 0;
        std::uint32_t bad = 0;
    };

    static std::uint32_t number_of(mono_time time);

    std::array<bucket, longest_window / bucket_length> buckets = {};
    std::uint32_t newest = 0;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_BURN_WINDOW_H_
