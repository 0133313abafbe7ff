// Authenticated connections between daemons, with heartbeats. A connection is open once both sides
// have proved that they know the fleet secret. A connection on which nothing arrives is reported as
// silent and later dropped (connection_liveness.h), because a broken network path delivers nothing
// and reports no error.
//
// Terms: a side is settled when it has sent the results of all calls that it ran, and has not
// processed and will not process any message that it has not answered. A side that closes a
// connection gracefully states whether it is settled, so that the peer knows whether a call without
// a result was not run.
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
#include "messages/body_part.h"
#include "messages/messages.h"
#include "transport/connection_liveness.h"
#include "transport/frame_socket.h"

namespace trefoil::transport {

// Receives authenticated traffic, on the loop. Implementations must not block.
class peer_events {
public:
    virtual ~peer_events() = default;
    virtual void on_open(connection_id id, const messages::hello& peer, bool outgoing) = 0;
    // Called for every message except hello, proof and ping. The answer in a heartbeat is delivered
    // as a pong. Its `received` is the time at which an immediate answer would have arrived.
    virtual void on_message(connection_id id, const messages::hello& peer,
                            messages::peer_message message, mono_time received) = 0;
    // The connection has become silent; on_resumed or on_close follows. It stays open, because the
    // peer may still send messages.
    virtual void on_silent(connection_id id, const messages::hello& peer) = 0;
    // A frame has arrived on a silent connection. Called before the frame's message is delivered.
    virtual void on_resumed(connection_id id, const messages::hello& peer) = 0;
    // A message that carries a part of a large body, or the call that follows it.
    virtual void on_body_message(connection_id, const messages::hello&, messages::body_message,
                                 mono_time) {}
    // `peer` is null if the connection was never open. `settled_by_peer`: the peer closed the
    // connection and stated that it is settled.
    virtual void on_close(connection_id id, const messages::hello* peer, bool settled_by_peer) = 0;
};

struct peer_endpoint_options {
    messages::hello self;  // Sent on each connection, with a new nonce.
    std::string fleet_secret;
    connection_liveness_options liveness;
    // Null: the endpoint creates its own loop. Otherwise the owner of the loop must stop it before
    // the endpoint is destroyed.
    io::event_loop* loop = nullptr;
};

// The endpoint cannot listen on the address.
struct listen_failure {
    std::string address;
    std::string detail;  // The system's error text.

    friend bool operator==(const listen_failure&, const listen_failure&) = default;
};

struct started {
    friend bool operator==(const started&, const started&) = default;
};

// Traffic since the start of the process, for metrics. Handshake messages are included.
struct traffic_totals {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    // Control messages are all messages except call, call_result and cancel.
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t control_bytes_received = 0;
    // Connections that were dropped because of an unacceptable handshake or an undecodable frame.
    std::uint64_t rejected_connections = 0;

    friend bool operator==(const traffic_totals&, const traffic_totals&) = default;
};

// Splits "ip:port". Returns nothing if the text does not have this form or the port is 0.
std::optional<std::pair<std::string, std::uint16_t>> split_address(const std::string& address);

// All members are safe for concurrent use.
class peer_endpoint final : private frame_events {
public:
    peer_endpoint(peer_endpoint_options options, peer_events& events, const time_source& clock);
    ~peer_endpoint() override;
    peer_endpoint(const peer_endpoint&) = delete;
    peer_endpoint& operator=(const peer_endpoint&) = delete;

    result<started, listen_failure> start(const std::string& ip, std::uint16_t port);
    // Stops the endpoint's own loop; no event follows. A loop that was passed in the options must
    // be stopped by its owner.
    void stop();

    // Opens a connection to "ip:port"; on_open or on_close follows.
    connection_id connect(const std::string& address);

    // Returns false if the connection is not open or too many bytes are unsent. The message was not
    // sent in this case.
    bool send(connection_id id, const messages::peer_message& message);

    // Whether the connection is open and its peer accepts messages that carry bodies.
    bool accepts_bodies(connection_id id) const;
    // Like send().
    bool send_body_message(connection_id id, const messages::body_message& message);

    // Closes the connection immediately. The peer cannot distinguish this from a failure.
    void drop(connection_id id);

    // Closes the connection after the messages that were sent on it, unless `still_wanted`, which
    // is called on the loop, returns false. `settled` is stated to the peer. No message that
    // arrives after the call of `still_wanted` is delivered.
    void close_gracefully(connection_id id, bool settled, std::function<bool()> still_wanted);

    // Sends a ping that the peer answers immediately. The pong is delivered by on_message and gives
    // an estimate of the peer's clock.
    void probe(connection_id id);

    // Arrival time of the last frame, including heartbeats; nothing if the connection is closed.
    std::optional<mono_time> last_received(connection_id id) const;

    traffic_totals totals() const;

private:
    struct session;

    void on_connected(connection_id id, bool outgoing) override;
    void on_frame(connection_id id, std::string frame) override;
    void on_disconnected(connection_id id, bool settled_by_peer) override;

    void on_hello(connection_id id, session& peer, const messages::hello& hello);
    void on_body_frame(connection_id id, session& peer, const std::string& frame,
                       mono_time received);
    void report_heard(connection_id id, session& peer);
    void on_ping(connection_id id, session& peer, const messages::ping& ping, mono_time received);
    void on_proof(connection_id id, session& peer, const messages::proof& proof);
    void reject(connection_id id, const char* cause);
    void send_handshake(connection_id id, const messages::peer_message& message);
    void count_received(const messages::peer_message& message, std::size_t bytes);
    void check_connections(mono_time now);
    void report_silence(connection_id id, session& peer);
    void apply_verdict(connection_id id, session& peer, const liveness_verdict& verdict,
                       mono_time now);

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
    io::loop_timer check_timer;
    stall_detector stalls;  // Used only on the loop.
    frame_socket socket;
};

}  // namespace trefoil::transport

#endif  // TREFOIL_TRANSPORT_PEER_ENDPOINT_H_
