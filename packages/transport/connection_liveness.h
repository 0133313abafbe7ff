// Decides when a side of a connection sends a heartbeat, and when it considers the connection
// silent or lost.
//
// Terms: a heartbeat is a ping (messages.h), sent at an interval that the ping announces. A probe
// is a ping that the peer answers immediately. A connection is silent when nothing has arrived on
// it for the silence limit, and lost when nothing has arrived for the loss limit. A call is pending
// until its result arrives, it is cancelled or its deadline passes.
//
// A connection is idle while it carries no control traffic, that is gossip or rate limit messages.
// Idle connections use a longer interval: nearly every daemon is connected to nearly every other,
// and short intervals made heartbeats most of the frames in a fleet. While calls are pending, a
// side on which nothing arrives sends probes.
//
// Two seconds without a frame do not distinguish a slow peer from a broken path. No new messages
// are sent on a silent connection, because a new connection may work. It stays open until it is
// lost, because a slow peer still sends results on it, and the outcome of those calls would be
// unknown if it were closed.
//
// Example:
//
//     transport::connection_liveness liveness({}, now);
//     liveness.on_sent(message, now);
//     liveness.on_received(message, now);
//     liveness_verdict verdict = liveness.check(now, stalls);
//     if (verdict.is_lost) { ... } else if (verdict.is_silent) { ... }
//     if (verdict.needs_probe) { ... }

#ifndef TREFOIL_TRANSPORT_CONNECTION_LIVENESS_H_
#define TREFOIL_TRANSPORT_CONNECTION_LIVENESS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

#include "base/stall_detector.h"
#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::transport {

struct connection_liveness_options {
    // Time between heartbeats on a connection with control traffic, and between probes.
    std::chrono::milliseconds heartbeat_interval{500};
    // Time between heartbeats on an idle connection; 0 selects the heartbeat interval for all. Two
    // intervals must fit into the 10 s for which an estimate of the peer's clock is valid, because
    // the answer to a ping can be one interval old when it arrives.
    std::chrono::milliseconds idle_interval{4000};
    std::chrono::milliseconds silence_limit{2000};
    // Longer than a graceful stop (6 s at the users' sites), during which a slow daemon completes
    // its calls, and longer than the silence limit of an idle connection (5.5 s by default).
    std::chrono::milliseconds loss_limit{10'000};
    // Time without a frame after which a side that waits for a result sends a probe. An ingress
    // considers the peer silent after 750 ms, which leaves 350 ms for the answer: a probe is sent
    // up to one check interval (100 ms) later.
    std::chrono::milliseconds probe_delay{300};

    friend bool operator==(const connection_liveness_options&,
                           const connection_liveness_options&) = default;
};

struct liveness_verdict {
    bool is_silent = false;  // The connection should not be used for new messages.
    bool is_lost = false;    // The connection should be dropped. Implies is_silent.
    bool needs_probe = false;
    bool needs_ping = false;  // A heartbeat is due.

    friend bool operator==(const liveness_verdict&, const liveness_verdict&) = default;
};

// Safe for concurrent use.
class connection_liveness {
public:
    connection_liveness(const connection_liveness_options& options, mono_time now);

    void on_sent(const messages::peer_message& message, mono_time now);
    void on_received(const messages::peer_message& message, mono_time now);

    // Returns what to do now. If the result has needs_probe, the probe is considered sent. `stalls`
    // excludes times at which this process did not run from the peer's silence.
    liveness_verdict check(mono_time now, const stall_detector& stalls);

    // Records a heartbeat and returns the interval to announce in it: the longest time until the
    // next one. 0 if no separate idle interval is configured.
    std::chrono::milliseconds record_ping(mono_time now);

    mono_time last_received() const;

private:
    // The pending calls in one direction.
    struct pending_calls {
        // By sequence: the time at which the call is removed even without a result.
        std::map<std::uint64_t, mono_time> expiries;
        mono_time since;  // Start of the period with pending calls; valid while there are any.
    };

    void record(const messages::peer_message& message, pending_calls& started, pending_calls& ended,
                mono_time now);
    static void add_call(pending_calls& calls, const messages::call& call, mono_time now);
    static void drop_expired(pending_calls& calls, mono_time now);
    std::chrono::milliseconds ping_interval(mono_time now) const;
    mono_duration effective_silence_limit(bool has_pending_calls) const;
    bool start_probe_if_due(bool probe_wanted, mono_time now);

    const connection_liveness_options options;
    mutable std::mutex mutex;
    // The members below are guarded by mutex.
    pending_calls calls_sent;
    pending_calls calls_received;
    mono_time received_at;
    mono_time pinged_at;
    std::optional<mono_time> probed_at;
    std::optional<mono_time> control_at;     // Latest control message in either direction.
    std::chrono::milliseconds announced{0};  // Interval of the last heartbeat; 0 before the first.
    std::chrono::milliseconds peer_interval{0};  // Announced by the peer's heartbeat; 0 if none.
};

}  // namespace trefoil::transport

#endif  // TREFOIL_TRANSPORT_CONNECTION_LIVENESS_H_
