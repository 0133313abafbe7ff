// Value types that the classes of the gate share: the identity of a call, its result at the
// upstream, and a refusal with the outcome that may be reported to the caller.
//
// The latest start of a call is the time after which it probably misses its latency objective if
// it has not started. A call that would start later is late; any other call is in time.
//
// Example:
//
//     gate::call_id id{.instance = "station-1", .incarnation = 17, .sequence = 4};
//     gate::refusal refusal{gate::refusal_reason::overloaded, messages::call_outcome::not_run};

#ifndef TREFOIL_GATE_GATE_TYPES_H_
#define TREFOIL_GATE_GATE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::gate {

// Identifies one attempt of a call. An ingress that retries a call uses a new sequence, because the
// gate never accepts a sequence twice, whatever the result of the first attempt was.
struct call_id {
    std::string instance;           // The ingress.
    std::uint64_t incarnation = 0;  // Grows with every start of the ingress.
    std::uint64_t sequence = 0;     // Grows with every attempt of the incarnation.

    friend bool operator==(const call_id&, const call_id&) = default;

    // Abseil looks the function up by this name.
    template <class Hash>  // NOLINTNEXTLINE(readability-identifier-naming)
    friend Hash AbslHashValue(Hash state, const call_id& id) {
        return Hash::combine(std::move(state), id.instance, id.incarnation, id.sequence);
    }
};

// The properties of a call that the gate uses. The owner of the gate keeps the rest of the call
// under the same id.
struct offered_call {
    call_id id;
    std::string workspace;  // Empty on open routes, whose calls share one queue of their own.
    mono_time deadline;     // On the local clock; the call never starts at or after this time.
    std::string route = {};
    std::uint32_t priority = 0;  // 0 starts first.
    // A call that ends later misses its latency objective; absent if the route has none.
    std::optional<mono_time> objective_at = std::nullopt;
    // A call that starts later probably misses its objective. Set by the gate.
    std::optional<mono_time> latest_start = std::nullopt;
    // Whether the call may start after `latest_start`. If not, it is refused instead, so that its
    // ingress can try another egress.
    bool may_be_late = true;
    // Whether a running request waits for the call. Such a call starts first and has no objective:
    // when it is refused, that request fails and the work spent on it is lost. While the start rate
    // is limited, the call takes as much of that rate as any other and does not precede.
    bool precedes = false;
    // Whether the call's route keeps a floor (kind_floor).
    bool keeps_floor = false;

    friend bool operator==(const offered_call&, const offered_call&) = default;
};

// How a started call ended at the upstream.
enum class call_result_kind : std::uint8_t {
    good,                // A complete response that shows no overload.
    shed,                // The upstream answered 503 or 429.
    failed,              // Timeout, broken connection, or a response of 502 or 504.
    application_error,   // Any other 5xx response; tolerated up to a share, see concurrency_limit.
    connection_refused,  // The upstream accepted no connection, so the call did not run.
    cancelled,           // The caller cancelled the call; no information about the upstream.
};

enum class refusal_reason : std::uint8_t {
    overloaded,         // The queue is full, or the call waited or would wait for too long.
    stopping,           // The daemon drains.
    no_upstream,        // The upstream is leaving or taken out.
    deadline_exceeded,  // The deadline passed before the call started.
    duplicate,          // The sequence was seen before, or may have been.
    retry_budget,       // A retry, and the retry budget of a service that it calls is used up.
};

// Name of the reason in refusals to callers and between daemons.
std::string_view reason_name(refusal_reason reason);

struct refusal {
    refusal_reason reason = refusal_reason::overloaded;
    // `not_run` only when it is certain that no copy of the call ran or will run.
    messages::call_outcome outcome = messages::call_outcome::unknown;
    // Expected time from the refusal until a call like the refused one could start; 0 if unknown.
    mono_duration retry_after{0};

    friend bool operator==(const refusal&, const refusal&) = default;
};

// A queued call that will not run, with the reason.
struct refused_call {
    call_id id;
    refusal why;

    friend bool operator==(const refused_call&, const refused_call&) = default;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_GATE_TYPES_H_
