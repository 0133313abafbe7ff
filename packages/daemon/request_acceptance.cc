// Implements the checks that a request passes before its limit is charged.

#include "daemon/request_acceptance.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "admission/key_check.h"

namespace trefoil::daemon {

namespace {

// A route that says "not idempotent" is believed over its callers.
bool is_idempotent(const config::route& route, const edge::http_request& request) {
    auto marker = edge::find_header(request.headers, "Trefoil-Idempotent");
    if (marker == "false") {
        return false;
    }
    if (marker == "true" && route.idempotent.value_or(true)) {
        return true;
    }
    return route.idempotent_for(request.method);
}

// The caller's time limit, at most that of the service; nothing when the header is malformed.
std::optional<std::chrono::milliseconds> time_limit(const config::service& service,
                                                    const edge::http_request& request) {
    auto header = edge::find_header(request.headers, "Trefoil-Deadline-Ms");
    if (!header.has_value()) {
        return service.timeout;
    }
    std::int64_t limit_ms = 0;
    const char* end = header->data() + header->size();
    auto parsed = std::from_chars(header->data(), end, limit_ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || limit_ms < 1) {
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds(limit_ms), service.timeout);
}

}  // namespace

request_acceptance::request_acceptance(request_acceptance_options given, const blackboard& shared,
                                       const admission::context_table& handles)
    : options(given), board(shared), contexts(handles) {}

std::optional<call_refusal> request_acceptance::accept(const edge::http_request& request,
                                                       mono_time arrived,
                                                       accepted_request& accepted) const {
    auto control = this->board.control.read();
    auto snapshot = this->board.snapshot.read();
    if (control == nullptr || !control->ready || snapshot == nullptr) {
        return call_refusal{.reason = reasons::not_ready};
    }
    auto found = snapshot->find_route(request.method, request.path);
    if (std::holds_alternative<config::no_route>(found)) {
        return call_refusal{.reason = reasons::no_route};
    }
    if (std::holds_alternative<config::method_not_allowed>(found)) {
        return call_refusal{.reason = reasons::method_not_allowed};
    }
    const config::route& route = *std::get<const config::route*>(found);
    accepted.message.method = request.method;
    accepted.message.target =
        request.query.empty() ? request.path : request.path + "?" + request.query;
    accepted.message.route = route.name;
    accepted.message.service = route.service;
    accepted.message.base_revision = snapshot->base_revision();
    accepted.message.idempotent = is_idempotent(route, request);
    accepted.history.idempotent = accepted.message.idempotent;
    auto limit = time_limit(*snapshot->find_service(route.service), request);
    if (!limit.has_value()) {
        return call_refusal{.reason = reasons::bad_request};
    }
    accepted.history.deadline = arrived + *limit;
    if (auto refusal = this->identify(*snapshot, route, request, arrived, accepted)) {
        return refusal;
    }
    return this->check_confirmation(route, *control, arrived);
}

// A valid context handle acts for its workspace. An invalid one counts as absent, so a caller from
// outside gains nothing with it.
std::optional<call_refusal> request_acceptance::identify(const config::snapshot& snapshot,
                                                         const config::route& route,
                                                         const edge::http_request& request,
                                                         mono_time arrived,
                                                         accepted_request& accepted) const {
    if (auto handle = edge::find_header(request.headers, "Trefoil-Context")) {
        auto context = this->contexts.nested(*handle, arrived);
        if (const auto* valid = std::get_if<admission::call_context>(&context)) {
            accepted.nested = true;
            accepted.message.workspace = valid->workspace;
            accepted.message.depth = valid->depth;
            accepted.history.deadline = std::min(accepted.history.deadline, valid->deadline);
            return std::nullopt;
        }
        if (std::holds_alternative<admission::depth_exceeded>(context)) {
            return call_refusal{.reason = reasons::depth_exceeded};
        }
        if (std::holds_alternative<admission::deadline_passed>(context)) {
            return call_refusal{.reason = reasons::deadline_exceeded};
        }
    }
    if (route.open) {
        return std::nullopt;
    }
    auto header = edge::find_header(request.headers, "Authorization");
    auto digest = admission::bearer_key_digest(header.value_or(""));
    if (!digest.has_value()) {
        return call_refusal{.reason = reasons::key_missing};
    }
    const config::workspace* owner = snapshot.find_workspace_by_digest(*digest);
    if (owner == nullptr) {
        return call_refusal{.reason = reasons::key_unknown};
    }
    accepted.message.workspace = owner->name;
    return std::nullopt;
}

std::optional<call_refusal> request_acceptance::check_confirmation(const config::route& route,
                                                                   const control_state& control,
                                                                   mono_time arrived) const {
    bool confirmed = control.confirmed_at.has_value() &&
                     arrived - *control.confirmed_at <= this->options.confirmation_limit;
    if (confirmed || route.when_unconfirmed == config::unconfirmed_policy::serve) {
        return std::nullopt;
    }
    return call_refusal{.reason = reasons::unconfirmed};
}

}  // namespace trefoil::daemon
