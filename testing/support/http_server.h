// HTTP server for test doubles: one thread per connection, so that a handler may block.
//
// Example:
//
//     serve(5000, [](const http_request& request) { return http_response{.body = request.path}; });

#ifndef TREFOIL_TESTING_SUPPORT_HTTP_SERVER_H_
#define TREFOIL_TESTING_SUPPORT_HTTP_SERVER_H_

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace trefoil::testing {

struct http_request {
    std::string method;
    std::string path;                            // Without the query.
    std::map<std::string, std::string> query;    // Names in lower case, values unescaped.
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

using http_handler = std::function<http_response(const http_request&)>;

// Listens on 127.0.0.1 until SIGTERM or SIGINT and then ends the process at once, because waiting
// handlers would delay an orderly end. Throws std::runtime_error when the port is taken. `handle`
// runs on several threads at once.
[[noreturn]] void serve(std::uint16_t port, http_handler handle);

// Blocks SIGTERM and SIGINT in this thread and those that it starts later, and returns the set.
sigset_t block_stop_signals();

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_HTTP_SERVER_H_
