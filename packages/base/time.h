// Time sources. Decision code takes a time point as an argument; only adapters read a clock.
//
// Example:
//
//     trefoil::machine_time_source clock;
//     trefoil::mono_time deadline = clock.now() + std::chrono::milliseconds(250);

#ifndef TREFOIL_BASE_TIME_H_
#define TREFOIL_BASE_TIME_H_

#include <atomic>
#include <chrono>
#include <cstdint>

namespace trefoil {

// A point on the machine's monotonic clock. It is meaningful in one process only and never sent to
// a peer as a wall-clock time.
using mono_time = std::chrono::steady_clock::time_point;
using mono_duration = std::chrono::steady_clock::duration;

// Supplies the current time to adapters. Implementations are safe for concurrent use.
class time_source {
public:
    virtual ~time_source() = default;
    virtual mono_time now() const = 0;
};

// Reads the clock of the machine that never jumps and that counts the time of a suspension
// (CLOCK_BOOTTIME). With CLOCK_MONOTONIC, a loan or a deadline would outlive its term by the length
// of a suspension.
class machine_time_source final : public time_source {
public:
    mono_time now() const override;
};

// A clock that a test sets by hand.
class manual_time_source final : public time_source {
public:
    mono_time now() const override;
    void advance(mono_duration step);

private:
    std::atomic<mono_duration::rep> ticks{0};
};

// Microseconds since the epoch of the monotonic clock, the form in which peers exchange clock
// readings.
std::int64_t to_microseconds(mono_time time);
mono_time from_microseconds(std::int64_t microseconds);

}  // namespace trefoil

#endif  // TREFOIL_BASE_TIME_H_
