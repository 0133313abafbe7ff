// Explains how this daemon would route a request, for operators (`trefoilctl explain`).
//
// Example:
//
//     daemon::request_explainer explainer("d1", shared, ingress.upstreams());
//     nlohmann::json text = explainer.explain({.method = "GET", .path = "/station/"}, now);

#ifndef TREFOIL_DAEMON_REQUEST_EXPLAINER_H_
#define TREFOIL_DAEMON_REQUEST_EXPLAINER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/time.h"
#include "daemon/shared_state.h"
#include "daemon/upstream_selector.h"

namespace trefoil::daemon {

struct explained_request {
    std::string host;  // Value of the Host header; empty matches only routes for every host.
    std::string method = "GET";
    std::string path = "/";
    std::string workspace;  // Name; empty for a request without a key.

    friend bool operator==(const explained_request&, const explained_request&) = default;
};

// Safe for concurrent use.
class request_explainer {
public:
    request_explainer(std::string own_domain, const shared_state& daemon_state,
                      const upstream_selector& own_selector);

    // Returns the decision with its reason and, if a route matches, the route, the services with
    // their shares of its requests, and the candidates of these services.
    nlohmann::json explain(const explained_request& request, mono_time now) const;

private:
    // Returns the reason for which the request would be refused before an upstream is chosen, or an
    // empty text if it would not be.
    std::string_view refusal_reason(const config::route& route, const config::snapshot& snapshot,
                                    const std::string& workspace, mono_time now) const;
    nlohmann::json candidates_of(const config::route& route, mono_time now) const;
    nlohmann::json describe(const routing::candidate& each, const std::string& service,
                            mono_time now) const;

    const std::string failure_domain;  // Of this daemon.
    const shared_state& shared;
    const upstream_selector& selector;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_EXPLAINER_H_
