// Implements the retry rules of section 7 of the design page.

#include "routing/retry_policy.h"

namespace trefoil::routing {

messages::call_outcome retry_policy::outcome(const call_attempts& attempts) {
    return attempts.may_have_run ? messages::call_outcome::unknown
                                 : messages::call_outcome::not_run;
}

retry_decision retry_policy::decide(call_attempts& attempts, attempt_end end, retry_budget& budget,
                                    mono_time now) const {
    bool certain = end == attempt_end::not_sent || end == attempt_end::not_run_reply;
    attempts.may_have_run = attempts.may_have_run || !certain;
    messages::call_outcome outcome = retry_policy::outcome(attempts);
    // May_have_run covers every earlier attempt, not only the last one.
    if (attempts.may_have_run && !attempts.idempotent) {
        return give_up{.reason = give_up_reason::may_have_run, .outcome = outcome};
    }
    if (now + this->options.least_time_left > attempts.deadline) {
        return give_up{.reason = give_up_reason::deadline_exceeded, .outcome = outcome};
    }
    if (attempts.retries >= this->options.highest_retries) {
        return give_up{.reason = give_up_reason::retries_used, .outcome = outcome};
    }
    if (!budget.take(now)) {
        return give_up{.reason = give_up_reason::budget_used, .outcome = outcome};
    }
    ++attempts.retries;
    return retry_elsewhere{};
}

}  // namespace trefoil::routing
