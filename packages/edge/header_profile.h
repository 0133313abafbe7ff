// Names of the headers that the daemon exchanges with callers and upstreams. The defaults are the
// product's own; a platform that uses other names provides its own profile.
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
    std::string key_scheme = "Bearer";  // Scheme of the Authorization header.

    // Between callers and the daemon.
    std::string request_id = "Trefoil-Request-Id";  // Also sent to upstreams, which return it.
    std::string idempotent = "Trefoil-Idempotent";  // Stated by the caller: "true" or "false".
    std::string reason = "Trefoil-Reason";
    std::string outcome = "Trefoil-Outcome";
    std::string retry_after = "Retry-After";
    // Whether callers understand fractions of a second in Retry-After, which RFC 9110 does not
    // define.
    bool fractional_retry_after = false;

    // Whether callers conclude from the status alone if a request has run: 408, 421, 429 and 503
    // mean that it has not; 502 and 504 leave it open.
    bool status_implies_outcome = false;

    // Between callers, the daemon and upstreams.
    std::string deadline = "Trefoil-Deadline-Ms";  // Milliseconds until the deadline.
    std::string context = "Trefoil-Context";       // Identifies the request in nested calls.

    // From the daemon to upstreams. Removed from the requests of callers.
    std::string workspace = "Trefoil-Workspace";
    std::string caller_service = "Trefoil-Caller";  // Service of the ingress instance.
    std::string expected_upstream = "Trefoil-Upstream";

    // From upstreams.
    std::string not_run = "Trefoil-Not-Run";          // Present: the request did not run.
    std::string upstream_id = "Trefoil-Upstream-Id";  // In health responses.
    std::string cold_remaining = "Trefoil-Cold-Ms";   // In health responses.
    // When set, successful responses without this header are rejected.
    std::string signature;

    friend bool operator==(const header_profile&, const header_profile&) = default;
};

// Returns the headers of a caller's request that are forwarded to the upstream: without hop-by-hop
// and mesh headers, and without those that the daemon sets itself.
std::vector<messages::header> forwardable_request_headers(
    const header_profile& names, const std::vector<messages::header>& headers);

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_HEADER_PROFILE_H_
