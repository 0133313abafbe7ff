// Time sources. Decision code takes the current time as an argument; only the code around it reads
// a clock.
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

// A point on the machine's monotonic clock. Each machine's clock has its own epoch, so readings of
// two machines cannot be compared directly (see routing/clock_offset.h), and no reading is a
// wall-clock time.
using mono_time = std::chrono::steady_clock::time_point;
using mono_duration = std::chrono::steady_clock::duration;

// Returns the current time. Implementations are safe for concurrent use.
class time_source {
public:
    virtual ~time_source() = default;
    virtual mono_time now() const = 0;
};

// Reads CLOCK_BOOTTIME, a monotonic clock that also advances while the machine is suspended.
// CLOCK_MONOTONIC does not, so a loan of tokens or a deadline would be extended by the length of
// each suspension.
class machine_time_source final : public time_source {
public:
    mono_time now() const override;
};

// A clock for tests that advances only when told to.
class manual_time_source final : public time_source {
public:
    mono_time now() const override;
    void advance(mono_duration step);

private:
    std::atomic<mono_duration::rep> ticks{0};
};

// Convert a time point from and to microseconds since the epoch of the monotonic clock, the form in
// which peers exchange clock readings.
std::int64_t to_microseconds(mono_time time);
mono_time from_microseconds(std::int64_t microseconds);

}  // namespace trefoil

#endif  // TREFOIL_BASE_TIME_H_
