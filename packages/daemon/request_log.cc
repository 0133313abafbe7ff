// Implements the log lines about requests.

#include "daemon/request_log.h"

#include <chrono>

#include "base/log.h"

namespace trefoil::daemon {

namespace {

constexpr unsigned first_error_status = 400;

std::string text(std::string_view value) {
    return std::string(value);
}

// Formats a duration as milliseconds with one decimal.
std::string format_ms(mono_duration time) {
    return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(time).count());
}

void write(bool ordinary, std::string_view event, std::string_view id,
           std::initializer_list<log_field> fields) {
    log_request_event(ordinary ? log_priority::ordinary : log_priority::failure, event, id, fields);
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

void log_call_origin(std::string_view route, std::string_view origin) {
    log(log_level::info, "call_origin", {{"route", text(route)}, {"from", text(origin)}});
}

void log_request(const request_log_entry& entry) {
    bool late = entry.objective.count() > 0 && entry.duration > entry.objective;
    bool ordinary = entry.status < first_error_status && !late;
    write(ordinary, "request", entry.id,
          {{"id", text(entry.id)},
           {"route", text(entry.route)},
           {"workspace", text(entry.workspace)},
           {"service", text(entry.service)},
           {"status", fmt::to_string(entry.status)},
           {"reason", entry.reason.empty() ? "none" : text(entry.reason)},
           {"may_have_run", entry.may_have_run ? "yes" : "no"},
           {"base", fmt::to_string(entry.base_revision)},
           {"attempts", fmt::to_string(entry.attempts)},
           {"retries", fmt::to_string(entry.retries)},
           {"of_repeat", fmt::format("{:.2f}", entry.retry_probability)},
           {"ms", format_ms(entry.duration)},
           {"objective_ms", format_ms(entry.objective)}});
}

void log_attempt(const attempt_log_entry& entry) {
    write(entry.outcome == "answered", "attempt", entry.id,
          {{"id", text(entry.id)},
           {"instance", text(entry.instance)},
           {"candidates", fmt::to_string(entry.candidates)},
           {"expected_ms", format_ms(entry.expected)},
           {"report_age_ms", format_ms(entry.report_age)},
           {"late_place", entry.late_place ? "yes" : "no"},
           {"outcome", text(entry.outcome)},
           {"reason", entry.reason.empty() ? "none" : text(entry.reason)},
           {"ms", format_ms(entry.duration)},
           {"held_ms", format_ms(entry.held)}});
}

void log_limit(const limit_log_entry& entry) {
    write(false, "limit", entry.id,
          {{"id", text(entry.id)},
           {"workspace", text(entry.workspace)},
           {"demand", fmt::format("{:.1f}", entry.demand)},
           {"fleet_demand", fmt::format("{:.1f}", entry.fleet_demand)},
           {"share", fmt::format("{:.1f}", entry.share)},
           {"retry_after_ms", fmt::to_string(entry.retry_after.count())}});
}

void log_call(const call_log_entry& entry) {
    write(entry.outcome == "answered" && entry.status < first_error_status, "call", entry.id,
          {{"id", text(entry.id)},
           {"ingress", text(entry.ingress)},
           {"upstream", text(entry.upstream)},
           {"outcome", text(entry.outcome)},
           {"reason", entry.reason.empty() ? "none" : text(entry.reason)},
           {"repeat", fmt::format("{:.2f}", entry.retry_probability)},
           {"status", fmt::to_string(entry.status)},
           {"running", fmt::to_string(entry.load.running)},
           {"queued", fmt::to_string(entry.load.queued)},
           {"limit", fmt::to_string(entry.load.limit)},
           {"service_ms", format_ms(std::chrono::microseconds(entry.load.service_us))},
           {"waited_ms", format_ms(entry.waited)},
           {"took_ms", format_ms(entry.took)}});
}

void log_retry(const retry_log_entry& entry) {
    write(false, "retry", entry.id,
          {{"id", text(entry.id)},
           {"service", text(entry.service)},
           {"route", text(entry.route)},
           {"instance", text(entry.instance)},
           {"reason", entry.reason.empty() ? "none" : text(entry.reason)},
           {"allowance", text(to_string(entry.allowance))},
           {"window_calls", fmt::format("{:.1f}", entry.window.calls)},
           {"window_retries", fmt::format("{:.1f}", entry.window.retries)},
           {"saved", fmt::format("{:.1f}", entry.window.saved)},
           {"left", fmt::format("{:.1f}", entry.window.left)}});
}

}  // namespace trefoil::daemon
