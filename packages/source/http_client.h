// Blocking HTTP GET client based on libcurl. It reuses connections, bounds the size of responses,
// and can end outstanding calls from another thread.
//
// Example:
//
//     source::http_client client({});
//     auto outcome = client.get("http://127.0.0.1:5000/documents/base", milliseconds(2000));
//     if (auto* response = std::get_if<source::http_response>(&outcome)) { ... }

#ifndef TREFOIL_SOURCE_HTTP_CLIENT_H_
#define TREFOIL_SOURCE_HTTP_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/result.h"

namespace trefoil::source {

struct http_response {
    long status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // The value of the first header with this name (case-insensitive).
    std::optional<std::string> header(std::string_view name) const;

    friend bool operator==(const http_response&, const http_response&) = default;
};

// No complete response was received, or it exceeded a size limit.
struct http_failure {
    std::string detail;
    bool body_too_large = false;

    friend bool operator==(const http_failure&, const http_failure&) = default;
};

struct http_client_options {
    std::chrono::milliseconds connect_timeout{1000};
    std::size_t max_body_bytes = 1U << 20U;
    // Each received byte of the body extends the timeout of the call by the time that it takes at
    // this rate, so that large responses arrive over slow links.
    std::size_t min_bytes_per_second = std::size_t{128} << 10U;
    // A connection over which the server acknowledges neither data nor keepalive probes for this
    // long is closed. Otherwise a watch on a broken connection would wait for its full time while
    // documents change.
    std::chrono::milliseconds unacknowledged_timeout{3000};
};

// Thread-safe; never throws.
class http_client {
public:
    explicit http_client(http_client_options settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Performs a GET request. `timeout` bounds the whole call, including the connection setup,
    // apart from the time for the body at `min_bytes_per_second`.
    result<http_response, http_failure> get(const std::string& url,
                                            std::chrono::milliseconds timeout);

    // Ends the outstanding calls; they return a failure.
    void interrupt();

    // For shutdown: ends the outstanding calls; later calls fail.
    void stop();

private:
    // A libcurl handle with its connection, used by one call at a time.
    class curl_handle;

    std::shared_ptr<curl_handle> acquire_handle();
    void release_handle(std::shared_ptr<curl_handle> used, bool reusable);

    const http_client_options options;
    std::atomic<bool> stopping{false};
    absl::Mutex mutex;
    // Guarded by mutex. There are as many handles as calls have run concurrently.
    std::vector<std::shared_ptr<curl_handle>> idle;
    std::vector<std::shared_ptr<curl_handle>> busy;
};

}  // namespace trefoil::source

#endif  // TREFOIL_SOURCE_HTTP_CLIENT_H_
