// State that the parts of the daemon share: each value has one writer, and any thread reads the
// latest one. No part calls another for this data.
//
// A configuration is confirmed while the daemon knows it to be the newest one, from a read of the
// platform or from peers. A reader is a daemon that watches the platform on behalf of its peers.
//
// Example:
//
//     std::shared_ptr<const config::snapshot> current = shared.snapshot.read();

#ifndef TREFOIL_DAEMON_SHARED_STATE_H_
#define TREFOIL_DAEMON_SHARED_STATE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/published_value.h"
#include "base/time.h"
#include "config/active_configuration.h"
#include "config/snapshot.h"
#include "daemon/settings.h"
#include "membership/view.h"
#include "routing/candidate_list.h"

namespace trefoil::daemon {

// How long a configuration counts as confirmed after it was last known to be the newest. A
// withdrawn key must stop working within 5 s, and a change takes up to 1 s to arrive.
inline constexpr std::chrono::milliseconds confirmation_limit{4000};

// State of the configuration documents. Published on every input and every tick of the control
// loop.
struct control_state {
    bool ready = false;
    bool reader = false;
    std::string waiting_for;  // What start-up still requires; empty when ready.
    // When the snapshot in force was last known to be the newest.
    std::optional<mono_time> confirmed_at;
    std::vector<config::document_status> versions;
    std::uint64_t list_revision = 0;  // Of the instance list in force; 0 before the first one.
    std::optional<config::rejected_pair> rejected;
    std::uint64_t platform_reads = 0;
    std::uint64_t stale_answers = 0;
    std::uint64_t checksum_conflicts = 0;  // Revisions seen with two different bodies.
    std::uint64_t documents_received = 0;
    std::uint64_t documents_sent = 0;

    bool confirmed(mono_time now) const {
        return this->confirmed_at.has_value() && now - *this->confirmed_at <= confirmation_limit;
    }
};

enum class lifecycle : std::uint8_t {
    running,
    draining,  // After SIGTERM: callers are told to disconnect, peers prefer other upstreams.
};

struct shared_state {
    published_value<daemon::settings> settings;           // Written by the main thread; never null.
    published_value<config::snapshot> snapshot;           // Written by the control loop.
    published_value<membership::view> members;            // Written by the control loop.
    published_value<routing::candidate_list> candidates;  // Written by the control loop.
    published_value<control_state> control;               // Written by the control loop.
    std::atomic<lifecycle> phase{lifecycle::running};     // Written by the main thread.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SHARED_STATE_H_
