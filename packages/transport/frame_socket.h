// Binary frames over websockets, without any knowledge of what they carry. This header shows no
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

// Identifies a connection within the process; never used twice.
using connection_id = std::uint64_t;

// Receives what happens on connections, on the loop.
class frame_events {
public:
    virtual ~frame_events() = default;
    virtual void on_connected(connection_id id, bool outgoing) = 0;
    virtual void on_frame(connection_id id, std::string frame) = 0;
    // Also follows a connect() that failed. `settled_by_peer`: see close_gracefully().
    virtual void on_disconnected(connection_id id, bool settled_by_peer) = 0;
};

struct frame_socket_options {
    std::string ip;
    std::uint16_t port = 0;
};

// Accepts and opens websocket connections. All members are safe for concurrent use. The loop must
// be stopped before destruction.
class frame_socket {
public:
    frame_socket(frame_events& events, io::event_loop& loop);
    ~frame_socket();
    frame_socket(const frame_socket&) = delete;
    frame_socket& operator=(const frame_socket&) = delete;

    // Starts to listen. Returns an empty text, or why the address cannot be used.
    std::string start(const frame_socket_options& options);

    // Opens a connection; on_connected or on_disconnected follows.
    connection_id connect(const std::string& ip, std::uint16_t port);

    // Queues a frame. Returns false when the connection is not open or holds too many unsent bytes.
    bool send(connection_id id, const std::string& frame);

    // Allows frames of full size. Before this call a connection accepts only small frames, so that
    // an unauthenticated sender cannot make the process hold much memory.
    void allow_large_frames(connection_id id);

    // Closes the connection after the frames that are queued. With `settled` the other side learns
    // that no frame which it has sent and which has no answer yet was or will be acted on: its
    // on_disconnected says "finished by peer". From this call on, no frame is delivered here. To be
    // called on the loop, so that no frame is delivered between the decision and the close.
    void close_gracefully(connection_id id, bool settled);

    // Drops the connection at once, without a closing handshake, which a silent peer never answers.
    void drop(connection_id id);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

}  // namespace trefoil::transport

#endif  // TREFOIL_TRANSPORT_FRAME_SOCKET_H_
