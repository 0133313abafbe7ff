// Decides whether the ingress accepts a request: finds its route, workspace and deadline, and
// checks that the configuration is confirmed. Rate limits are checked afterwards.
//
// Example:
//
//     daemon::accepted_request accepted;
//     if (auto refusal = acceptance.accept(request, clock.now(), accepted)) { ... }

#ifndef TREFOIL_DAEMON_REQUEST_ACCEPTANCE_H_
#define TREFOIL_DAEMON_REQUEST_ACCEPTANCE_H_

#include <chrono>
#include <optional>

#include "admission/context_table.h"
#include "base/time.h"
#include "config/snapshot.h"
#include "daemon/refusal.h"
#include "daemon/shared_state.h"
#include "edge/header_profile.h"
#include "edge/http_types.h"
#include "messages/messages.h"
#include "routing/retry_policy.h"
#include "routing/traffic_split.h"

namespace trefoil::daemon {

// Properties of an accepted request. After a refusal, those that were determined before it.
struct accepted_request {
    bool nested = false;  // Sent by the local upstream with a valid context handle.
    // The time limit that the caller stated; absent if none.
    std::optional<std::chrono::milliseconds> stated_limit;
    bool has_workspaces = true;  // The configuration has workspaces.
    messages::call message;      // Without headers, body, sequence number and timestamps.
    routing::call_attempts history;
    std::chrono::milliseconds objective{0};  // Latency objective; 0 if the route has none.
};

struct request_acceptance_options {
    edge::header_profile headers = {};
};

// Safe for concurrent use.
class request_acceptance {
public:
    request_acceptance(request_acceptance_options options, const shared_state& shared,
                       const admission::context_table& contexts, routing::traffic_split& splits);

    // Returns the refusal, or nothing if the request is accepted. `accepted` must be
    // default-constructed. The request's deadline includes the time for which it has waited.
    std::optional<call_refusal> accept(const edge::http_request& request, mono_time now,
                                       accepted_request& accepted) const;

    // See edge::request_handler. Depends on the route only, because a caller's statement that the
    // request may be repeated does not say that it may overtake others.
    bool may_run_ahead(const edge::http_request& request) const;

private:
    std::optional<call_refusal> identify(const config::snapshot& snapshot,
                                         const config::route& route,
                                         const edge::http_request& request, mono_time now,
                                         accepted_request& accepted) const;
    std::optional<call_refusal> check_confirmation(const config::route& route,
                                                   const control_state& control,
                                                   mono_time now) const;

    bool is_idempotent(const config::route& route, const edge::http_request& request) const;
    std::optional<std::chrono::milliseconds> time_limit(
        const config::snapshot& snapshot, const config::route& route,
        const edge::http_request& request, std::optional<std::chrono::milliseconds>& stated) const;

    const request_acceptance_options options;
    const shared_state& shared;
    const admission::context_table& contexts;
    routing::traffic_split& splits;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_ACCEPTANCE_H_
