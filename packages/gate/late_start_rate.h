// Measures how often late calls start while calls that can still meet their objective go first.
//
// A late call is one that would miss its latency objective. The rate is measured while a backlog
// lasts, that is while a late call that is offered would have to wait.
//
// Example:
//
//     late_start_rate rate;
//     rate.on_late_queued(now);
//     rate.on_late_start();
//     std::optional<double> starts = rate.per_second(now, longest_possible_wait);

#ifndef TREFOIL_GATE_LATE_START_RATE_H_
#define TREFOIL_GATE_LATE_START_RATE_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace trefoil::gate {

// Not synchronised; the owner holds a lock.
class late_start_rate {
public:
    // The longest observation that a caller of per_second() needs to ask for, about ten service
    // times of usual upstreams. A rate over this time is meaningful for a call however long the
    // call can wait.
    static constexpr std::chrono::milliseconds max_observation{1000};
    // Twice as long, so that an observation of max_observation is left after decay() dropped the
    // older half.
    static constexpr std::chrono::milliseconds window = 2 * max_observation;

    // A late call was queued. Starts an observation unless one is in progress.
    void on_late_queued(mono_time now) {
        if (!this->since.has_value()) {
            this->since = now;
            this->starts = 0;
        }
    }
    // Ends the observation: a late call would start at once now. An empty late queue alone is no
    // reason to call this, because the late calls in it may have expired.
    void end_observation() { this->since.reset(); }
    void on_late_start() { ++this->starts; }

    // Late starts per second; nothing when the observation began less than `shortest` ago.
    std::optional<double> per_second(mono_time now, mono_duration shortest) const;

    // Keeps the observation within `window` by halving its length and its count.
    void decay(mono_time now);

private:
    std::optional<mono_time> since;  // Start of the observation; nothing while there is none.
    double starts = 0;               // Late starts since then.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_LATE_START_RATE_H_
