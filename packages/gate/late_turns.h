// How often late calls start beside calls in time, which go first.
//
// Example:
//
//     late_turns turns;
//     turns.waiting(now);
//     turns.started();
//     std::optional<double> rate = turns.rate(now, patience);

#ifndef TREFOIL_GATE_LATE_TURNS_H_
#define TREFOIL_GATE_LATE_TURNS_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace trefoil::gate {

// Not synchronised; the owner holds a lock.
class late_turns {
public:
    // A count over this time says something about a call however long it can wait: some ten service
    // times of usual upstreams.
    static constexpr std::chrono::milliseconds longest_count{1000};
    // Twice as long, so that after the older half is forgotten the rest still says something.
    static constexpr std::chrono::milliseconds window = 2 * longest_count;

    // A late call waits. Begins a new count when there was room before.
    void waiting(mono_time now) {
        if (!this->since.has_value()) {
            this->since = now;
            this->starts = 0;
        }
    }
    // A late call would start at once. That none waits does not show this, because those that did
    // may have expired.
    void room() { this->since.reset(); }
    void started() { ++this->starts; }

    // Starts a second; nothing when the count began less than `shortest` ago.
    std::optional<double> rate(mono_time now, mono_duration shortest) const;

    // Forgets older starts little by little.
    void age(mono_time now);

private:
    std::optional<mono_time> since;  // There was no room from here on.
    double starts = 0;               // From then on.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_LATE_TURNS_H_
