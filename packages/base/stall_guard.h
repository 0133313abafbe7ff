// Tells whether this process itself stood still recently: suspended, frozen or without processor.
// What peers sent meanwhile lies unread, so their silence says nothing until it was read.
//
// Example:
//
//     trefoil::stall_guard guard;
//     if (guard.awake(clock.now())) {  // At every tick.
//         drop_silent_connections();
//     }

#ifndef TREFOIL_BASE_STALL_GUARD_H_
#define TREFOIL_BASE_STALL_GUARD_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace trefoil {

struct stall_guard_options {
    // Longest time between two ticks that counts as running. Ticks come every 100 ms or faster.
    std::chrono::milliseconds longest_gap{400};
    // Time to read what arrived during a stall.
    std::chrono::milliseconds settle_time{300};
};

// Not synchronised.
class stall_guard {
public:
    explicit stall_guard(stall_guard_options initial = {}) : options(initial) {}

    // To be called at every tick. Returns false after a stall, until the settle time has passed.
    bool awake(mono_time now);

private:
    stall_guard_options options;
    std::optional<mono_time> last_tick;
    mono_time settled_at = mono_time::min();  // Later than any stall seen.
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_STALL_GUARD_H_
