// Implements the detection of stalls.

#include "base/stall_guard.h"

namespace trefoil {

bool stall_guard::awake(mono_time now) {
    if (this->last_tick.has_value() && now - *this->last_tick > this->options.longest_gap) {
        this->settled_at = now + this->options.settle_time;
    }
    this->last_tick = now;
    return now >= this->settled_at;
}

}  // namespace trefoil
