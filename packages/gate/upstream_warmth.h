// Decides whether calls may start at an upstream at its full rate, or only at the rate of a cold
// one. An upstream counts as cold until the platform has described it: it may just have started.
//
// Example:
//
//     gate::upstream_warmth warmth(gate::upstream_warmth::unknown);
//     warmth.set_restart_period({.duration = std::chrono::seconds(3), .rate = 11});
//     std::optional<double> rate = warmth.max_start_rate(now);              // 11
//     warmth.on_report({.until = now + std::chrono::seconds(2), .rate = 11});
//     rate = warmth.max_start_rate(now + std::chrono::seconds(2));          // None.
//
// Only the daemon beside an upstream starts calls there, so its rate is that of the whole fleet.

#ifndef TREFOIL_GATE_UPSTREAM_WARMTH_H_
#define TREFOIL_GATE_UPSTREAM_WARMTH_H_

#include <optional>

#include "base/time.h"
#include "gate/start_limit.h"

namespace trefoil::gate {

// Not synchronised; the owner holds a lock.
class upstream_warmth {
public:
    enum class initial_state : bool { unknown, warm };
    using enum initial_state;

    explicit upstream_warmth(initial_state initial) : described(initial == warm) {}

    // The rate of a cold upstream while it is not described, and what an upstream that refused
    // connections may go through. With a rate of 0 neither has an effect.
    void set_restart_period(const restart_period& period) { this->restart = period; }

    // The platform describes the upstream: it is cold until the end of the period, and warm if that
    // is over. Replaces the previous report, but not what refused connections let expect.
    void on_report(const cold_period& period);

    // The upstream refused a connection, so it may start anew at any time from now on.
    void on_connection_refused(mono_time now);

    // Whether the platform has described the upstream.
    bool known() const { return this->described; }

    // Maximum starts of calls per second; nothing if the upstream is warm.
    std::optional<double> max_start_rate(mono_time now) const;

    // When the upstream is warm unless something else is reported; mono_time::max() if unknown.
    mono_time warm_at() const;

private:
    bool limits_unknown() const { return !this->described && this->restart.rate > 0; }

    bool described;  // Never reset.
    cold_period reported;
    cold_period expected;  // Since the last refused connection.
    restart_period restart;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_UPSTREAM_WARMTH_H_
