// Estimates, from answered pings, at which time of the local clock a peer sent a message. The
// remaining time of a call counts from that estimate, so that time in socket buffers is included.
//
// Example:
//
//     routing::clock_offset clock;
//     clock.on_pong(pong, now);
//     auto sent = clock.earliest_send(call.sent_us, now);
//     if (const mono_time* time = std::get_if<mono_time>(&sent)) { deadline = *time + budget; }

#ifndef TREFOIL_ROUTING_CLOCK_OFFSET_H_
#define TREFOIL_ROUTING_CLOCK_OFFSET_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <variant>

#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::routing {

// No ping was answered within the last 10 s, so the offset of the peer's clock is unknown.
struct no_clock_estimate {
    friend bool operator==(const no_clock_estimate&, const no_clock_estimate&) = default;
};

// One per connection, because the offset is valid for one incarnation of the peer only. Safe for
// concurrent use. The method is that of section 7 of the design page: the pong with the shortest
// round trip gives the tightest bound (as the clock filter of D. Mills, RFC 5905).
class clock_offset {
public:
    // `pong.echo_us` must be the local time at which the ping was sent. A pong whose ping would be
    // in the future is ignored.
    void on_pong(const messages::pong& pong, mono_time now);

    // The earliest local time at which the peer can have sent a message with the timestamp
    // `sent_us` of its own clock; never later than `now`. The true time is later by at most the
    // shortest round trip plus the drift of both clocks over 10 s.
    std::variant<mono_time, no_clock_estimate> earliest_send(std::int64_t sent_us,
                                                             mono_time now) const;

private:
    struct sample {
        mono_time ping_sent;
        mono_time pong_received;
        std::int64_t peer_clock_us = 0;  // Read at ping_sent or later.
        mono_duration round_trip() const { return this->pong_received - this->ping_sent; }
    };

    mutable std::mutex mutex;
    // Guarded by mutex. In order of arrival and of increasing round trip: a sample is dropped when
    // a newer one has a round trip that is not longer, so the first valid sample has the shortest.
    std::deque<sample> samples;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_CLOCK_OFFSET_H_
