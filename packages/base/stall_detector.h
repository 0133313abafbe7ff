// Tells how long a peer has been silent while this process ran. While it stood still (suspended,
// frozen or without processor), what peers sent lay unread, and nobody asked them anything.
//
// Example:
//
//     trefoil::stall_detector guard;
//     guard.tick(clock.now());  // At every tick.
//     if (guard.silence(last_heard, clock.now()) > silence_limit) { ... }

#ifndef TREFOIL_BASE_STALL_DETECTOR_H_
#define TREFOIL_BASE_STALL_DETECTOR_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace trefoil {

struct stall_detector_options {
    // Longest time between two ticks that counts as running. Ticks come every 100 ms or faster.
    std::chrono::milliseconds max_tick_gap{400};
};

// Not synchronised.
class stall_detector {
public:
    explicit stall_detector(stall_detector_options initial = {}) : options(initial) {}

    // To be called before silence() at every tick.
    void tick(mono_time now);

    // The time since `last_heard` or since the end of the latest stall, whichever is shorter.
    mono_duration silence(mono_time last_heard, mono_time now) const;

private:
    stall_detector_options options;
    std::optional<mono_time> last_tick;
    std::optional<mono_time> running_since;  // End of the latest stall; nothing before the first.
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_STALL_DETECTOR_H_
