// HTTP server for test doubles: one thread per connection, so that a handler may block.
//
// Example:
//
//     http_server server(5000, [](const http_request& request) {
//         return http_response{.body = request.path};
//     });
//     wait_for_stop_signal();

#ifndef TREFOIL_TESTING_SUPPORT_HTTP_SERVER_H_
#define TREFOIL_TESTING_SUPPORT_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct MHD_Daemon;

namespace trefoil::testing {

struct http_request {
    std::string method;
    std::string path;                            // Without the query.
    std::map<std::string, std::string> query;    // Unescaped.
    std::map<std::string, std::string> headers;  // Names in lower case.
    std::string body;
    int socket = -1;

    std::string header(const std::string& name) const;
    // The number in the query, or `fallback` when it is absent or not a number.
    std::int64_t number(const std::string& name, std::int64_t fallback) const;
    // Blocks for `duration` or until the caller closes the connection; returns false in that case.
    bool wait(std::chrono::milliseconds duration) const;
};

struct http_response {
    unsigned status = 200;
    std::map<std::string, std::string> headers = {};
    std::string body = {};
};

class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    // Listens on 127.0.0.1. Exits the process when the port is taken. `answer` runs on several
    // threads at once.
    http_server(std::uint16_t port, handler answer);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    handler respond;
    MHD_Daemon* daemon = nullptr;
};

// Blocks the stop signals in the calling thread and in those that it starts later.
void block_stop_signals();

// Returns after SIGTERM or SIGINT; needs block_stop_signals() before any thread starts.
void wait_for_stop_signal();

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_HTTP_SERVER_H_
