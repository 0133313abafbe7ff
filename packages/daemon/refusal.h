// Refusals to callers: the reason, its HTTP status and the outcome, which states whether the
// request may have run at an upstream.
//
// Example:
//
//     responder->respond(daemon::make_refusal({.reason = daemon::reasons::no_route}));

#ifndef TREFOIL_DAEMON_REFUSAL_H_
#define TREFOIL_DAEMON_REFUSAL_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "edge/header_profile.h"
#include "edge/http_types.h"
#include "messages/messages.h"

namespace trefoil::daemon {

// Refusal reasons, as sent in responses to callers and in messages between daemons.
namespace reasons {
inline constexpr std::string_view bad_request = "bad_request";
inline constexpr std::string_view payload_too_large = "payload_too_large";
inline constexpr std::string_view headers_too_large = "headers_too_large";
inline constexpr std::string_view request_timeout = "request_timeout";
inline constexpr std::string_view caller_gone = "caller_gone";
inline constexpr std::string_view no_route = "no_route";
inline constexpr std::string_view method_not_allowed = "method_not_allowed";
inline constexpr std::string_view key_missing = "key_missing";
inline constexpr std::string_view key_unknown = "key_unknown";
inline constexpr std::string_view rate_limited = "rate_limited";
inline constexpr std::string_view not_ready = "not_ready";
inline constexpr std::string_view unconfirmed = "unconfirmed";
inline constexpr std::string_view stopping = "stopping";
inline constexpr std::string_view no_upstream = "no_upstream";
inline constexpr std::string_view overloaded = "overloaded";
inline constexpr std::string_view depth_exceeded = "depth_exceeded";
inline constexpr std::string_view deadline_exceeded = "deadline_exceeded";
inline constexpr std::string_view upstream_failed = "upstream_failed";
inline constexpr std::string_view connection_lost = "connection_lost";
inline constexpr std::string_view duplicate = "duplicate";
inline constexpr std::string_view retry_budget = "retry_budget";  // Between daemons only.
}  // namespace reasons

struct call_refusal {
    std::string_view reason = reasons::bad_request;
    messages::call_outcome outcome = messages::call_outcome::not_run;
    // How long the caller should wait before it retries; only if `outcome` is `not_run`.
    std::optional<std::chrono::milliseconds> retry_after{};

    friend bool operator==(const call_refusal&, const call_refusal&) = default;
};

// The HTTP status for a reason; 502 for an unknown one.
unsigned status_of(std::string_view reason);

// Returns the reason with this text, or `upstream_failed` if this version does not know it.
std::string_view known_reason(std::string_view text);

// Builds the response to the caller. `names` says which of its headers are sent and how.
edge::http_response make_refusal(const call_refusal& refusal,
                                 const edge::header_profile& names = {});

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REFUSAL_H_
