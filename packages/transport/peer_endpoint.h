// Authenticated connections between daemons with heartbeats. A connection counts as open once both
// sides have proved that they know the fleet secret. A connection on which nothing arrives is
// reported as silent and dropped after the times that connection_liveness.h tells, because a path
// that lost its state delivers nothing and reports no error.
//
// Example:
//
//     transport::peer_endpoint endpoint({.self = hello, .fleet_secret = secret}, events, clock);
//     endpoint.start("127.0.0.1", 7001);
//     auto id = endpoint.connect("127.0.0.1:7002");

#ifndef TREFOIL_TRANSPORT_PEER_ENDPOINT_H_
#define TREFOIL_TRANSPORT_PEER_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/sharded_map.h"
#include "base/stall_detector.h"
#include "base/time.h"
#include "io/event_loop.h"
#include "messages/messages.h"
#include "transport/connection_liveness.h"
#include "transport/frame_socket.h"

namespace trefoil::transport {

// Receives authenticated traffic, on the loop. Implementations must not block.
class peer_events {
public:
    virtual ~peer_events() = default;
    virtual void on_open(connection_id id, const messages::hello& peer, bool outgoing) = 0;
    // Delivers every message except hello, proof and ping. The answer that a ping carries is
    // delivered as a pong, with `received` less the time that the peer held it back.
    virtual void on_message(connection_id id, const messages::hello& peer,
                            messages::peer_message message, mono_time received) = 0;
    // Nothing arrives any more; on_resumed or on_close follows. The connection stays open for what
    // the peer sends late.
    virtual void on_silent(connection_id id, const messages::hello& peer) = 0;
    // Something arrives again on a silent connection; delivered before it.
    virtual void on_resumed(connection_id id, const messages::hello& peer) = 0;
    // `peer` is null when the connection never opened. `settled_by_peer`: the peer has sent all
    // that it had to send, and acts on nothing to which it has not responded.
    virtual void on_close(connection_id id, const messages::hello* peer, bool settled_by_peer) = 0;
};

struct peer_endpoint_options {
    messages::hello self;
    std::string fleet_secret;
    connection_liveness_options liveness;
    // Null: the endpoint has a loop of its own.
    io::event_loop* loop = nullptr;
};

// The listen address cannot be used.
struct listen_failure {
    std::string address;
    std::string detail;

    friend bool operator==(const listen_failure&, const listen_failure&) = default;
};

struct started {
    friend bool operator==(const started&, const started&) = default;
};

// Traffic since the start, for metrics.
struct traffic_totals {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t control_bytes_sent = 0;      // All messages but call, call_result and cancel.
    std::uint64_t control_bytes_received = 0;  // Likewise.
    std::uint64_t rejected_connections = 0;    // Closed because of a wrong proof or a bad frame.

    friend bool operator==(const traffic_totals&, const traffic_totals&) = default;
};

// Splits "ip:port". Returns nothing when the text has another form.
std::optional<std::pair<std::string, std::uint16_t>> split_address(const std::string& address);

// All members are safe for concurrent use.
class peer_endpoint final : private frame_events {
public:
    peer_endpoint(peer_endpoint_options options, peer_events& events, const time_source& clock);
    ~peer_endpoint() override;
    peer_endpoint(const peer_endpoint&) = delete;
    peer_endpoint& operator=(const peer_endpoint&) = delete;

    result<started, listen_failure> start(const std::string& ip, std::uint16_t port);
    // Ends the endpoint's own loop; no event follows. A shared loop must be stopped by its owner.
    void stop();

    // Opens a connection to "ip:port"; on_open or on_close follows.
    connection_id connect(const std::string& address);

    // Returns false when the connection is not open; the message has then not left the process.
    bool send(connection_id id, const messages::peer_message& message);

    // Drops the connection at once; the peer cannot tell this from a failure.
    void drop(connection_id id);

    // Closes the connection after what was sent on it, unless `still_wanted`, which is asked on the
    // loop, returns false. With `settled` the peer is told that no message without a response was
    // or will be acted on; nothing is delivered here any more.
    void close_gracefully(connection_id id, bool settled, std::function<bool()> still_wanted);

    // Asks the peer for an answer at once, which brings an estimate of its clock.
    void probe(connection_id id);

    // When the last frame arrived, also a heartbeat; nothing for a closed connection.
    std::optional<mono_time> last_received(connection_id id) const;

    traffic_totals totals() const;

private:
    struct session;

    void on_connected(connection_id id, bool outgoing) override;
    void on_frame(connection_id id, std::string frame) override;
    void on_disconnected(connection_id id, bool settled_by_peer) override;

    void on_hello(connection_id id, session& peer, const messages::hello& hello);
    void on_ping(connection_id id, session& peer, const messages::ping& ping, mono_time received);
    void on_proof(connection_id id, session& peer, const messages::proof& proof);
    void reject(connection_id id, const char* cause);
    void transmit(connection_id id, const messages::peer_message& message);
    void count_received(const messages::peer_message& message, std::size_t bytes);
    void check_connections(mono_time now);
    void note_silence(connection_id id, session& peer);
    void act(connection_id id, session& peer, const liveness_verdict& verdict, mono_time now);

    const peer_endpoint_options options;
    peer_events& events;
    const time_source& clock;
    sharded_map<connection_id, std::shared_ptr<session>> sessions;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> control_bytes_sent{0};
    std::atomic<std::uint64_t> control_bytes_received{0};
    std::atomic<std::uint64_t> rejected_connections{0};
    std::unique_ptr<io::event_loop> own_loop;
    io::event_loop& loop;
    io::loop_timer watcher;
    stall_detector stalls;  // Used on the loop only.
    frame_socket socket;
};

}  // namespace trefoil::transport

#endif  // TREFOIL_TRANSPORT_PEER_ENDPOINT_H_
