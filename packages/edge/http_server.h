// HTTP server for callers and operators, built on Boost.Beast. Requests are handled asynchronously:
// a response may be sent at any later time, and the handler is told when the caller disconnects
// before it.
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
#include "edge/memory_account.h"
#include "io/event_loop.h"

namespace trefoil::edge {

// Sends the response to one request. Safe to use from any thread; only the first response is sent,
// later ones are ignored.
class responder {
public:
    virtual ~responder() = default;
    virtual void respond(http_response response) = 0;

    // Sets an action that runs once, on the server's loop, when the caller disconnects before the
    // response. It does not run after the response. Must be called at most once.
    virtual void on_caller_gone(std::function<void()> action) = 0;
};

// Receives complete requests on the server's loop. The members must not block.
class request_handler {
public:
    virtual ~request_handler() = default;
    virtual void handle(http_request request, std::shared_ptr<responder> responder) = 0;
    // Whether the request may be handled while earlier requests of its connection are not answered,
    // so that it may run beside them, and again when one of them closes the connection.
    virtual bool may_run_ahead(const http_request& request) const;
    // Builds the response to a request that is refused: 413 for a body and 431 for headers above
    // their limits, 408 for a request that takes too long to arrive, 400 for a malformed request,
    // and 503 for one that is still being handled when the server stops.
    virtual http_response refuse(unsigned status) = 0;
    // Builds the response to a request that arrives while the server stops. It has not been
    // handled.
    virtual http_response refuse_during_shutdown();
    // Builds the response to a request that was dropped before it was complete, because there is no
    // memory for it.
    virtual http_response refuse_without_memory();
};

// Limits on what callers may send and on the time that they may take. They may change while the
// server runs.
struct server_limits {
    std::size_t header_bytes = max_header_bytes;
    std::size_t body_bytes = max_body_bytes;
    // From the first byte of a request to the end of its headers. The whole request may take
    // header_timeout + idle_timeout, and no byte of its body may be missing for longer than
    // idle_timeout.
    std::chrono::milliseconds header_timeout{75'000};
    // For a connection without a request, and for a caller that reads no part of a response.
    std::chrono::milliseconds idle_timeout{75'000};

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

struct http_server_options {
    std::string ip;
    std::uint16_t port = 0;
    server_limits limits = {};
    // At this limit, a new connection makes the server close the one that has been idle for the
    // longest time, or else the one whose incomplete request has stalled for the longest time and
    // follows no unanswered one, or else the one that has waited the longest for its caller to
    // close it, or else the one whose caller has read nothing of its response for the longest time,
    // if for 5 s. If there is none, the new one is closed.
    std::size_t max_connections = 4096;
    // Counts and bounds the memory for requests and responses; null: not bounded.
    memory_account* memory = nullptr;
    // After stop_accepting(): how long a caller may make no progress in sending or receiving before
    // its request is refused or its response is dropped. Longer than several TCP retransmissions of
    // a lost segment take.
    std::chrono::milliseconds stall_timeout{5000};
    // Null: the server runs a loop of its own.
    io::event_loop* loop = nullptr;
};

// The server cannot listen on the address.
struct http_listen_failure {
    std::string address;

    friend bool operator==(const http_listen_failure&, const http_listen_failure&) = default;
};

struct http_started {
    friend bool operator==(const http_started&, const http_started&) = default;
};

// Requests of callers that send further ones before the first is answered.
struct pipelining_totals {
    std::uint64_t ran_ahead = 0;  // Passed on before an earlier response was written.
    std::uint64_t dropped = 0;    // Got no response because an earlier one closes the connection.

    friend bool operator==(const pipelining_totals&, const pipelining_totals&) = default;
};

// The members are safe for concurrent use, but must not be called on the loop, except
// open_connections() and pipelining().
class http_server {
public:
    http_server(http_server_options options, request_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    result<http_started, http_listen_failure> start();

    void set_limits(const server_limits& limits);

    // From now on, every response carries "Connection: close" and closes its connection.
    void disable_keep_alive();

    // Accepts the connections that are in the accept queue and closes the listener. From now on, a
    // connection is closed once it has been idle for idle_close_delay and no byte is waiting on it.
    void stop_accepting();
    // Long enough for a request that is in transit, or that follows the one that opened the
    // connection.
    static constexpr std::chrono::milliseconds idle_close_delay{500};

    // Number of requests of which at least one byte has arrived and whose response is not yet
    // written in full. Does not count those that get no response because an earlier one closes
    // their connection.
    std::size_t pending_requests() const;
    std::size_t open_connections() const;
    pipelining_totals pipelining() const;

    // Closes all connections. Before that, requests that are being handled, unread or partly
    // received are answered with 503.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_HTTP_SERVER_H_
