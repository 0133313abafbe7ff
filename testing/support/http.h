// HTTP for test programs: a blocking client over libcurl that reuses its connection and belongs to
// one thread, and a server over libmicrohttpd with one thread per connection, so that handlers may
// block. http_call and http_reply are the client's request and result; http_request and
// http_response are the server's.
//
// Example:
//
//     http_reply reply = http_client().perform({.url = "http://127.0.0.1:8001/station/a"});
//     serve(5000, [](const http_request& request) { return http_response{.body = request.path}; });

#ifndef TREFOIL_TESTING_SUPPORT_HTTP_H_
#define TREFOIL_TESTING_SUPPORT_HTTP_H_

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace trefoil::testing {

struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers = {};  // "Name: value"
    std::string body = {};
    std::chrono::milliseconds timeout{5000};
    // Opens a new connection and closes it afterwards. libcurl retries any request when a reused
    // connection closes before the first byte of the response, which must not happen to a request
    // that is not idempotent.
    bool fresh_connection = false;
};

struct http_reply {
    long status = 0;
    std::map<std::string, std::string> headers = {};  // Names in lower case.
    std::string body = {};
    // Empty when the response arrived completely, otherwise "refused" (no connection), "timeout" or
    // "reset" (anything else).
    std::string error = {};

    std::string header(const std::string& name) const;
};

// Fields of the `outcome` event of a call with the identifier `request`: status, reason, outcome,
// error.
nlohmann::json outcome_fields(const http_reply& reply, const std::string& request);

class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    http_reply perform(const http_call& call);

private:
    void* handle;  // CURL*, which is void* in libcurl's interface.
};

struct http_request {
    std::string method;
    std::string path;                            // Without the query.
    std::map<std::string, std::string> query;    // Names in lower case, values unescaped.
    std::map<std::string, std::string> headers;  // Names in lower case.
    std::string body;
    int socket = -1;

    std::string header(const std::string& name) const;
    // The integer value of a query parameter, or `fallback` when it is absent or not an integer.
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

// Serves on 127.0.0.1 until SIGTERM or SIGINT, then ends the process with status 0 without waiting
// for blocked handlers. Throws std::runtime_error when the port is in use. `handle` is called
// concurrently.
[[noreturn]] void serve(std::uint16_t port, http_handler handle);

// Blocks SIGTERM and SIGINT in this thread and in threads that it starts later, and returns the
// blocked set.
sigset_t block_stop_signals();

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_HTTP_H_
