// Client interface for the admin endpoints of daemons.
//
// An admin endpoint is an HTTP path, such as /status, on the admin address (IP:PORT) of a daemon.
//
// Example:
//
//     ctl::curl_admin_client client({.timeout = std::chrono::seconds(3)});
//     std::vector<ctl::admin_outcome> outcomes = client.fetch({"127.0.0.1:9001"}, "/status");

#ifndef TREFOIL_CTL_ADMIN_CLIENT_H_
#define TREFOIL_CTL_ADMIN_CLIENT_H_

#include <string>
#include <vector>

#include "base/result.h"

namespace trefoil::ctl {

// The connection failed, or no complete response arrived before the timeout.
struct unreachable_endpoint {
    std::string detail{};  // Error message of the HTTP client.

    friend bool operator==(const unreachable_endpoint&, const unreachable_endpoint&) = default;
};

// The response has a status code other than 200.
struct unexpected_status {
    long status = 0;

    friend bool operator==(const unexpected_status&, const unexpected_status&) = default;
};

// The response body, or the error.
using admin_outcome = result<std::string, unreachable_endpoint, unexpected_status>;

class admin_client {
public:
    admin_client() = default;
    virtual ~admin_client() = default;
    admin_client(const admin_client&) = delete;
    admin_client& operator=(const admin_client&) = delete;

    // Sends GET http://<address><target> to every address. The outcomes are in the order of the
    // addresses.
    virtual std::vector<admin_outcome> fetch(const std::vector<std::string>& addresses,
                                             const std::string& target) = 0;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_ADMIN_CLIENT_H_
