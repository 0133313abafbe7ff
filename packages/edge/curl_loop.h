// Runs libcurl transfers on an event loop.
//
// Example:
//
//     edge::curl_loop transfers(loop);
//     transfers.start(easy, [](CURLcode outcome) { ... });   // On the loop.

#ifndef TREFOIL_EDGE_CURL_LOOP_H_
#define TREFOIL_EDGE_CURL_LOOP_H_

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <memory>

#include "io/event_loop.h"

namespace trefoil::edge {

struct curl_loop_options {
    // Idle connections that are kept.
    long kept_connections = 64;
    // Bytes that one transfer may read from its connection, as far as they are counted. Bounds what
    // libcurl reads and passes to no callback, such as the extensions of chunks. A body of 1 MiB in
    // chunks of one byte takes 6 MiB.
    std::size_t max_transfer_bytes = std::size_t{8} << 20U;

    friend bool operator==(const curl_loop_options&, const curl_loop_options&) = default;
};

// Used on the loop only, but for construction and destruction. The loop must be stopped before
// destruction.
class curl_loop {
public:
    using completion = std::function<void(CURLcode)>;

    // The outcome of a transfer that read too many bytes.
    static constexpr CURLcode too_many_bytes = CURLE_FILESIZE_EXCEEDED;

    curl_loop(io::event_loop& loop, const curl_loop_options& options);
    ~curl_loop();
    curl_loop(const curl_loop&) = delete;
    curl_loop& operator=(const curl_loop&) = delete;

    // Starts a transfer with a prepared handle; `done` runs once, unless remove() comes first.
    // Sets the handle's private pointer and its socket callbacks.
    void start(CURL* easy, completion done);

    // Ends a transfer at once and closes its connection.
    void remove(CURL* easy);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_CURL_LOOP_H_
