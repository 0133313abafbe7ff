// Decides whether this daemon follows a mirrored platform, that is, keeps its mirror up to date.
// Readers (reader_selection.h) always follow it. Another daemon follows it while it starts, and
// while no peer reports a recent confirmation by the platform, which means that the readers of its
// failure domain are unreachable or cannot reach the platform themselves, or while a document is
// announced that would take too long to receive from the readers. When the platform does not
// answer, attempts are spaced out, so that an outage does not cause continuous calls from the whole
// fleet.
//
// Example:
//
//     follow_policy policy(options, random, start);
//     bool follow = policy.update(now, {.ready = true, .peer_platform_confirmed_at = at});

#ifndef TREFOIL_DISSEMINATION_FOLLOW_POLICY_H_
#define TREFOIL_DISSEMINATION_FOLLOW_POLICY_H_

#include <cstddef>

#include "base/random.h"
#include "base/time.h"
#include "dissemination/core_options.h"

namespace trefoil::dissemination {

struct follow_inputs {
    bool reader = false;
    bool ready = false;  // The daemon has completed its start.
    // The newest platform confirmation reported by a peer; mono_time::min() for none.
    mono_time peer_platform_confirmed_at = mono_time::min();
    mono_time answered_at = mono_time::min();  // Last answer of the platform to this daemon.
    // A document has been announced that takes too long to receive from peers.
    bool large_document = false;
    std::size_t domain_size = 1;  // Listed daemons of this failure domain.

    friend bool operator==(const follow_inputs&, const follow_inputs&) = default;
};

class follow_policy {
public:
    follow_policy(const core_options& settings, random_source& source, mono_time start);

    // Returns whether to follow the platform. A daemon follows it from its start.
    bool update(mono_time now, const follow_inputs& inputs);

    bool following() const { return this->follows; }

private:
    mono_duration jitter(milliseconds limit);

    const core_options& options;
    random_source& random;
    bool follows = true;
    bool needed = true;        // Whether following was needed at the last update.
    mono_time followed_since;  // When the daemon started to follow.
    mono_time follow_at;       // While following is needed, the time at which it starts.
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_FOLLOW_POLICY_H_
