// The log lines about single requests, at the daemon of the caller and at that of the upstream.
// Lines of both carry the caller's request id.
//
// Example:
//
//     daemon::log_request({.id = id, .route = "readings", .status = 200, ...});

#ifndef TREFOIL_DAEMON_REQUEST_LOG_H_
#define TREFOIL_DAEMON_REQUEST_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "messages/messages.h"
#include "routing/retry_budget.h"

namespace trefoil::daemon {

// The end of a request at the ingress.
struct request_log_entry {
    std::string_view id;
    std::string_view route;
    std::string_view workspace;
    std::string_view service;
    unsigned status = 0;
    std::string_view reason;  // Empty when the upstream's response was delivered.
    bool may_have_run = false;
    std::uint64_t base_revision = 0;
    std::size_t attempts = 0;
    std::uint32_t retries = 0;
    double repeat_share = 0;  // How likely a repeated run has made the call.
    mono_duration duration{};
    mono_duration objective{};  // 0: none.
};
// Lines of requests that were served in time thin out first under load.
void log_request(const request_log_entry& entry);

// The end of one attempt at the ingress, with what led to the choice of the instance.
struct attempt_log_entry {
    std::string_view id;
    std::string_view instance;
    std::size_t candidates = 0;
    mono_duration expected{};    // For the whole attempt when it was chosen.
    mono_duration report_age{};  // Of the load report behind the choice; negative: there was none.
    bool late_place = false;     // Sent although the objective would be missed.
    std::string_view outcome;
    std::string_view reason;
    mono_duration duration{};
    mono_duration held{};  // At the egress, as it says.
};
void log_attempt(const attempt_log_entry& entry);

// Why the limit of a workspace refused a request. Rates are requests per second.
struct limit_log_entry {
    std::string_view id;
    std::string_view workspace;
    double demand = 0;        // Of this daemon.
    double fleet_demand = 0;  // 0 when it is not known.
    double share = 0;         // What this daemon may admit.
    std::chrono::milliseconds retry_after{0};
};
void log_limit(const limit_log_entry& entry);

// What the egress did with a call.
struct call_log_entry {
    std::string_view id;
    std::string_view ingress;
    std::string_view upstream;
    std::string_view outcome;
    std::string_view reason;
    double repeat_share = 0;  // How likely the run is a repeat.
    unsigned status = 0;
    messages::load_report load;  // At the end.
    mono_duration waited{};      // In the gate.
    mono_duration took{};        // At the upstream; 0 when it did not start.
};
void log_call(const call_log_entry& entry);

// Whether a failed attempt is followed by another one that an upstream may see.
struct retry_log_entry {
    std::string_view id;
    std::string_view service;
    std::string_view route;
    std::string_view instance;  // Of the failed attempt.
    std::string_view reason;    // Of its failure.
    routing::retry_allowance allowance = routing::retry_allowance::none;
    routing::retry_window window;  // After the decision.
};
void log_retry(const retry_log_entry& entry);

std::string_view outcome_name(messages::call_outcome outcome);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_LOG_H_
