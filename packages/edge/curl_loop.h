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
    // Idle connections kept open for reuse.
    long max_idle_connections = 64;
    // Limit of the bytes that one transfer may read from its connection, counted approximately. It
    // bounds data that libcurl consumes without a callback, such as chunk extensions. A body of 1
    // MiB in chunks of one byte takes 6 MiB on the connection.
    std::size_t max_transfer_bytes = std::size_t{8} << 20U;

    friend bool operator==(const curl_loop_options&, const curl_loop_options&) = default;
};

// All members except the constructor and the destructor must be called on the loop's thread. The
// loop must be stopped before destruction.
class curl_loop {
public:
    using completion = std::function<void(CURLcode)>;

    // Result code of a transfer that exceeded max_transfer_bytes.
    static constexpr CURLcode too_many_bytes = CURLE_FILESIZE_EXCEEDED;

    curl_loop(io::event_loop& loop, const curl_loop_options& options);
    ~curl_loop();
    curl_loop(const curl_loop&) = delete;
    curl_loop& operator=(const curl_loop&) = delete;

    // Starts a transfer on a configured easy handle. `done` is called once with the result, unless
    // remove() is called first. Sets the handle's callbacks for opening and closing sockets.
    void start(CURL* easy, completion done);

    // Aborts a transfer and closes its connection. Its completion is not called.
    void remove(CURL* easy);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_CURL_LOOP_H_
