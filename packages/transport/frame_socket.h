// Binary frames over WebSocket connections, independent of their content. This header uses no
// websocketpp type, because websocketpp must be compiled as C++17 and the project is C++20.
//
// Example:
//
//     transport::frame_socket socket(events, loop);
//     socket.start({.ip = "127.0.0.1", .port = 7001});
//     transport::connection_id id = socket.connect("127.0.0.1", 7002);

#ifndef TREFOIL_TRANSPORT_FRAME_SOCKET_H_
#define TREFOIL_TRANSPORT_FRAME_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "io/event_loop.h"

namespace trefoil::transport {

// Identifies a connection within the process; never reused.
using connection_id = std::uint64_t;

// Receives the events of all connections, on the loop. Implementations must not block.
class frame_events {
public:
    virtual ~frame_events() = default;
    virtual void on_connected(connection_id id, bool outgoing) = 0;
    virtual void on_frame(connection_id id, std::string frame) = 0;
    // The connection was closed, or connect() failed. `settled_by_peer`: see close_gracefully().
    virtual void on_disconnected(connection_id id, bool settled_by_peer) = 0;
};

struct frame_socket_options {
    std::string ip;
    std::uint16_t port = 0;
};

// Accepts and opens WebSocket connections. All members are safe for concurrent use. The loop must
// be stopped before destruction.
class frame_socket {
public:
    frame_socket(frame_events& events, io::event_loop& loop);
    ~frame_socket();
    frame_socket(const frame_socket&) = delete;
    frame_socket& operator=(const frame_socket&) = delete;

    // Starts to listen. Returns an empty string on success, the system's error text otherwise.
    std::string start(const frame_socket_options& options);

    // Opens a connection; on_connected or on_disconnected follows.
    connection_id connect(const std::string& ip, std::uint16_t port);

    // Queues a frame. Returns false, without queueing it, if the connection is not open or more
    // than 16 MiB are unsent.
    bool send(connection_id id, const std::string& frame);

    // Raises the maximum size of received frames from 4 KiB to 4 MiB. The lower limit keeps an
    // unauthenticated sender from making the process allocate much memory.
    void allow_large_frames(connection_id id);

    // Closes the connection after the queued frames have been sent. `settled` states to the peer,
    // as `settled_by_peer` of the peer's on_disconnected(), that none of the peer's frames without
    // an answer was or will be processed. No frame is delivered here after this call. Must be
    // called on the loop, so that no frame is delivered between the caller's decision and the
    // close.
    void close_gracefully(connection_id id, bool settled);

    // Closes the connection immediately, without a closing handshake, which a silent peer would not
    // answer.
    void drop(connection_id id);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

}  // namespace trefoil::transport

#endif  // TREFOIL_TRANSPORT_FRAME_SOCKET_H_
