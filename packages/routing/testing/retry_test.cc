// Tests of the retry policy and budget: no second run of a non-idempotent call, bounded retries and
// truthful outcomes.

#define BOOST_TEST_MODULE routing_retry
#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "routing/retry_budget.h"
#include "routing/retry_policy.h"

namespace trefoil::routing {

namespace {

using messages::call_outcome;
using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours(1)};

struct retry_fixture {
    retry_policy policy{{}};
    retry_budget budget{{.minimum_per_second = 1'000'000}};

    retry_decision decide(call_attempts& attempts, attempt_end end, mono_time now = start) {
        return this->policy.decide(attempts, end, this->budget, now);
    }
};

call_attempts call_with(bool idempotent) {
    return {.idempotent = idempotent, .deadline = start + milliseconds(250)};
}

bool gives_up(const retry_decision& decision, give_up_reason reason, call_outcome outcome) {
    const auto* given_up = std::get_if<give_up>(&decision);
    return given_up != nullptr && *given_up == give_up{.reason = reason, .outcome = outcome};
}

bool retries(const retry_decision& decision) {
    return std::holds_alternative<retry_elsewhere>(decision);
}

}  // namespace

// Guards against a second run of a non-idempotent call that may have run.
BOOST_FIXTURE_TEST_CASE(non_idempotent_call_is_retried_only_when_it_did_not_run, retry_fixture) {
    for (attempt_end end : {attempt_end::unknown_reply, attempt_end::no_reply}) {
        call_attempts attempts = call_with(false);
        BOOST_TEST(gives_up(this->decide(attempts, end), give_up_reason::may_have_run,
                            call_outcome::unknown));
    }
    for (attempt_end end : {attempt_end::not_sent, attempt_end::not_run_reply}) {
        call_attempts attempts = call_with(false);
        BOOST_TEST(retries(this->decide(attempts, end)));
    }
}

// Guards against an untrue "not run" when an earlier attempt may have run and the last did not.
BOOST_FIXTURE_TEST_CASE(outcome_covers_all_attempts, retry_fixture) {
    call_attempts attempts = call_with(true);
    BOOST_TEST(retries(this->decide(attempts, attempt_end::no_reply)));
    BOOST_TEST(retries(this->decide(attempts, attempt_end::not_run_reply)));
    BOOST_TEST(gives_up(this->decide(attempts, attempt_end::not_run_reply),
                        give_up_reason::retries_used, call_outcome::unknown));
    call_attempts never_ran = call_with(true);
    this->decide(never_ran, attempt_end::not_run_reply);
    this->decide(never_ran, attempt_end::not_sent);
    BOOST_TEST(gives_up(this->decide(never_ran, attempt_end::not_run_reply),
                        give_up_reason::retries_used, call_outcome::not_run));
}

// Guards against an attempt that starts after the deadline, for example after a pause.
BOOST_FIXTURE_TEST_CASE(no_retry_past_the_deadline, retry_fixture) {
    call_attempts attempts = call_with(true);
    BOOST_TEST(
        gives_up(this->decide(attempts, attempt_end::not_run_reply, start + milliseconds(250)),
                 give_up_reason::deadline_exceeded, call_outcome::not_run));
    BOOST_TEST(attempts.retries == 0U);
}

// Guards against more than two retries or a broken rule in any order of ends.
BOOST_FIXTURE_TEST_CASE(random_histories_keep_the_rules, retry_fixture) {
    seeded_random random(7);
    for (int call = 0; call < 5000; ++call) {
        call_attempts attempts = call_with(random.below(2) == 0);
        bool uncertain = false;
        int decisions = 0;
        bool again = true;
        while (again) {
            auto end = static_cast<attempt_end>(random.below(4));
            uncertain =
                uncertain || end == attempt_end::unknown_reply || end == attempt_end::no_reply;
            again = retries(this->decide(attempts, end, start + milliseconds(random.below(300))));
            ++decisions;
            BOOST_TEST((!again || attempts.idempotent || !uncertain));
        }
        BOOST_TEST(decisions <= 3);
        BOOST_TEST((retry_policy::outcome(attempts) == call_outcome::not_run) == !uncertain);
    }
}

// Guards against retries that multiply the load while everything fails.
BOOST_AUTO_TEST_CASE(budget_is_a_tenth_of_the_calls) {
    retry_budget budget({});
    int taken = 0;
    for (int call = 0; call < 20'000; ++call) {
        mono_time now = start + milliseconds(call);
        budget.count_call(now);
        taken += budget.take(now) ? 1 : 0;
        taken += budget.take(now) ? 1 : 0;
    }
    BOOST_TEST(taken >= 1990);
    BOOST_TEST(taken <= 2010);
}

// Guards against a budget without room for a service with few calls, and against an unlimited one.
BOOST_AUTO_TEST_CASE(budget_has_a_minimum_of_three_a_second) {
    retry_budget budget({});
    for (int second = 0; second < 30; ++second) {
        int taken = 0;
        for (int attempt = 0; attempt < 50; ++attempt) {
            taken += budget.take(start + milliseconds(second * 1000 + attempt)) ? 1 : 0;
        }
        BOOST_TEST(taken == 3);
    }
}

}  // namespace trefoil::routing
