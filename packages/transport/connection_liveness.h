// Decides when a connection needs a heartbeat, when it counts as silent and when as lost. A
// connection without calls and without control traffic is pinged seldom: in a fleet nearly every
// daemon has a connection to nearly every other, and frequent heartbeats were most of the frames.
// The side that waits for a call's result asks for an answer at once when it hears nothing.
//
// Two seconds without a frame do not tell a slow peer from a lost path. A silent connection is left
// out of use, because a new one may work, but stays open until it counts as lost: a slow peer still
// sends results over it, and calls whose fate nobody could tell if it were closed meanwhile.
//
// Example:
//
//     transport::connection_liveness liveness({}, now);
//     liveness.sent(message, now);
//     liveness.received(message, now);
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
    // Between pings of a connection with control traffic, and between probes of a waiting side.
    std::chrono::milliseconds heartbeat_interval{500};
    // Between pings of any other connection. 0 keeps all at the heartbeat interval. The estimate of
    // the peer's clock lives for 10 s and an answer is up to one interval old when it arrives, so
    // two intervals must fit.
    std::chrono::milliseconds idle_interval{4000};
    std::chrono::milliseconds silence_limit{2000};
    // Longer than a planned stop takes (6 s on the users' sites), in which a slow daemon finishes
    // its calls, and than the patience with an idle connection.
    std::chrono::milliseconds loss_limit{10'000};
    // How long a side that waits for a result hears nothing before it asks. An ingress takes a peer
    // for silent after 750 ms, which leaves 350 ms for the answer.
    std::chrono::milliseconds probe_delay{300};

    friend bool operator==(const connection_liveness_options&,
                           const connection_liveness_options&) = default;
};

struct liveness_verdict {
    bool is_silent = false;    // Not to be used for new messages.
    bool is_lost = false;      // To be dropped; silent as well.
    bool needs_probe = false;  // A ping that the peer answers at once.
    bool needs_ping = false;

    friend bool operator==(const liveness_verdict&, const liveness_verdict&) = default;
};

// Safe for concurrent use.
class connection_liveness {
public:
    connection_liveness(const connection_liveness_options& options, mono_time now);

    void sent(const messages::peer_message& message, mono_time now);
    void received(const messages::peer_message& message, mono_time now);

    // `stalls` tells since when this process has run without a gap.
    liveness_verdict check(mono_time now, const stall_detector& stalls);

    // Notes a ping that is not a probe, and returns the interval that it is to state: the next one
    // follows within it. 0 when this side keeps to the heartbeat interval.
    std::chrono::milliseconds pinged(mono_time now);

    mono_time last_received() const;

private:
    // The calls in one direction that have no result yet, with the time at which they end anyway.
    struct open_calls {
        std::map<std::uint64_t, mono_time> expiries;  // By sequence.
        mono_time since;  // When the first of them came; meaningful while there are any.
    };

    void note(const messages::peer_message& message, open_calls& started, open_calls& ended,
              mono_time now);
    static void add(open_calls& calls, const messages::call& call, mono_time now);
    static void drop_expired(open_calls& calls, mono_time now);
    std::chrono::milliseconds interval(mono_time now) const;
    mono_duration patience(bool waits) const;
    bool asks(bool waits_long, mono_time now);

    const connection_liveness_options options;
    mutable std::mutex mutex;
    // The members below are guarded by mutex.
    open_calls calls_sent;
    open_calls calls_received;
    mono_time received_at;
    mono_time pinged_at;
    std::optional<mono_time> probed_at;
    std::optional<mono_time> control_at;         // Latest control message in either direction.
    std::chrono::milliseconds promised{0};       // Interval since the last ping; 0 before it.
    std::chrono::milliseconds peer_interval{0};  // As the peer's last ping states it; 0 if not.
};

}  // namespace trefoil::transport

#endif  // TREFOIL_TRANSPORT_CONNECTION_LIVENESS_H_
