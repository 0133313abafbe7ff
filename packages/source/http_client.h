// Blocking HTTP GET with libcurl, with kept connections, bounded answers and a stop that ends calls
// in progress.
//
// Example:
//
//     source::http_client client({});
//     auto outcome = client.get("http://127.0.0.1:5000/documents/base", milliseconds(2000));
//     if (auto* answer = std::get_if<source::http_response>(&outcome)) { ... }

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

    // The value of the first header called `name`, whatever its case.
    std::optional<std::string> header(std::string_view name) const;

    friend bool operator==(const http_response&, const http_response&) = default;
};

// No whole answer came, or it was larger than allowed.
struct http_failure {
    std::string detail;
    bool body_too_large = false;

    friend bool operator==(const http_failure&, const http_failure&) = default;
};

struct http_client_options {
    std::chrono::milliseconds connect_timeout{1000};
    std::size_t max_body_bytes = 1U << 20U;
    // A connection whose peer acknowledges nothing for this long is dropped. A watch on it would
    // otherwise wait for its whole time while documents change.
    std::chrono::milliseconds silence_limit{3000};
};

// Safe for concurrent use; never throws.
class http_client {
public:
    explicit http_client(http_client_options settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // `timeout` bounds the whole call, with opening a connection.
    result<http_response, http_failure> get(const std::string& url,
                                            std::chrono::milliseconds timeout);

    // Ends the calls that wait now; they fail.
    void interrupt();

    // Ends calls that wait and makes later calls fail, for shutdown.
    void stop();

private:
    // One connection of libcurl; used by one call at a time.
    class channel;

    std::shared_ptr<channel> take_channel();
    void return_channel(std::shared_ptr<channel> used, bool reusable);

    const http_client_options options;
    std::atomic<bool> stopping{false};
    absl::Mutex mutex;
    // Guarded by mutex. As many channels exist as calls ever ran at once.
    std::vector<std::shared_ptr<channel>> idle;
    std::vector<std::shared_ptr<channel>> busy;
};

}  // namespace trefoil::source

#endif  // TREFOIL_SOURCE_HTTP_CLIENT_H_
