// Implements the retry rules of section 7 of the design page.

#include "routing/retry_policy.h"

#include <algorithm>

namespace trefoil::routing {

messages::call_outcome retry_policy::outcome(const call_attempts& attempts) {
    return attempts.may_have_run ? messages::call_outcome::unknown
                                 : messages::call_outcome::not_run;
}

retry_decision retry_policy::decide(call_attempts& attempts, attempt_end end, retry_budget& budget,
                                    mono_time now) const {
    bool certain = end == attempt_end::not_sent || end == attempt_end::not_run_reply ||
                   end == attempt_end::refused || end == attempt_end::over_budget;
    attempts.may_have_run = attempts.may_have_run || !certain;
    messages::call_outcome outcome = retry_policy::outcome(attempts);
    // `may_have_run` covers all attempts, not only the last one.
    if (attempts.may_have_run && !attempts.idempotent) {
        return give_up{.reason = give_up_reason::may_have_run, .outcome = outcome};
    }
    if (now + this->options.min_time_left > attempts.deadline) {
        return give_up{.reason = give_up_reason::deadline_exceeded, .outcome = outcome};
    }
    if (end == attempt_end::refused) {
        if (attempts.refusals >= this->options.max_refusals) {
            return give_up{.reason = give_up_reason::retries_used, .outcome = outcome};
        }
        ++attempts.refusals;
        return retry_elsewhere{};
    }
    if (end == attempt_end::over_budget) {
        if (attempts.over_budget < this->options.max_over_budget) {
            ++attempts.over_budget;
            return retry_elsewhere{};
        }
        budget.refund(now);
        return give_up{.reason = give_up_reason::budget_used, .outcome = outcome};
    }
    std::uint32_t allowed_retries = attempts.max_attempts.has_value()
                                        ? std::max<std::uint32_t>(*attempts.max_attempts, 1) - 1
                                        : this->options.max_retries;
    if (attempts.retries >= allowed_retries) {
        return give_up{.reason = give_up_reason::retries_used, .outcome = outcome};
    }
    retry_allowance allowance = budget.take(now);
    if (allowance == retry_allowance::none) {
        return give_up{.reason = give_up_reason::budget_used, .outcome = outcome};
    }
    ++attempts.retries;
    return retry_elsewhere{.allowance = allowance};
}

}  // namespace trefoil::routing
