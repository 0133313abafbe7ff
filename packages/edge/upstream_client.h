// HTTP client towards the upstream beside the daemon, on libcurl. Requests run on worker threads
// with one kept connection each.
//
// Example:
//
//     edge::upstream_client client({.address = "127.0.0.1:6001"}, clock);
//     client.start(request, [](edge::upstream_result result) { ... });

#ifndef TREFOIL_EDGE_UPSTREAM_CLIENT_H_
#define TREFOIL_EDGE_UPSTREAM_CLIENT_H_

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/time.h"
#include "edge/http_types.h"

namespace trefoil::edge {

struct upstream_request {
    std::string method;
    std::string target;  // Path and query.
    std::vector<messages::header> headers;
    std::string body;
    mono_time deadline;
    bool idempotent = false;
    // Set to true by any thread to abort the request; it then ends as interrupted.
    std::shared_ptr<std::atomic<bool>> cancelled;
};

// The deadline had passed or the request was cancelled before a byte was sent, so it did not run.
struct not_started {
    friend bool operator==(const not_started&, const not_started&) = default;
};
// The upstream refused the connection, so the request did not run.
struct connection_refused {
    friend bool operator==(const connection_refused&, const connection_refused&) = default;
};
// The deadline passed or the request was cancelled; it may have run.
struct interrupted {
    bool cancelled = false;
    friend bool operator==(const interrupted&, const interrupted&) = default;
};
// The connection broke or the response was too large or malformed; the request may have run.
struct response_lost {
    std::string detail;
    friend bool operator==(const response_lost&, const response_lost&) = default;
};

using upstream_result =
    std::variant<http_response, not_started, connection_refused, interrupted, response_lost>;
using upstream_callback = std::function<void(upstream_result)>;

struct upstream_client_options {
    std::string address;  // "ip:port".
    std::size_t max_threads = 64;
};

class upstream_client {
public:
    upstream_client(upstream_client_options options, const time_source& clock);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    // Runs the request on a worker thread and calls `done` there, once.
    void start(upstream_request request, upstream_callback done);

private:
    struct job {
        upstream_request request;
        upstream_callback done;
    };

    void work();
    // A process that was paused must not start a request that its caller has given up.
    bool may_start(const upstream_request& request) const;
    bool has_work_or_stops() const { return this->stopping || !this->jobs.empty(); }

    const upstream_client_options options;
    const time_source& clock;
    absl::Mutex mutex;
    std::deque<job> jobs;              // Guarded by mutex.
    std::vector<std::thread> threads;  // Guarded by mutex.
    std::size_t idle = 0;              // Guarded by mutex; threads that wait for a job.
    bool stopping = false;             // Guarded by mutex.
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_UPSTREAM_CLIENT_H_
