// Detects stalls of this process (suspended, frozen or without processor time) and excludes them
// from the time for which a peer counts as silent. During a stall, messages from peers stay unread
// and no requests are sent to them, so their silence says nothing about their health.
//
// Example:
//
//     trefoil::stall_detector stalls;
//     stalls.tick(clock.now());  // On every timer tick.
//     if (stalls.silence(last_heard, clock.now()) > silence_limit) { ... }

#ifndef TREFOIL_BASE_STALL_DETECTOR_H_
#define TREFOIL_BASE_STALL_DETECTOR_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace trefoil {

struct stall_detector_options {
    // A longer time between two ticks counts as a stall. Ticks come at least every 100 ms.
    std::chrono::milliseconds max_tick_gap{400};
};

// Not safe for concurrent use.
class stall_detector {
public:
    explicit stall_detector(stall_detector_options initial = {}) : options(initial) {}

    // Must be called on every timer tick, before silence().
    void tick(mono_time now);

    // Returns the time since `last_heard` or since the end of the latest stall, whichever is
    // shorter.
    mono_duration silence(mono_time last_heard, mono_time now) const;

private:
    stall_detector_options options;
    std::optional<mono_time> last_tick;
    std::optional<mono_time> running_since;  // End of the latest stall; nullopt before the first.
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_STALL_DETECTOR_H_
