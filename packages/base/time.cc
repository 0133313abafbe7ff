// Implements the time sources and the conversion of time points from and to microseconds.

#include "base/time.h"

#include <ctime>

namespace trefoil {

mono_time machine_time_source::now() const {
    timespec read{};
    // Cannot fail: the arguments are valid and every supported kernel has CLOCK_BOOTTIME.
    clock_gettime(CLOCK_BOOTTIME, &read);
    return mono_time(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

mono_time manual_time_source::now() const {
    return mono_time(mono_duration(this->ticks.load()));
}

void manual_time_source::advance(mono_duration step) {
    this->ticks.fetch_add(step.count());
}

std::int64_t to_microseconds(mono_time time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

mono_time from_microseconds(std::int64_t microseconds) {
    return mono_time(std::chrono::microseconds(microseconds));
}

}  // namespace trefoil
