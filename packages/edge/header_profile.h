// The names of the headers with which the daemon speaks to callers and upstreams. The defaults are
// the product's own interface; a platform with another vocabulary brings its own profile.
//
// Example:
//
//     edge::header_profile names;
//     auto id = edge::find_header(request.headers, names.request_id);

#ifndef TREFOIL_EDGE_HEADER_PROFILE_H_
#define TREFOIL_EDGE_HEADER_PROFILE_H_

#include <string>
#include <vector>

#include "messages/messages.h"

namespace trefoil::edge {

// An empty name means that the header is not used.
struct header_profile {
    std::string key_scheme = "Bearer";  // Scheme of the header Authorization.

    // Between callers and the daemon.
    std::string request_id = "Trefoil-Request-Id";  // Also sent to upstreams, which echo it.
    std::string idempotent = "Trefoil-Idempotent";  // The caller's claim, "true" or "false".
    std::string reason = "Trefoil-Reason";
    std::string outcome = "Trefoil-Outcome";
    std::string retry_after = "Retry-After";
    // Whether callers understand fractions of a second, which RFC 9110 does not define.
    bool fractional_retry_after = false;

    // Callers see from the status alone whether a request has run: 408, 421, 429 and 503 promise
    // that it has not, 502 and 504 promise nothing.
    bool status_implies_outcome = false;

    // Between callers, the daemon and upstreams.
    std::string deadline = "Trefoil-Deadline-Ms";  // Milliseconds that are left.
    std::string context = "Trefoil-Context";       // Handle for calls that the upstream sends.

    // From the daemon to upstreams. Never taken from callers.
    std::string workspace = "Trefoil-Workspace";
    std::string caller_service =
        "Trefoil-Caller";  // Service of the instance where a request began.
    std::string expected_upstream = "Trefoil-Upstream";

    // From upstreams.
    std::string not_run = "Trefoil-Not-Run";          // Present: the request did not run.
    std::string upstream_id = "Trefoil-Upstream-Id";  // In health responses.
    std::string cold_remaining = "Trefoil-Cold-Ms";   // In health responses.
    std::string signature;  // When used, a success without it is not the upstream's response.

    friend bool operator==(const header_profile&, const header_profile&) = default;
};

// The headers of a caller that an upstream may see: without hop and mesh headers, and without
// those that the daemon sets itself.
std::vector<messages::header> forwardable_request_headers(
    const header_profile& names, const std::vector<messages::header>& headers);

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_HEADER_PROFILE_H_
