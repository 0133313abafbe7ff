// Decides after a failed attempt whether the call is retried, and if not, which outcome may be
// reported to the caller.
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

// How an attempt ended without a response that can be returned to the caller.
enum class attempt_end : std::uint8_t {
    not_sent,       // No byte of the call left this process.
    not_run_reply,  // The egress answered that the call did not run and will not run.
    unknown_reply,  // The egress answered that the call may have run.
    no_reply,       // The connection was lost or the attempt timed out after bytes may have left.
    refused,      // The egress was not reached, or refused the call before it reached the upstream.
    over_budget,  // The egress refused the retry: a called service has no retry budget left.
};

// The history of one call at its ingress, which decide() updates.
struct call_attempts {
    bool idempotent = false;
    mono_time deadline;
    std::uint32_t retries = 0;      // Retries that were taken from the budget.
    std::uint32_t refusals = 0;     // Attempts that ended as `refused`.
    std::uint32_t over_budget = 0;  // Attempts that ended as `over_budget`.
    // Maximum number of upstreams that the call is sent to; absent: the bound of the policy.
    std::optional<std::uint32_t> max_attempts{};
    bool may_have_run = false;  // Some attempt is not certain not to have run.

    friend bool operator==(const call_attempts&, const call_attempts&) = default;
};

// Retry the call, with a new sequence, at an upstream that it was not sent to before.
struct retry_elsewhere {
    // The part of the budget that covers the retry; `none` after an attempt that ended as `refused`
    // or `over_budget`, because the next attempt costs no further retry.
    retry_allowance allowance = retry_allowance::none;

    friend bool operator==(const retry_elsewhere&, const retry_elsewhere&) = default;
};

enum class give_up_reason : std::uint8_t {
    may_have_run,       // A non-idempotent call may have run.
    deadline_exceeded,  // Too little time is left until the deadline.
    retries_used,       // The maximum number of retries was made.
    budget_used,        // The retry budget of the service or of one that it calls is used up.
};

struct give_up {
    give_up_reason reason = give_up_reason::retries_used;
    // Outcome to report to the caller, over all attempts.
    messages::call_outcome outcome = messages::call_outcome::unknown;

    friend bool operator==(const give_up&, const give_up&) = default;
};

using retry_decision = std::variant<retry_elsewhere, give_up>;

struct retry_policy_options {
    std::uint32_t max_retries = 2;
    // Refusals cost the upstreams nothing, so they have a separate bound, which prevents endless
    // loops.
    std::uint32_t max_refusals = 16;
    // Attempts that may end as `over_budget` before the call is given up. What one egress reports
    // of the budgets of the called services mostly holds at the other egresses as well.
    std::uint32_t max_over_budget = 1;
    // A retry needs a round trip to another failure domain, so with less time left it would end
    // after the deadline.
    std::chrono::milliseconds min_time_left{1};
};

// Immutable and therefore safe for concurrent use.
class retry_policy {
public:
    explicit retry_policy(retry_policy_options initial) : options(initial) {}

    // Takes a retry from `budget` only if the decision is retry_elsewhere. Refunds the retry of a
    // call that is given up as `over_budget`, because it will not reach any upstream.
    retry_decision decide(call_attempts& attempts, attempt_end end, retry_budget& budget,
                          mono_time now) const;

    // The outcome to report for a call that is given up for another reason, such as no upstream
    // left.
    static messages::call_outcome outcome(const call_attempts& attempts);

private:
    retry_policy_options options;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RETRY_POLICY_H_
