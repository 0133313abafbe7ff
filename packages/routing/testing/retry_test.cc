// Tests of the retry policy and the retry budget: no second run of a non-idempotent call, bounded
// retries and correct outcomes.

#define BOOST_TEST_MODULE routing_retry
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

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

// Guards against the outcome "not run" when an earlier attempt may have run and the last did not.
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

// Guards against a retry after the deadline, for example when the process was paused.
BOOST_FIXTURE_TEST_CASE(no_retry_past_the_deadline, retry_fixture) {
    call_attempts attempts = call_with(true);
    BOOST_TEST(
        gives_up(this->decide(attempts, attempt_end::not_run_reply, start + milliseconds(250)),
                 give_up_reason::deadline_exceeded, call_outcome::not_run));
    BOOST_TEST(attempts.retries == 0U);
}

// Guards against more than two retries, a retry of a non-idempotent call that may have run, and a
// wrong outcome, for random sequences of failed attempts.
BOOST_FIXTURE_TEST_CASE(random_failures_keep_the_bounds_and_outcomes, retry_fixture) {
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

// Guards against retries that multiply the load while all calls fail.
BOOST_AUTO_TEST_CASE(budget_allows_a_tenth_of_the_calls) {
    retry_budget budget({});
    int taken = 0;
    for (int call = 0; call < 20'000; ++call) {
        mono_time now = start + milliseconds(call);
        budget.count_call(now);
        taken += budget.take(now) != retry_allowance::none ? 1 : 0;
        taken += budget.take(now) != retry_allowance::none ? 1 : 0;
    }
    BOOST_TEST(taken >= 1990);
    BOOST_TEST(taken <= 2010);
}

// Guards against a service with few calls that gets no retries at all, and against one that gets
// any number.
BOOST_AUTO_TEST_CASE(budget_has_a_minimum_of_three_a_second) {
    retry_budget budget({});
    for (int second = 0; second < 30; ++second) {
        int taken = 0;
        for (int attempt = 0; attempt < 50; ++attempt) {
            taken +=
                budget.take(start + milliseconds(second * 1000 + attempt)) != retry_allowance::none
                    ? 1
                    : 0;
        }
        BOOST_TEST(taken == 3);
    }
}

// Guards against more retries in some ten seconds than the share and the slack allow, when a group
// of upstreams rejects half of its requests. The platform counts the retries of a fleet for each
// service.
BOOST_AUTO_TEST_CASE(slack_is_allowed_beyond_the_share_in_any_ten_seconds) {
    retry_budget budget({.share = 0.2, .minimum_per_second = 0});
    budget.set_slack(5, start);
    std::vector<mono_time> taken;
    std::vector<mono_time> calls;
    for (int ms = 0; ms < 40'000; ms += 10) {
        mono_time now = start + milliseconds(ms);
        if (ms < 20'000) {
            budget.count_call(now);
            calls.push_back(now);
        }
        while (budget.take(now) != retry_allowance::none) {
            taken.push_back(now);
        }
    }
    auto in_window = [](const std::vector<mono_time>& times, mono_time end) {
        return std::count_if(times.begin(), times.end(), [end](mono_time each) {
            return each > end - std::chrono::seconds(10) && each <= end;
        });
    };
    for (mono_time each : taken) {
        // The platform compares with the calls of the window or with those of the previous one.
        auto most =
            std::max(in_window(calls, each), in_window(calls, each - std::chrono::seconds(10)));
        BOOST_TEST(in_window(taken, each) <= 0.2 * static_cast<double>(most) + 5 + 1);
    }
    BOOST_TEST(taken.size() >= 400U);
}

// Guards against refusals by egresses that use up the retries or the budget of a call, and against
// an endless sequence of refusals.
BOOST_FIXTURE_TEST_CASE(refusals_before_the_upstream_use_no_retry, retry_fixture) {
    retry_budget none{{.share = 0, .minimum_per_second = 0}};
    call_attempts attempts = call_with(false);
    for (int i = 0; i < 16; ++i) {
        BOOST_TEST(retries(this->policy.decide(attempts, attempt_end::refused, none, start)));
    }
    BOOST_TEST(gives_up(this->policy.decide(attempts, attempt_end::refused, none, start),
                        give_up_reason::retries_used, call_outcome::not_run));
    BOOST_TEST(attempts.retries == 0U);
}

// Guards against a call that is sent to more upstreams than its route allows.
BOOST_FIXTURE_TEST_CASE(max_attempts_bounds_the_upstreams_of_a_call, retry_fixture) {
    call_attempts attempts = call_with(true);
    attempts.max_attempts = 2;
    BOOST_TEST(retries(this->decide(attempts, attempt_end::not_run_reply)));
    BOOST_TEST(gives_up(this->decide(attempts, attempt_end::not_run_reply),
                        give_up_reason::retries_used, call_outcome::not_run));
    call_attempts once = call_with(true);
    once.max_attempts = 1;
    BOOST_TEST(gives_up(this->decide(once, attempt_end::unknown_reply),
                        give_up_reason::retries_used, call_outcome::unknown));
}

// Guards against a metric that differs from the number of retries that take() allows.
BOOST_AUTO_TEST_CASE(left_is_the_number_of_retries_that_take_allows) {
    for (std::uint32_t minimum : {0U, 3U}) {
        retry_budget budget({.share = 0.2, .minimum_per_second = minimum, .slack = 2.5});
        mono_time now = start;
        for (int second = 0; second < 15; ++second, now += std::chrono::seconds(1)) {
            for (int call = 0; call < second % 7; ++call) {
                budget.count_call(now);
            }
            double promised = budget.left(now);
            double taken = 0;
            while (budget.take(now) != retry_allowance::none) {
                ++taken;
            }
            BOOST_TEST(promised == taken);
            BOOST_TEST(budget.left(now) == 0);
        }
    }
}

}  // namespace trefoil::routing
