// Decides whether this daemon follows a mirrored platform. Readers do. Another daemon does while it
// starts and while no peer vouches for a young confirmation by the platform, which means that its
// readers are unreachable or have lost the platform. While the platform does not answer, it tries
// again seldom, so that a platform that is away is not asked by the whole fleet all the time.
//
// Example:
//
//     follow_policy rule(options, random, start);
//     if (rule.update(now, {.reader = false, .ready = true, .peer_platform_confirmed_at = at})) {
//     ... }

#ifndef TREFOIL_DISSEMINATION_FOLLOW_POLICY_H_
#define TREFOIL_DISSEMINATION_FOLLOW_POLICY_H_

#include <cstddef>

#include "base/random.h"
#include "base/time.h"
#include "dissemination/core_options.h"

namespace trefoil::dissemination {

struct follow_inputs {
    bool reader = false;
    bool ready = false;  // The daemon has started and holds a configuration.
    // The newest confirmation by the platform that a peer told of; mono_time::min() for none.
    mono_time peer_platform_confirmed_at = mono_time::min();
    mono_time answered_at = mono_time::min();  // When the platform last answered here.
    std::size_t domain_size = 1;               // Listed daemons of the own domain.

    friend bool operator==(const follow_inputs&, const follow_inputs&) = default;
};

class follow_policy {
public:
    follow_policy(const core_options& settings, random_source& source, mono_time start);

    // Returns whether to follow. A daemon follows from its start on.
    bool update(mono_time now, const follow_inputs& inputs);

    bool following() const { return this->follows; }

private:
    mono_duration jitter(milliseconds limit);

    const core_options& options;
    random_source& random;
    bool follows = true;
    bool needed = true;
    mono_time followed_since;  // When following began.
    mono_time follow_at;       // When following begins, while it is needed.
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_FOLLOW_POLICY_H_
