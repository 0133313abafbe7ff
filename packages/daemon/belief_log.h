// The log lines about what the daemon believes: the state of instances, of its own upstream, of its
// configuration's confirmation and of its peers.
//
// Example:
//
//     for (const member_change& each : member_changes(*before, *after)) { ... }
//     daemon::log_member_changes(*before, *after, clock.now());

#ifndef TREFOIL_DAEMON_BELIEF_LOG_H_
#define TREFOIL_DAEMON_BELIEF_LOG_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "daemon/shared_state.h"
#include "gate/upstream_gate.h"
#include "membership/view.h"

namespace trefoil::daemon {

// A listed instance that appeared, disappeared or changed its state between two views.
struct member_change {
    std::string instance;
    std::string service;
    std::string_view from;  // "absent" when it was not listed.
    std::string_view to;    // "absent" when it is not listed any more.
    std::optional<mono_time> last_contact;

    friend bool operator==(const member_change&, const member_change&) = default;
};

std::vector<member_change> member_changes(const membership::view& before,
                                          const membership::view& after);

// Writes one line for each change, or one for all when there are more than `most_member_lines`.
void log_member_changes(const membership::view& before, const membership::view& after,
                        mono_time now);
inline constexpr std::size_t most_member_lines = 32;

// What the daemon knows of the upstream beside it.
struct upstream_belief {
    std::string id;  // Empty when the list does not name it.
    gate::upstream_availability availability = gate::upstream_availability::available;
    std::uint32_t slots = 0;
    std::uint32_t cold_left_ms = 0;  // When the list was written.

    friend bool operator==(const upstream_belief&, const upstream_belief&) = default;
};

// Writes a line whenever a belief differs from the last one that it was given. Used by one thread.
class belief_log {
public:
    void note_upstream(const upstream_belief& now);
    // `age` is the time since the configuration was last confirmed; nothing when it never was.
    void note_confirmation(bool confirmed, const std::optional<mono_duration>& age);
    void note_ready(bool ready, const std::string& waiting_for);

private:
    upstream_belief upstream;
    bool upstream_known = false;
    bool confirmed = false;
    bool confirmed_before = false;
    bool ready = false;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_BELIEF_LOG_H_
