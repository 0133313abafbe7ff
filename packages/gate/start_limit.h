// Interface of the limits on the concurrency and the start rate of calls at one upstream.
//
// Example:
//
//     std::unique_ptr<gate::start_limit> limit =
//         std::make_unique<gate::concurrency_limit>(gate::concurrency_limit_options{.slots = 12});
//     bool free = limit->may_start(running, now);

#ifndef TREFOIL_GATE_START_LIMIT_H_
#define TREFOIL_GATE_START_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gate/gate_types.h"

namespace trefoil::gate {

// Period in which an upstream is cold, for example after its start: until `until`, it can take only
// `rate` starts of calls per second.
struct cold_period {
    mono_time until = mono_time::min();
    double rate = 0;

    friend bool operator==(const cold_period&, const cold_period&) = default;
};

// How long an upstream is cold after its start, and the starts of calls per second that it can take
// then. No effect with a rate of 0.
struct restart_period {
    std::chrono::milliseconds duration{0};
    double rate = 0;

    friend bool operator==(const restart_period&, const restart_period&) = default;
};

// Implementations are not synchronised; the owner holds a lock.
class start_limit {
public:
    virtual ~start_limit() = default;

    // Concurrent calls allowed now; at least 1.
    virtual std::uint32_t limit() const = 0;

    // Whether another call may start while `running` calls run.
    virtual bool may_start(std::size_t running, mono_time now) const = 0;

    // A call that may_start() allowed starts now.
    virtual void on_start(mono_time /*now*/) {}

    // No call starts before this time, even if slots are free.
    virtual mono_time paused_until() const = 0;

    // Maximum starts per second at the moment; nothing when only the concurrency is limited.
    virtual std::optional<double> max_start_rate(mono_time /*now*/) const { return std::nullopt; }

    // Reports the end of a call. `running` includes the call that ended.
    virtual void on_result(call_result_kind kind, mono_duration latency, std::size_t running,
                           mono_time now) = 0;

    // The platform reports that the upstream is cold. Limits that detect this themselves ignore it.
    virtual void set_cold(const cold_period& /*period*/, mono_time /*now*/) {}

    // What an upstream that refused connections may go through, because it may have started anew
    // before the platform reports it. Limits that detect this themselves ignore it.
    virtual void set_restart_period(const restart_period& /*period*/) {}

    // Changes the upper bound of the concurrency, for example after a change of configuration.
    virtual void set_slots(std::uint32_t slots) = 0;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_START_LIMIT_H_
