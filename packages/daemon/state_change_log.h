// Logs changes of the state that the daemon acts on: the states of the listed instances, its own
// upstream, the confirmation of its configuration (daemon/shared_state.h) and its readiness.
//
// Example:
//
//     daemon::log_member_changes(*before, *after, clock.now());
//     daemon::state_change_log changes;
//     changes.update_ready(control.ready, control.waiting_for);  // Logs when `ready` changes.

#ifndef TREFOIL_DAEMON_STATE_CHANGE_LOG_H_
#define TREFOIL_DAEMON_STATE_CHANGE_LOG_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "daemon/shared_state.h"
#include "gate/upstream_gate.h"
#include "membership/view.h"

namespace trefoil::daemon {

// A listed instance whose state differs between two membership views.
struct member_change {
    std::string instance;
    std::string service;
    std::string_view from;  // "absent" when the first view does not list it.
    std::string_view to;    // "absent" when the second view does not list it.
    std::optional<mono_time> last_contact;

    friend bool operator==(const member_change&, const member_change&) = default;
};

std::vector<member_change> member_changes(const membership::view& before,
                                          const membership::view& after);

// Logs one line per change, or a single line with the count when there are more than
// `max_member_lines` changes.
void log_member_changes(const membership::view& before, const membership::view& after,
                        mono_time now);
inline constexpr std::size_t max_member_lines = 32;

// The state of the daemon's own upstream, as configuration and instance list give it.
struct upstream_status {
    std::string id;  // Empty when the instance list does not contain this instance.
    gate::upstream_availability availability = gate::upstream_availability::available;
    std::uint32_t slots = 0;
    std::uint32_t cold_left_ms = 0;  // Remaining cold start at the time the list was written.

    friend bool operator==(const upstream_status&, const upstream_status&) = default;
};

// The calls at the daemon's own upstream.
struct upstream_calls {
    std::uint64_t started = 0;  // Since the daemon's start.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

// Logs a line when an update differs from the previous one. Used by one thread.
class state_change_log {
public:
    // `before` is the state before the update was applied. It is logged with a change, but is no
    // change itself.
    void update_upstream(const upstream_status& status, const upstream_calls& before);
    // `age` is the time since the configuration was last confirmed, empty if it never was.
    void update_confirmation(bool confirmed, const std::optional<mono_duration>& age);
    void update_ready(bool ready, const std::string& waiting_for);

private:
    upstream_status upstream;
    bool upstream_known = false;  // False until the first update_upstream().
    bool confirmed = false;
    bool confirmed_before = false;
    bool ready = false;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_STATE_CHANGE_LOG_H_
