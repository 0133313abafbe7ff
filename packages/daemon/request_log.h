// Log lines about single requests, written by the caller's daemon (ingress) and by the upstream's
// (egress). All of them carry the caller's request id.
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

// A request that ended at the ingress.
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
    double retry_probability = 0;  // Probability that a retried request made this call.
    mono_duration duration{};
    mono_duration objective{};  // 0 if there is none.
};
// Under load, lines of requests that were served in time are dropped first.
void log_request(const request_log_entry& entry);

// An attempt that ended at the ingress, with the inputs of the upstream selection.
struct attempt_log_entry {
    std::string_view id;
    std::string_view instance;
    std::size_t candidates = 0;
    mono_duration expected{};    // Estimated duration of the attempt when it was selected.
    mono_duration report_age{};  // Age of the load report used; negative if there was none.
    bool late_place = false;     // The gate may serve the call after its latency objective.
    std::string_view outcome;
    std::string_view reason;
    mono_duration duration{};
    mono_duration held{};  // Time at the egress, as reported by it.
};
void log_attempt(const attempt_log_entry& entry);

// A request refused by the rate limit of its workspace. Rates are requests per second.
struct limit_log_entry {
    std::string_view id;
    std::string_view workspace;
    double demand = 0;        // At this daemon.
    double fleet_demand = 0;  // At all daemons; 0 if unknown.
    double share = 0;         // The rate that this daemon may admit.
    std::chrono::milliseconds retry_after{0};
};
void log_limit(const limit_log_entry& entry);

// The egress has changed what it knows about the origin of a route's calls.
void log_call_origin(std::string_view route, std::string_view origin);

// A call that ended at the egress.
struct call_log_entry {
    std::string_view id;
    std::string_view ingress;
    std::string_view upstream;
    std::string_view outcome;
    std::string_view reason;
    double retry_probability = 0;  // Probability that the call is a retry or made by one.
    unsigned status = 0;
    messages::load_report load;  // When the call ended.
    mono_duration waited{};      // Time in the gate.
    mono_duration took{};        // Time at the upstream; 0 if the call was not started.
};
void log_call(const call_log_entry& entry);

// A decision whether to retry after a failed attempt that an upstream may have seen.
struct retry_log_entry {
    std::string_view id;
    std::string_view service;
    std::string_view route;
    std::string_view instance;  // The instance of the failed attempt.
    std::string_view reason;    // Why the attempt failed.
    routing::retry_allowance allowance = routing::retry_allowance::none;
    routing::retry_window window;  // State of the retry budget after the decision.
};
void log_retry(const retry_log_entry& entry);

std::string_view outcome_name(messages::call_outcome outcome);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_LOG_H_
