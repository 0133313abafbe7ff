// The rule for an upstream whose platform states how many requests it takes at once and whether it
// is cold: all slots from the beginning, but only a bounded rate of starts while it is cold.
//
// Example:
//
//     gate::slot_limit limit({.slots = 12});
//     limit.set_cold({.until = now + std::chrono::seconds(3), .rate = 31});
//     if (limit.may_start(running, now)) { limit.on_start(now); ... }

#ifndef TREFOIL_GATE_SLOT_LIMIT_H_
#define TREFOIL_GATE_SLOT_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "gate/start_limit.h"

namespace trefoil::gate {

struct slot_limit_options {
    std::uint32_t slots = 1;
    // Pause after a refused connection or a rejected request; doubles up to the longest while
    // nothing succeeds.
    std::chrono::milliseconds shortest_pause{20};
    std::chrono::milliseconds longest_pause{500};
    // Starts that a cold upstream may get at once, as a time at the cold rate. A larger share would
    // let two groups of starts fall into one second.
    std::chrono::milliseconds cold_burst{100};
};

// Not synchronised; the owner holds a lock.
class slot_limit final : public start_limit {
public:
    explicit slot_limit(slot_limit_options initial);

    std::uint32_t limit() const override { return this->options.slots; }
    bool may_start(std::size_t running, mono_time now) const override;
    void on_start(mono_time now) override;
    mono_time paused_until() const override;
    std::optional<double> max_start_rate(mono_time now) const override;
    void on_result(call_result_kind kind, mono_duration latency, std::size_t running,
                   mono_time now) override;
    void set_slots(std::uint32_t slots) override;

    void set_cold(const cold_period& period, mono_time now) override;

private:
    double cold_capacity() const;
    double cold_tokens(mono_time now) const;
    void pause(mono_time now);

    slot_limit_options options;
    cold_period cold;
    double tokens = 0;  // Starts that the cold upstream may get, as of `counted_at`.
    mono_time counted_at = mono_time::min();
    mono_time pause_end = mono_time::min();
    mono_duration pause_length{0};  // Of the latest pause; 0 after a success.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_SLOT_LIMIT_H_
