// References to the parts of the daemon whose state the admin endpoint reports.
//
// Example:
//
//     admin_sources sources{.local_egress = egress, .local_ingress = ingress, ...};

#ifndef TREFOIL_DAEMON_ADMIN_SOURCES_H_
#define TREFOIL_DAEMON_ADMIN_SOURCES_H_

#include "daemon/egress.h"
#include "daemon/ingress.h"
#include "daemon/limit_service.h"
#include "daemon/peer_connections.h"
#include "daemon/request_metrics.h"
#include "edge/http_server.h"
#include "source/configuration_service.h"

namespace trefoil::daemon {

// The parts that the admin endpoint reads besides the shared state.
struct admin_sources {
    egress& local_egress;
    ingress& local_ingress;
    limit_service& limits;
    peer_connections& connections;
    request_metrics& metrics;
    const source::configuration_service& platform;
    const edge::http_server& callers;
    const edge::memory_account& memory;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_ADMIN_SOURCES_H_
