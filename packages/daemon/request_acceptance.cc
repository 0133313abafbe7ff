// Implements the checks that precede the rate limit of a request.

#include "daemon/request_acceptance.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "admission/key_digest.h"

namespace trefoil::daemon {

request_acceptance::request_acceptance(request_acceptance_options given,
                                       const shared_state& daemon_state,
                                       const admission::context_table& handles,
                                       routing::traffic_split& shares)
    : options(std::move(given)), shared(daemon_state), contexts(handles), splits(shares) {}

// A route configured as not idempotent takes precedence over the caller's header.
bool request_acceptance::is_idempotent(const config::route& route,
                                       const edge::http_request& request) const {
    auto marker = edge::find_header(request.headers, this->options.headers.idempotent);
    if (marker == "false") {
        return false;
    }
    if (marker == "true" && route.idempotent.value_or(true)) {
        return true;
    }
    return route.idempotent_for(request.method);
}

// The caller's time limit, capped by that of the route or, if it has none, of its service. Absent
// if the header is malformed. `stated` is set to the caller's limit.
std::optional<std::chrono::milliseconds> request_acceptance::time_limit(
    const config::snapshot& snapshot, const config::route& route, const edge::http_request& request,
    std::optional<std::chrono::milliseconds>& stated) const {
    const config::service* service = snapshot.find_service(route.targets().front().service);
    std::chrono::milliseconds longest = route.timeout.value_or(service->timeout);
    auto header = edge::find_header(request.headers, this->options.headers.deadline);
    if (!header.has_value()) {
        return longest;
    }
    std::int64_t limit_ms = 0;
    const char* end = header->data() + header->size();
    auto parsed = std::from_chars(header->data(), end, limit_ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || limit_ms < 1) {
        return std::nullopt;
    }
    stated = std::chrono::milliseconds(limit_ms);
    return std::min(*stated, longest);
}

namespace {

// Combines the priorities of the workspace and the route into one rank, in which the priority of
// the workspace takes precedence.
std::uint32_t priority_of(const config::snapshot& snapshot, const config::route& route,
                          const std::string& workspace) {
    constexpr std::uint32_t route_priorities = 1001;
    const config::workspace* owner = snapshot.find_workspace(workspace);
    std::uint32_t first = config::default_priority;
    if (owner != nullptr && owner->priority.has_value()) {
        first = *owner->priority;
    }
    return first * route_priorities + route.priority;
}

}  // namespace

std::optional<call_refusal> request_acceptance::accept(const edge::http_request& request,
                                                       mono_time now,
                                                       accepted_request& accepted) const {
    auto control = this->shared.control.read();
    auto snapshot = this->shared.snapshot.read();
    if (control == nullptr || !control->ready || snapshot == nullptr) {
        return call_refusal{.reason = reasons::not_ready};
    }
    std::string host = edge::find_header(request.headers, "Host").value_or("");
    auto found = snapshot->find_route(host, request.method, request.path);
    if (std::holds_alternative<config::no_route>(found)) {
        return call_refusal{.reason = reasons::no_route};
    }
    if (std::holds_alternative<config::method_not_allowed>(found)) {
        return call_refusal{.reason = reasons::method_not_allowed};
    }
    const config::route& route = *std::get<const config::route*>(found);
    accepted.has_workspaces = !snapshot->contents().workspaces.empty();
    accepted.message.method = request.method;
    accepted.message.target =
        request.query.empty() ? request.path : request.path + "?" + request.query;
    accepted.message.request_id =
        edge::find_header(request.headers, this->options.headers.request_id).value_or("");
    accepted.message.route = route.name;
    accepted.message.base_revision = snapshot->base_revision();
    accepted.message.idempotent = this->is_idempotent(route, request);
    accepted.history.idempotent = accepted.message.idempotent;
    accepted.history.max_attempts = route.attempts;
    auto limit = this->time_limit(*snapshot, route, request, accepted.stated_limit);
    if (!limit.has_value()) {
        return call_refusal{.reason = reasons::bad_request};
    }
    accepted.history.deadline = now - request.waited + *limit;
    if (auto refusal = this->identify(*snapshot, route, request, now, accepted)) {
        return refusal;
    }
    if (auto refusal = this->check_confirmation(route, *control, now)) {
        return refusal;
    }
    accepted.objective = route.latency_objective.value_or(std::chrono::milliseconds(0));
    accepted.message.priority = priority_of(*snapshot, route, accepted.message.workspace);
    // Chosen once for all attempts, so that retries do not shift traffic from an overloaded target
    // of the split to the others.
    accepted.message.service = this->splits.choose(route);
    return std::nullopt;
}

bool request_acceptance::may_run_ahead(const edge::http_request& request) const {
    auto snapshot = this->shared.snapshot.read();
    if (snapshot == nullptr ||
        edge::find_header(request.headers, this->options.headers.idempotent) == "false") {
        return false;
    }
    std::string host = edge::find_header(request.headers, "Host").value_or("");
    auto found = snapshot->find_route(host, request.method, request.path);
    const auto* matched = std::get_if<const config::route*>(&found);
    return matched != nullptr && (*matched)->idempotent_for(request.method);
}

// A valid context handle identifies the workspace of a nested call. An invalid one is ignored, so
// that an external caller gains nothing by sending one.
std::optional<call_refusal> request_acceptance::identify(const config::snapshot& snapshot,
                                                         const config::route& route,
                                                         const edge::http_request& request,
                                                         mono_time now,
                                                         accepted_request& accepted) const {
    if (auto handle = edge::find_header(request.headers, this->options.headers.context)) {
        auto context = this->contexts.nested_context(*handle, now);
        if (const auto* valid = std::get_if<admission::call_context>(&context)) {
            accepted.nested = true;
            accepted.message.workspace = valid->workspace;
            accepted.message.depth = valid->depth;
            accepted.message.retry_probability = valid->retry_probability;
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
    auto digest = admission::key_digest(this->options.headers.key_scheme, header.value_or(""));
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
                                                                   mono_time now) const {
    if (control.confirmed(now) || route.when_unconfirmed == config::unconfirmed_policy::serve) {
        return std::nullopt;
    }
    return call_refusal{.reason = reasons::unconfirmed};
}

}  // namespace trefoil::daemon
