// State of one request at the ingress and of its attempts. An attempt is one send of the request to
// one instance; a request that fails may have further attempts at other instances.
//
// Example:
//
//     auto started = std::make_shared<detail::attempt>();
//     if (started->claim(connection)) { ... write the call to the connection ... }

#ifndef TREFOIL_DAEMON_INGRESS_CALL_H_
#define TREFOIL_DAEMON_INGRESS_CALL_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "daemon/refusal.h"
#include "daemon/request_acceptance.h"
#include "edge/http_server.h"
#include "routing/call_origins.h"
#include "transport/peer_endpoint.h"

namespace trefoil::daemon::detail {

// One request from its arrival to its response. Not synchronized: only one thread at a time
// processes a request.
struct ingress_call : accepted_request {
    std::shared_ptr<edge::responder> responder;
    edge::shared_body body;  // Null without a body; the message's own body is empty.
    mono_time arrived;       // When the request was read.
    bool admitted = false;
    bool holds_precedence = false;    // Counted by nested_call_precedence until it ends.
    bool ended = false;               // Answered, or its caller has disconnected.
    std::uint64_t last_sequence = 0;  // Of the latest attempt; 0 before the first.
    std::size_t attempts_sent = 0;
    // Reason of the latest failed attempt, not counting refusals for lack of retry budget.
    std::string_view last_failure = reasons::no_upstream;
    std::vector<std::string> tried;  // Instances that are not picked again.
    // Subset of `tried`: instances that refused the call before it reached their upstreams.
    std::vector<std::string> refused;
    // Who calls the route; absent if the configuration has workspaces, which tell.
    std::optional<routing::call_origin> origin;
    // How long the caller has waited before it sent the request, e.g. after a refusal.
    std::chrono::milliseconds waited_before{0};
    std::size_t overload_refusals = 0;  // Number of refusals with the reason "overloaded".
    // Shortest wait that a refusing instance announced.
    std::optional<std::chrono::milliseconds> retry_after;
    // Response of an upstream with status 502, 503 or 504 after which the call was retried.
    // Delivered to the caller if no retry gets a response.
    std::optional<edge::http_response> earlier_response;

    // The time by which the response must be delivered to meet the latency objective; absent if the
    // route has no objective.
    std::optional<mono_time> objective_at() const {
        return this->objective.count() == 0
                   ? std::nullopt
                   : std::optional(this->arrived + this->objective - this->waited_before);
    }
};

// One attempt of a call. `connection` changes from `not_sent_yet` exactly once: to the connection
// immediately before the call is written to it, or to `abandoned` when the ingress gives the
// attempt up first. This prevents an attempt that was reported as not sent from being written
// later.
struct attempt {
    static constexpr transport::connection_id not_sent_yet = 0;
    static constexpr transport::connection_id abandoned = ~transport::connection_id{0};

    // Sets `connection`; false if it was set before.
    bool claim(transport::connection_id next) {
        transport::connection_id before = not_sent_yet;
        return this->connection.compare_exchange_strong(before, next);
    }

    std::shared_ptr<ingress_call> call;
    std::string instance;
    std::string failure_domain;  // Of the instance.
    mono_time sent_at;
    mono_time expires;
    std::atomic<transport::connection_id> connection{not_sent_yet};
    // Inputs of the upstream selection, for the log.
    std::size_t candidates = 0;
    mono_duration expected{};    // Estimated time until the result arrives.
    mono_duration report_age{};  // Age of the instance's load report; negative if there was none.
};

}  // namespace trefoil::daemon::detail

#endif  // TREFOIL_DAEMON_INGRESS_CALL_H_
