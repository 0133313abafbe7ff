// HTTP client for the upstream beside the daemon, built on libcurl. Reuses connections and sends
// each request at most once; retries are up to the owner.
//
// Example:
//
//     edge::upstream_client client({.address = "127.0.0.1:6001"}, clock);
//     auto id = client.start(request, [](edge::upstream_result result) { ... });
//     client.cancel(id);

#ifndef TREFOIL_EDGE_UPSTREAM_CLIENT_H_
#define TREFOIL_EDGE_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "edge/http_types.h"
#include "edge/memory_account.h"
#include "edge/response_builder.h"
#include "io/event_loop.h"

namespace trefoil::edge {

struct upstream_request {
    std::string method;
    std::string target;  // Path and query.
    std::vector<messages::header> headers;
    shared_body body = nullptr;  // Null: no body.
    mono_time deadline;
};

// The request was not sent and did not run: before that, its deadline passed, connect_timeout
// passed or it was cancelled.
struct not_started {
    friend bool operator==(const not_started&, const not_started&) = default;
};
// No connection could be opened, so the request did not run.
struct connection_refused {
    friend bool operator==(const connection_refused&, const connection_refused&) = default;
};
// The deadline passed or the request was cancelled after it was sent. It may have run.
struct interrupted {
    bool cancelled = false;
    friend bool operator==(const interrupted&, const interrupted&) = default;
};
// The request was sent, but its response was incomplete, malformed or above a limit. The request
// may have run.
struct response_lost {
    response_loss why = response_loss::broken;
    std::string detail;
    friend bool operator==(const response_lost&, const response_lost&) = default;
};

using upstream_result =
    std::variant<http_response, not_started, connection_refused, interrupted, response_lost>;
using upstream_callback = std::function<void(upstream_result)>;

struct upstream_client_options {
    std::string address;  // "ip:port".
    std::chrono::milliseconds connect_timeout{500};
    // Idle connections are not reused after this time, unless the upstream announces its own
    // timeout. Most servers keep idle connections for 5 s or more.
    std::chrono::seconds idle_timeout{4};
    response_limits limits = {};
    // Limit on the buffered bodies of all responses in progress. Above it the largest response is
    // dropped. A string's capacity may be twice its size, so 16 MiB can take a fifth of a machine
    // with 160 MB of memory.
    std::size_t max_buffered_bytes = std::size_t{16} << 20U;
    long max_idle_connections = 64;
    // When a request has this header, a response without the same value closes the connection. A
    // second copy of it, which arrives later, could not be told from the response to the next
    // request.
    std::string header_for_reuse;
    // Null: the client runs a loop of its own.
    io::event_loop* loop = nullptr;
};

// Identifies a request of one client; never reused.
using request_number = std::uint64_t;

struct upstream_client_totals {
    std::uint64_t connections_opened = 0;
    std::uint64_t requests_sent = 0;

    friend bool operator==(const upstream_client_totals&, const upstream_client_totals&) = default;
};

// Safe for concurrent use. A shared loop must be stopped before the client is destroyed.
class upstream_client {
public:
    upstream_client(upstream_client_options options, const time_source& clock);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    // Sends the request and calls `done` on the loop, once.
    request_number start(upstream_request request, upstream_callback done);

    // Aborts a request that is in progress. Its result is not_started or interrupted.
    void cancel(request_number number);

    upstream_client_totals totals() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_UPSTREAM_CLIENT_H_
