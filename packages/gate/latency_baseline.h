// Estimates the latency of an upstream without load and detects jumps: latencies that are a
// multiple of this baseline. The baseline follows slow changes of the upstream, but does not rise
// under load.
//
// Example:
//
//     gate::latency_baseline baseline({});
//     bool jumped = baseline.observe(latency, gate::upstream_use::full, now);

#ifndef TREFOIL_GATE_LATENCY_BASELINE_H_
#define TREFOIL_GATE_LATENCY_BASELINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace trefoil::gate {

// How much of its concurrency limit the upstream used while a response was produced.
enum class upstream_use : std::uint8_t {
    single,   // Only this call ran, so the latency is that without load.
    partial,  // At most half of the limit was in use.
    full,     // More than half of the limit was in use, so the latency may be due to load.
};

struct latency_baseline_options {
    // Responses per window. The low percentile is the second smallest latency, so that a single
    // unusually quick response (a cache hit, a rejected argument) does not determine it.
    std::size_t window_responses = 8;
    // A window whose low percentile exceeds this multiple of the baseline is a jump.
    double jump_factor = 3.0;
    // Shortest time in which the baseline may double while the upstream is partly used.
    std::chrono::seconds doubling_time{60};
    // Maximum growth factor per window while only one call runs at a time. Without this growth, the
    // limit would stay at 1 after the upstream became permanently slower.
    double single_growth = 1.25;
};

// Not synchronised; the owner holds a lock.
class latency_baseline {
public:
    explicit latency_baseline(latency_baseline_options initial) : options(initial) {}

    // Adds a response and returns whether it completed a window that is a jump.
    bool observe(mono_duration latency, upstream_use use, mono_time now);

    // Adds a call that ended without a response after `elapsed`, a lower bound of its latency.
    // Calls that ended before a jump would show are ignored.
    bool observe_unfinished(mono_duration elapsed, upstream_use use, mono_time now);

    // The baseline; nothing before the first complete window.
    std::optional<mono_duration> value() const { return this->baseline; }

    // Drops the incomplete window. To be called when the concurrency limit changes.
    void restart_window() { this->window.clear(); }

private:
    bool complete_window(mono_time now);
    void raise(mono_duration low, mono_time now);

    latency_baseline_options options;
    std::vector<mono_duration> window;               // At most window_responses entries.
    upstream_use window_use = upstream_use::single;  // The highest use in the window.
    std::optional<mono_duration> baseline;
    mono_time changed_at;  // When the baseline was last compared with a window.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_LATENCY_BASELINE_H_
