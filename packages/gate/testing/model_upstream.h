// A model of an upstream for tests and the policy benchmark. Its capacity of concurrent calls grows
// from 1 to its slots after a start; calls above the capacity fail.
//
// Example:
//
//     gate::model_upstream upstream({.slots = 12});
//     upstream.restart(now);
//     gate::model_response response = upstream.begin(now, random);
//     upstream.end();  // At now + response.latency.

#ifndef TREFOIL_GATE_TESTING_MODEL_UPSTREAM_H_
#define TREFOIL_GATE_TESTING_MODEL_UPSTREAM_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "base/random.h"
#include "base/time.h"
#include "gate/gate_types.h"
#include "gate/start_limit.h"

namespace trefoil::gate {

struct model_upstream_options {
    std::uint32_t slots = 12;
    std::chrono::milliseconds warm_up{10'000};  // For linear growth from capacity 1 to `slots`.
    std::chrono::milliseconds service_time{
        20};                                    // Median when warm; times are half to double of it.
    double cold_factor = 2.0;                   // Multiple of the service time at capacity 1.
    std::chrono::milliseconds failure_time{5};  // After which a call above capacity fails.
};

struct model_response {
    call_result_kind kind = call_result_kind::good;
    mono_duration latency{};
};

class model_upstream {
public:
    explicit model_upstream(model_upstream_options initial) : options(initial) {}

    // Becomes cold. Running calls continue.
    void restart(mono_time now) { this->started = now; }

    std::uint32_t capacity(mono_time now) const {
        return 1 + static_cast<std::uint32_t>(this->warmth(now) * (this->options.slots - 1));
    }

    model_response begin(mono_time now, random_source& random) {
        ++this->running;
        if (this->running > this->capacity(now)) {
            ++this->above_capacity;
            return {call_result_kind::failed, this->options.failure_time};
        }
        double cold = 1.0 + (this->options.cold_factor - 1.0) * (1.0 - this->warmth(now));
        double spread = std::exp2(2.0 * random.uniform() - 1.0);
        std::chrono::duration<double> service = this->options.service_time;
        return {call_result_kind::good,
                std::chrono::duration_cast<mono_duration>(service * (cold * spread))};
    }

    void end() { --this->running; }

    std::uint64_t calls_above_capacity() const { return this->above_capacity; }

private:
    // 0 just after a start, 1 when warm.
    double warmth(mono_time now) const {
        std::chrono::duration<double> age = now - this->started;
        std::chrono::duration<double> warm_up = this->options.warm_up;
        return std::clamp(age / warm_up, 0.0, 1.0);
    }

    model_upstream_options options;
    mono_time started{};  // Initially the epoch of the clock, so that the upstream is warm.
    std::uint32_t running = 0;
    std::uint64_t above_capacity = 0;
};

// A limit that never changes, as the baseline of the measurements.
class fixed_limit final : public start_limit {
public:
    explicit fixed_limit(std::uint32_t initial) : slots(initial) {}
    std::uint32_t limit() const override { return this->slots; }
    bool may_start(std::size_t running, mono_time /*now*/) const override {
        return running < this->slots;
    }
    mono_time paused_until() const override { return mono_time::min(); }
    void on_result(call_result_kind /*kind*/, mono_duration /*latency*/, std::size_t /*running*/,
                   mono_time /*now*/) override {}
    void set_slots(std::uint32_t next) override { this->slots = next; }

private:
    std::uint32_t slots;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_TESTING_MODEL_UPSTREAM_H_
