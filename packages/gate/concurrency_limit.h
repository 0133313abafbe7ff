// Adaptive limit of concurrent calls at one upstream. It starts at 1, grows with good responses and
// shrinks on signs of overload (additive increase, multiplicative decrease).
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
    // Fastest doubling of the limit.
    std::chrono::milliseconds doubling_time{1000};
    // Shortest time from 1 to `slots`. Doubling alone reaches 12 slots in 3.6 s and overtakes an
    // upstream whose capacity grows linearly during its start.
    std::chrono::milliseconds shortest_warm_up{10'000};
    // Shortest time between two reductions by half, so that the calls that were already running
    // count as one sign of overload.
    std::chrono::milliseconds reduction_interval{100};
    // This many bad results in a row of calls that started after the last reduction set the limit
    // to 1. An upstream that fails quickly would otherwise receive hundreds of calls between two
    // reductions.
    std::uint32_t bad_streak = 2;
    // Share of application errors that is tolerated. A workspace whose requests always fail would
    // otherwise reduce the limit for all workspaces.
    double tolerated_error_share = 0.1;
    // Pause between attempts while the limit is 1 and results are bad; doubles up to the longest.
    std::chrono::milliseconds shortest_pause{10};
    std::chrono::milliseconds longest_pause{500};
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
    upstream_use use_of(std::size_t running) const;
    void on_good(mono_time started, std::size_t running, mono_time now);
    bool after_reduction(mono_time started) const;
    void on_bad(mono_time started, mono_time now);
    mono_time next_growth() const;
    void grow(mono_time now);
    void reduce_to(std::uint32_t next, mono_time now);
    void pause(mono_time now);
    bool tolerate_error();

    concurrency_limit_options options;
    std::uint32_t current = 1;         // In [1, slots].
    std::uint32_t good_responses = 0;  // At full use since the last change of the limit.
    std::uint32_t bad_results = 0;     // In a row, of calls started after the last reduction.
    double error_allowance = 0;        // Application errors that may still be tolerated.
    // When the limit reached 1, 2, ... since the last reduction; the last entry belongs to the
    // current limit. Empty until the first good response at full use.
    std::vector<mono_time> reached_at;
    std::optional<mono_time> reduced_at;  // Time of the last reduction.
    mono_time pause_end = mono_time::min();
    mono_duration pause_length{0};  // Of the latest pause; 0 after a good response.
    latency_baseline latencies;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_CONCURRENCY_LIMIT_H_
