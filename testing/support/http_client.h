// Blocking HTTP client over libcurl with a persistent connection, for one thread.
//
// Example:
//
//     http_client client;
//     http_reply reply = client.perform({.url = "http://127.0.0.1:8001/station/a"});

#ifndef TREFOIL_TESTING_SUPPORT_HTTP_CLIENT_H_
#define TREFOIL_TESTING_SUPPORT_HTTP_CLIENT_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace trefoil::testing {

struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers = {};  // "Name: value"
    std::string body = {};
    std::chrono::milliseconds timeout{5000};
    // Opens a new connection and closes it afterwards. libcurl sends any request a second time when
    // a reused connection closes before the first byte of the response, which must not happen to a
    // request that may run only once.
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

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_HTTP_CLIENT_H_
