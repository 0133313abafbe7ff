// Implements the metrics of finished requests.

#include "daemon/request_metrics.h"

#include <fmt/format.h>

#include <chrono>

namespace trefoil::daemon {

namespace {

constexpr unsigned status_server_error = 500;

}  // namespace

request_metrics::request_metrics(const time_source& time) : clock(time) {
    this->registry.describe("trefoil_requests_total", "Finished requests by result.");
    this->registry.describe("trefoil_retries_total", "Attempts after the first one.");
    this->registry.describe("trefoil_request_microseconds",
                            "Time from the request's arrival to its response.");
    this->registry.describe("trefoil_attempts_total", "Ended attempts at instances.");
    this->registry.describe("trefoil_calls_total", "Calls at the upstream beside this daemon.");
    this->registry.describe("trefoil_gate_wait_microseconds",
                            "Time that calls waited in the gate.");
    this->registry.describe("trefoil_upstream_microseconds",
                            "Time from sending a call to the upstream to its end.");
}

// Requests refused for a reason on the caller's side, such as a missing key or an exceeded rate
// limit, do not count against the service-level objective.
void request_metrics::on_finished(const finished_request& request) {
    this->registry
        .get_or_create_counter("trefoil_requests_total",
                               {{"service", request.service},
                                {"workspace", request.workspace},
                                {"status", fmt::to_string(request.status)},
                                {"reason", std::string(request.reason)}})
        .add();
    if (request.retries > 0) {
        this->registry
            .get_or_create_counter("trefoil_retries_total", {{"service", request.service}})
            .add(request.retries);
    }
    bool error = request.status >= status_server_error;
    if (request.service.empty() || (!request.admitted && !error)) {
        return;
    }
    auto duration = std::chrono::duration_cast<std::chrono::microseconds>(request.duration);
    std::string_view outcome = request.reason.empty() ? "delivered" : request.reason;
    this->registry
        .get_or_create_histogram("trefoil_request_microseconds",
                                 {{"service", request.service},
                                  {"route", request.route},
                                  {"outcome", std::string(outcome)}})
        .observe(duration);
    this->tracker.record(request.service, request.workspace,
                         {.latency = request.duration, .error = error}, this->clock.now());
}

void request_metrics::on_attempt_ended(const finished_attempt& attempt) {
    this->registry
        .get_or_create_counter("trefoil_attempts_total", {{"outcome", std::string(attempt.outcome)},
                                                          {"reason", std::string(attempt.reason)}})
        .add();
}

void request_metrics::on_call_ended(const finished_call& call) {
    auto microseconds = [](mono_duration time) {
        return std::chrono::duration_cast<std::chrono::microseconds>(time);
    };
    telemetry::label_list labels = {{"outcome", std::string(call.outcome)},
                                    {"reason", std::string(call.reason)}};
    this->registry.get_or_create_counter("trefoil_calls_total", labels).add();
    this->registry.get_or_create_histogram("trefoil_gate_wait_microseconds", labels)
        .observe(microseconds(call.waited));
    if (call.started) {
        this->registry.get_or_create_histogram("trefoil_upstream_microseconds", labels)
            .observe(microseconds(call.took));
    }
}

void request_metrics::set_objectives(const config::snapshot& snapshot) {
    telemetry::burn_tracker::objective_map objectives;
    for (const auto& [name, service] : snapshot.contents().services) {
        if (service.objective.has_value()) {
            objectives[name] = {.availability = service.objective->availability,
                                .latency = service.objective->latency};
        }
    }
    this->tracker.set_objectives(std::move(objectives));
}

}  // namespace trefoil::daemon
