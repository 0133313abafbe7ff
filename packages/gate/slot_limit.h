// Start limit for an upstream whose platform reports its number of slots and whether it is cold.
// All slots may be used from the beginning; while the upstream is cold, or may be, a token bucket
// bounds the rate of starts.
//
// Example:
//
//     gate::slot_limit limit({.slots = 12});
//     limit.set_cold({.until = now + std::chrono::seconds(3), .rate = 31}, now);
//     if (limit.may_start(running, now)) { limit.on_start(now); ... }

#ifndef TREFOIL_GATE_SLOT_LIMIT_H_
#define TREFOIL_GATE_SLOT_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "gate/start_limit.h"
#include "gate/upstream_warmth.h"

namespace trefoil::gate {

struct slot_limit_options {
    std::uint32_t slots = 1;
    // Unknown: set_restart_period() states the rate of starts until the first set_cold().
    upstream_warmth::initial_state warmth = upstream_warmth::warm;
    // Exponential backoff after a refused connection or a shed request. A good response or an
    // application error ends it.
    std::chrono::milliseconds min_pause{20};
    std::chrono::milliseconds max_pause{500};
    // Burst size of the token bucket, as a time at the cold rate. A larger burst would let two
    // bursts fall into one second.
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

    // A period that is over reports a warm upstream.
    void set_cold(const cold_period& period, mono_time now) override;
    void set_restart_period(const restart_period& period) override {
        this->warmth.set_restart_period(period);
    }

private:
    double cold_capacity(double rate) const;
    double cold_tokens(double rate, mono_time now) const;
    void expect_restart(mono_time now);
    void begin_cold_unless(bool was_cold, mono_time now);
    void pause(mono_time now);

    slot_limit_options options;
    upstream_warmth warmth;
    // In the bucket at `refilled_at`; a start at a cold upstream takes one. The bucket contains one
    // token before the first start and when the upstream turns cold.
    double tokens = 1;
    mono_time refilled_at = mono_time::min();
    mono_time pause_end = mono_time::min();
    mono_duration pause_length{0};  // Of the latest pause; 0 after the backoff has ended.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_SLOT_LIMIT_H_
