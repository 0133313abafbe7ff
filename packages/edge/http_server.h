// HTTP server towards callers and operators, on Boost.Beast. A request may wait for its response as
// long as it likes; its caller's leaving is noticed meanwhile.
//
// Example:
//
//     edge::http_server server({.ip = "127.0.0.1", .port = 8001}, handler);
//     auto outcome = server.start();

#ifndef TREFOIL_EDGE_HTTP_SERVER_H_
#define TREFOIL_EDGE_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "edge/http_types.h"
#include "io/event_loop.h"

namespace trefoil::edge {

// Answers one request. Safe to use from any thread; the first response counts, later ones are
// dropped.
class responder {
public:
    virtual ~responder() = default;
    virtual void respond(http_response response) = 0;

    // `action` runs once, on the server's loop, when the caller leaves before the response. It does
    // not run after the response. To be called at most once.
    virtual void on_caller_gone(std::function<void()> action) = 0;
};

// Receives whole requests on the server's loop; must not block.
class request_handler {
public:
    virtual ~request_handler() = default;
    virtual void handle(http_request request, std::shared_ptr<responder> responder) = 0;
    // Builds the response to a request that is refused before handle(): 413 for a body and 431 for
    // headers above their limits, 408 for headers that take too long, 400 for a request that cannot
    // be read, and 503 for one that waits when the server ends.
    virtual http_response refuse(unsigned status) = 0;
    // Builds the response to a whole request that comes while the server ends. It has not run.
    virtual http_response refuse_during_shutdown();
};

// What callers may send. May change while the server runs.
struct server_limits {
    std::size_t header_bytes = max_header_bytes;
    std::size_t body_bytes = max_body_bytes;
    std::chrono::milliseconds header_timeout{75'000};
    std::chrono::milliseconds idle_timeout{75'000};

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

struct http_server_options {
    std::string ip;
    std::uint16_t port = 0;
    server_limits limits = {};
    // At this number the connection that has been idle for longest gives way to a new one, unless a
    // request has arrived on it.
    std::size_t max_connections = 4096;
    // After stop_accepting(), how long a caller may neither send nor take a byte before its request
    // is refused or the rest of its response is given up. Longer than a lost segment takes to be
    // sent again a few times.
    std::chrono::milliseconds stall_limit{5000};
    // Null: the server has a loop of its own.
    io::event_loop* loop = nullptr;
};

// The address cannot be used.
struct http_listen_failure {
    std::string address;

    friend bool operator==(const http_listen_failure&, const http_listen_failure&) = default;
};

struct http_started {
    friend bool operator==(const http_started&, const http_started&) = default;
};

// The members are safe for concurrent use, but must not be called on the loop.
class http_server {
public:
    http_server(http_server_options options, request_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    result<http_started, http_listen_failure> start();

    void set_limits(const server_limits& limits);

    // Asks callers to leave: every response from now on closes its connection.
    void disable_keep_alive();

    // Takes the connections that wait to be accepted, and no more. From now on a connection is
    // closed once it has been unused for settle_time and no byte has arrived on it.
    void stop_accepting();
    // Long enough for a request that was on its way, or behind the one that opened the connection.
    static constexpr std::chrono::milliseconds settle_time{500};

    // Requests of which a byte has arrived and that have not been answered in full.
    std::size_t pending_requests() const;
    std::size_t open_connections() const;

    // Closes all connections. Requests that wait, those that arrived unread and those that have
    // arrived in part are answered with 503 first.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_HTTP_SERVER_H_
