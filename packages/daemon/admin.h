// The admin endpoint for operators, over HTTP: /live, /ready, /metrics, /status, /burn (burn rates
// of the services' availability objectives) and /explain (how a request would be routed).
//
// Example:
//
//     daemon::admin admin(options, shared, sources, clock);
//     edge::http_server server({.ip = "127.0.0.1", .port = 9001}, admin);

#ifndef TREFOIL_DAEMON_ADMIN_H_
#define TREFOIL_DAEMON_ADMIN_H_

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "daemon/admin_sources.h"
#include "daemon/request_explainer.h"
#include "daemon/shared_state.h"
#include "daemon/state_series.h"
#include "edge/http_server.h"

namespace trefoil::daemon {

struct admin_options {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    std::string site;
};

// Safe for concurrent use.
class admin final : public edge::request_handler {
public:
    admin(admin_options options, shared_state& shared, admin_sources sources,
          const time_source& clock);

    void handle(edge::http_request request, std::shared_ptr<edge::responder> responder) override;
    edge::http_response refuse(unsigned status) override;

private:
    // Why the daemon does not accept requests; empty when it does.
    std::vector<std::string> reasons_not_ready() const;
    edge::http_response ready() const;
    edge::http_response metrics() const;
    edge::http_response status() const;
    edge::http_response burn() const;
    edge::http_response explain(const edge::http_request& request) const;

    const admin_options options;
    shared_state& shared;
    const admin_sources sources;
    const state_series computed_series;
    const request_explainer explainer;
    const time_source& clock;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_ADMIN_H_
