// HTTP server towards callers and operators, on libmicrohttpd. A few threads hold many waiting
// requests: a request is suspended until its responder is used, from any thread.
//
// Example:
//
//     edge::http_server server({.ip = "127.0.0.1", .port = 8001}, handler);
//     auto outcome = server.start();

#ifndef TREFOIL_EDGE_HTTP_SERVER_H_
#define TREFOIL_EDGE_HTTP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "edge/http_types.h"

namespace trefoil::edge {

// Answers one request. Safe to use from any thread; the first response counts, later ones are
// dropped.
class responder {
public:
    virtual ~responder() = default;
    virtual void respond(http_response response) = 0;
};

// Receives whole requests. Called from several threads; must not block.
class request_handler {
public:
    virtual ~request_handler() = default;
    virtual void handle(http_request request, std::shared_ptr<responder> responder) = 0;
    // Builds the response to a request that is refused before handle(): 413 for a body above
    // max_body_bytes and 400 for a request that cannot be read.
    virtual http_response refuse(unsigned status) = 0;
};

struct http_server_options {
    std::string ip;
    std::uint16_t port = 0;
    unsigned threads = 2;
    unsigned idle_timeout_s = 75;
    unsigned max_connections = 4096;
};

// The address cannot be used.
struct http_listen_failure {
    std::string address;

    friend bool operator==(const http_listen_failure&, const http_listen_failure&) = default;
};

struct http_started {
    friend bool operator==(const http_started&, const http_started&) = default;
};

class http_server {
public:
    http_server(http_server_options options, request_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    result<http_started, http_listen_failure> start();

    // Asks callers to leave: every response from now on closes its connection.
    void begin_close();

    // Stops to accept connections; open connections go on.
    void stop_accepting();

    // Requests that have not been answered in full.
    std::size_t pending_requests() const;
    unsigned open_connections() const;

    // Ends the threads. Requests still waiting are answered with 503 first.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_HTTP_SERVER_H_
