// Implements the lines about requests.

#include "daemon/request_log.h"

#include <chrono>

#include "base/log.h"

namespace trefoil::daemon {

namespace {

constexpr unsigned first_failure_status = 400;

std::string text(std::string_view value) {
    return std::string(value);
}

// Milliseconds with one decimal.
std::string ms(mono_duration time) {
    return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(time).count());
}

void write(bool ordinary, std::string_view event, std::string_view id,
           std::initializer_list<log_field> fields) {
    log_of_request(ordinary ? log_urgency::ordinary : log_urgency::failure, event, id, fields);
}

}  // namespace

std::string_view outcome_name(messages::call_outcome outcome) {
    switch (outcome) {
        case messages::call_outcome::answered:
            return "answered";
        case messages::call_outcome::not_run:
            return "not_run";
        case messages::call_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

void log_request(const request_line& line) {
    bool late = line.objective.count() > 0 && line.duration > line.objective;
    bool ordinary = line.status < first_failure_status && !late;
    write(ordinary, "request", line.id,
          {{"id", text(line.id)},
           {"route", text(line.route)},
           {"workspace", text(line.workspace)},
           {"service", text(line.service)},
           {"status", fmt::to_string(line.status)},
           {"reason", line.reason.empty() ? "none" : text(line.reason)},
           {"may_have_run", line.may_have_run ? "yes" : "no"},
           {"base", fmt::to_string(line.base_revision)},
           {"attempts", fmt::to_string(line.attempts)},
           {"retries", fmt::to_string(line.retries)},
           {"of_repeat", fmt::format("{:.2f}", line.retry_probability)},
           {"ms", ms(line.duration)},
           {"objective_ms", ms(line.objective)}});
}

void log_attempt(const attempt_line& line) {
    write(line.outcome == "answered", "attempt", line.id,
          {{"id", text(line.id)},
           {"instance", text(line.instance)},
           {"candidates", fmt::to_string(line.candidates)},
           {"expected_ms", ms(line.expected)},
           {"report_age_ms", ms(line.report_age)},
           {"late_place", line.late_place ? "yes" : "no"},
           {"outcome", text(line.outcome)},
           {"reason", line.reason.empty() ? "none" : text(line.reason)},
           {"ms", ms(line.duration)},
           {"held_ms", ms(line.held)}});
}

void log_limit(const limit_line& line) {
    write(false, "limit", line.id,
          {{"id", text(line.id)},
           {"workspace", text(line.workspace)},
           {"demand", fmt::format("{:.1f}", line.demand)},
           {"fleet_demand", fmt::format("{:.1f}", line.fleet_demand)},
           {"share", fmt::format("{:.1f}", line.share)},
           {"retry_after_ms", fmt::to_string(line.retry_after.count())}});
}

void log_call(const call_line& line) {
    write(line.outcome == "answered" && line.status < first_failure_status, "call", line.id,
          {{"id", text(line.id)},
           {"ingress", text(line.ingress)},
           {"upstream", text(line.upstream)},
           {"outcome", text(line.outcome)},
           {"reason", line.reason.empty() ? "none" : text(line.reason)},
           {"repeat", fmt::format("{:.2f}", line.retry_probability)},
           {"status", fmt::to_string(line.status)},
           {"running", fmt::to_string(line.load.running)},
           {"queued", fmt::to_string(line.load.queued)},
           {"limit", fmt::to_string(line.load.limit)},
           {"service_ms", ms(std::chrono::microseconds(line.load.service_us))},
           {"waited_ms", ms(line.waited)},
           {"took_ms", ms(line.took)}});
}

void log_retry(const retry_line& line) {
    write(false, "retry", line.id,
          {{"id", text(line.id)},
           {"service", text(line.service)},
           {"route", text(line.route)},
           {"instance", text(line.instance)},
           {"reason", line.reason.empty() ? "none" : text(line.reason)},
           {"allowance", text(to_string(line.allowance))},
           {"window_calls", fmt::format("{:.1f}", line.window.calls)},
           {"window_retries", fmt::format("{:.1f}", line.window.retries)},
           {"saved", fmt::format("{:.1f}", line.window.saved)},
           {"left", fmt::format("{:.1f}", line.window.left)}});
}

}  // namespace trefoil::daemon
