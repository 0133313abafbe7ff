// Adaptive concurrency limit for one upstream, by additive increase and multiplicative decrease: it
// starts at 1, grows while responses are good and is halved on signs of overload.
//
// A bad result is one that counts as a sign of overload: a response that sheds load, a failure,
// more application errors than are tolerated, or a jump of the latency above its baseline. Full use
// means that as many calls run as the limit allows.
//
// Example:
//
//     gate::concurrency_limit limit({.slots = 12});
//     if (limit.may_start(running, now)) { ... }
//     limit.on_result(gate::call_result_kind::good, latency, running, now);

#ifndef TREFOIL_GATE_CONCURRENCY_LIMIT_H_
#define TREFOIL_GATE_CONCURRENCY_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "gate/gate_types.h"
#include "gate/latency_baseline.h"
#include "gate/start_limit.h"

namespace trefoil::gate {

struct concurrency_limit_options {
    std::uint32_t slots = 1;  // Upper bound of the limit.
    // Shortest time in which the limit may double.
    std::chrono::milliseconds doubling_time{1000};
    // Shortest time in which the limit may grow from 1 to `slots`. Doubling alone reaches 12 slots
    // in 3.6 s and overtakes an upstream whose capacity grows linearly while it warms up.
    std::chrono::milliseconds min_warm_up{10'000};
    // Shortest time between two halvings of the limit, so that bad results of calls that were
    // running at the same time count as one sign of overload.
    std::chrono::milliseconds reduction_interval{100};
    // Number of consecutive bad results, of calls that started after the last reduction, that sets
    // the limit to 1. An upstream that fails quickly would otherwise receive hundreds of calls
    // between two halvings.
    std::uint32_t bad_streak = 2;
    // Share of results that may be application errors without counting as bad. A workspace whose
    // requests always fail would otherwise reduce the limit for all workspaces.
    double tolerated_error_share = 0.1;
    // Exponential backoff between starts while the limit is 1 and results are bad.
    std::chrono::milliseconds min_pause{10};
    std::chrono::milliseconds max_pause{500};
    latency_baseline_options baseline = {};
};

// Not synchronised; the owner holds a lock.
class concurrency_limit final : public start_limit {
public:
    explicit concurrency_limit(concurrency_limit_options initial);

    std::uint32_t limit() const override { return this->current; }
    bool may_start(std::size_t running, mono_time now) const override;
    mono_time paused_until() const override { return this->pause_end; }
    void on_result(call_result_kind kind, mono_duration latency, std::size_t running,
                   mono_time now) override;
    void set_slots(std::uint32_t slots) override;

    std::optional<mono_duration> baseline() const { return this->latencies.value(); }

private:
    upstream_use classify_use(std::size_t running) const;
    void on_good(mono_time started, std::size_t running, mono_time now);
    bool after_reduction(mono_time started) const;
    void on_bad(mono_time started, mono_time now);
    mono_time next_growth_time() const;
    void grow(mono_time now);
    void reduce_to(std::uint32_t next, mono_time now);
    void pause(mono_time now);
    bool tolerate_error();

    concurrency_limit_options options;
    std::uint32_t current = 1;         // In [1, slots].
    std::uint32_t good_responses = 0;  // Since the last change of the limit, at full use of it.
    std::uint32_t bad_results = 0;     // Consecutive, of calls started after the last reduction.
    double error_allowance = 0;        // Application errors that may still be tolerated.
    // When the limit reached 1, 2, ... since the last reduction; the last entry belongs to the
    // current limit. Empty until the first good response at full use.
    std::vector<mono_time> reached_at;
    std::optional<mono_time> reduced_at;  // Time of the last reduction.
    mono_time pause_end = mono_time::min();
    mono_duration pause_length{0};  // Length of the latest pause; 0 after a good response.
    latency_baseline latencies;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_CONCURRENCY_LIMIT_H_
