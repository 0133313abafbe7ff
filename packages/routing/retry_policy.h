// Decides after a failed attempt whether the call is sent again, and if not, what outcome is true.
//
// Example:
//
//     routing::call_attempts attempts{.idempotent = route.idempotent, .deadline = deadline};
//     auto decision = policy.decide(attempts, routing::attempt_end::not_run_reply, budget, now);
//     if (std::holds_alternative<routing::retry_elsewhere>(decision)) { ... pick and send ... }

#ifndef TREFOIL_ROUTING_RETRY_POLICY_H_
#define TREFOIL_ROUTING_RETRY_POLICY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include "base/time.h"
#include "messages/messages.h"
#include "routing/retry_budget.h"

namespace trefoil::routing {

// How an attempt ended without a response of the upstream that the caller can have.
enum class attempt_end : std::uint8_t {
    not_sent,       // No byte of the call left this process.
    not_run_reply,  // The egress answered that the call did not run and will not run.
    unknown_reply,  // The egress answered that the call may have run.
    no_reply,       // The connection was lost or the attempt timed out after bytes may have left.
    refused,        // The egress refused the call before its upstream saw it, or was not reached.
    over_budget,    // Likewise, because the services that a repeat calls allow no more retries.
};

// The history of one call at its ingress; decide() keeps it up to date.
struct call_attempts {
    bool idempotent = false;
    mono_time deadline;
    std::uint32_t retries = 0;  // Attempts after the first one, without those after refusals.
    std::uint32_t refusals = 0;
    std::uint32_t over_budget = 0;  // Ends as over_budget.
    // Upstreams that the call may be sent to; the policy's own bound when absent.
    std::optional<std::uint32_t> max_attempts{};
    bool may_have_run = false;  // Some attempt ended without a certain "not run".

    friend bool operator==(const call_attempts&, const call_attempts&) = default;
};

// Send the call again, with a new sequence, to an upstream that it was not sent to before.
struct retry_elsewhere {
    // What let it go; none after a refusal, which costs no retry.
    retry_allowance allowance = retry_allowance::none;

    friend bool operator==(const retry_elsewhere&, const retry_elsewhere&) = default;
};

enum class give_up_reason : std::uint8_t {
    may_have_run,       // A non-idempotent call may have run.
    deadline_exceeded,  // No time is left.
    retries_used,       // The highest number of retries was made.
    budget_used,        // A retry budget has nothing left: of the service, or of those it calls.
};

struct give_up {
    give_up_reason reason = give_up_reason::retries_used;
    // What may truthfully be told to the caller, over all attempts.
    messages::call_outcome outcome = messages::call_outcome::unknown;

    friend bool operator==(const give_up&, const give_up&) = default;
};

using retry_decision = std::variant<retry_elsewhere, give_up>;

struct retry_policy_options {
    std::uint32_t highest_retries = 2;
    // Refusals cost the upstreams nothing, so they have a bound of their own, against endless
    // loops.
    std::uint32_t highest_refusals = 16;
    // What one egress says of the services that are called holds at most others.
    std::uint32_t highest_over_budget = 1;
    // A retry with less time left than this would end after the deadline anyway: it needs a round
    // trip to another failure domain.
    std::chrono::milliseconds least_time_left{1};
};

// Immutable and therefore safe for concurrent use.
class retry_policy {
public:
    explicit retry_policy(retry_policy_options initial) : options(initial) {}

    // Takes from `budget` only when the answer is retry_elsewhere, and returns a retry to it that
    // no upstream will see.
    retry_decision decide(call_attempts& attempts, attempt_end end, retry_budget& budget,
                          mono_time now) const;

    // The truthful outcome of a call that is given up for another reason, such as no upstream left.
    static messages::call_outcome outcome(const call_attempts& attempts);

private:
    retry_policy_options options;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RETRY_POLICY_H_
