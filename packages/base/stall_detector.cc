// Implements the stall detector.

#include "base/stall_detector.h"

#include <algorithm>

namespace trefoil {

void stall_detector::tick(mono_time now) {
    if (this->last_tick.has_value() && now - *this->last_tick > this->options.max_tick_gap) {
        this->running_since = now;
    }
    this->last_tick = now;
}

mono_duration stall_detector::silence(mono_time last_heard, mono_time now) const {
    return now - std::max(last_heard, this->running_since.value_or(last_heard));
}

}  // namespace trefoil
