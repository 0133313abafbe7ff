// Implements refusals with a table of reasons and statuses.

#include "daemon/refusal.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace trefoil::daemon {

namespace {

struct reason_status {
    std::string_view reason;
    unsigned status;
};

constexpr std::array<reason_status, 21> reason_statuses = {{
    {reasons::bad_request, 400},        {reasons::payload_too_large, 413},
    {reasons::headers_too_large, 431},  {reasons::request_timeout, 408},
    {reasons::caller_gone, 499},        {reasons::no_route, 404},
    {reasons::method_not_allowed, 405}, {reasons::key_missing, 401},
    {reasons::key_unknown, 401},        {reasons::rate_limited, 429},
    {reasons::not_ready, 503},          {reasons::unconfirmed, 503},
    {reasons::stopping, 503},           {reasons::no_upstream, 503},
    {reasons::overloaded, 503},         {reasons::depth_exceeded, 508},
    {reasons::deadline_exceeded, 504},  {reasons::upstream_failed, 502},
    {reasons::connection_lost, 502},    {reasons::duplicate, 502},
    {reasons::retry_budget, 503},
}};

const reason_status* find_reason(std::string_view text) {
    const auto* found =
        std::find_if(reason_statuses.begin(), reason_statuses.end(),
                     [text](const reason_status& each) { return each.reason == text; });
    return found == reason_statuses.end() ? nullptr : found;
}

}  // namespace

unsigned status_of(std::string_view reason) {
    constexpr unsigned unknown_reason = 502;
    const reason_status* found = find_reason(reason);
    return found == nullptr ? unknown_reason : found->status;
}

std::string_view known_reason(std::string_view text) {
    const reason_status* found = find_reason(text);
    return found == nullptr ? reasons::upstream_failed : found->reason;
}

namespace {

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;

// Whether callers that see only the status conclude from it that the request has not run.
bool implies_not_run(unsigned status) {
    constexpr std::array<unsigned, 4> statuses = {408, 421, 429, status_unavailable};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

unsigned status_for(const call_refusal& refusal, const edge::header_profile& names) {
    unsigned status = status_of(refusal.reason);
    if (!names.status_implies_outcome) {
        return status;
    }
    if (refusal.outcome == messages::call_outcome::unknown) {
        return implies_not_run(status) ? status_bad_gateway : status;
    }
    return refusal.reason == reasons::deadline_exceeded ? status_unavailable : status;
}

}  // namespace

edge::http_response make_refusal(const call_refusal& refusal, const edge::header_profile& names) {
    std::string outcome =
        refusal.outcome == messages::call_outcome::not_run ? "not_run" : "unknown";
    edge::http_response response{.status = status_for(refusal, names),
                                 .headers = {{.name = "Content-Type", .value = "application/json"}},
                                 .body = fmt::format("{{\"error\": \"{}\", \"outcome\": \"{}\"}}\n",
                                                     refusal.reason, outcome)};
    auto add = [&response](const std::string& name, std::string value) {
        if (!name.empty()) {
            response.headers.push_back({.name = name, .value = std::move(value)});
        }
    };
    add(names.reason, std::string(refusal.reason));
    add(names.outcome, outcome);
    if (refusal.retry_after.has_value()) {
        std::chrono::duration<double> seconds = *refusal.retry_after;
        add(names.retry_after, names.fractional_retry_after
                                   ? fmt::format("{:.3f}", seconds.count())
                                   : fmt::format("{:.0f}", std::ceil(seconds.count())));
    }
    return response;
}

}  // namespace trefoil::daemon
