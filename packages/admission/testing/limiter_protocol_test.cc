// Tests of single rules of the limits by loaned shares, with explicit messages and times. Where a
// rule can be disabled by limit_faults, the same messages must then show an excess.

#define BOOST_TEST_MODULE limiter_protocol
#include <boost/test/unit_test.hpp>

#include "admission/rate_limiter.h"
#include "admission/testing/limiter_fleet.h"

namespace trefoil::admission {

namespace {

using messages::loan_grant;
using messages::loan_request;
using messages::token_grant;
using messages::token_request;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double tolerance = 1e-6;

// A limiter of workspace "w" with rate 200 and burst 20, and its output.
class manual_limiter {
public:
    explicit manual_limiter(const std::string& self, int shares, const limit_faults& faults = {},
                            std::uint64_t incarnation = 1)
        : limiter({.incarnation = incarnation, .faults = faults}, this->now) {
        this->limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, shares, this->now);
        this->limiter.set_members(self, {self});
    }

    // Advances time in steps with a tick after each, as the timer of the daemon does.
    void advance_time(mono_duration duration) {
        mono_time end = this->now + duration;
        while (this->now < end) {
            this->now = std::min(end, this->now + milliseconds(10));
            this->limiter.tick(this->now, this->out);
        }
    }

    template <class Message>
    Message last() const {
        for (auto each = this->out.messages.rbegin(); each != this->out.messages.rend(); ++each) {
            if (auto* found = std::get_if<Message>(&each->message)) {
                return *found;
            }
        }
        return {};
    }

    void receive(const std::string& from, const messages::peer_message& message) {
        this->limiter.on_message(from, message, this->now, this->out);
    }

    double granted(const std::string& holder, const token_request& request) {
        this->receive(holder, request);
        token_grant grant = this->last<token_grant>();
        return grant.round == request.round ? grant.tokens : 0;
    }

    // Sends calls until one is refused or waits, and returns the number of admitted ones.
    int admit_until_refused() {
        int count = 0;
        while (this->limiter.try_admit("w", 1, this->now, this->out) == admit_result::admitted) {
            ++count;
        }
        return count;
    }

    mono_time now = mono_time(seconds(100));
    rate_limiter limiter;
    limiter_output out;
};

token_request make_request(std::uint64_t round, double now_count, double prefetch_count = 0) {
    token_request request;
    request.round = round;
    request.workspace = "w";
    request.wanted_now = now_count;
    request.wanted_prefetch = prefetch_count;
    return request;
}

token_request make_return(std::uint64_t batch, double returned) {
    token_request request = make_request(99, 0);
    request.settlements.push_back({.batch = batch, .spent = 0, .returned = returned});
    return request;
}

// Number of immediate admissions at a home whose holder returns 5 tokens of a batch that has
// expired.
int admitted_after_late_return(const limit_faults& faults) {
    manual_limiter home("home", 1, faults);
    home.advance_time(seconds(6));
    home.granted("holder", make_request(7, 5));
    std::uint64_t batch = home.last<token_grant>().batch;
    home.advance_time(milliseconds(700));
    int admitted = home.admit_until_refused();
    home.receive("holder", make_return(batch, 5));
    return admitted + home.admit_until_refused();
}

// Tokens that can be spent immediately after the loan of one of two shares ended: those granted to
// a holder just before the end, and those that the lender and the home then have.
double spendable_after_loan_end(const limit_faults& faults) {
    manual_limiter home("home", 2, faults, 1);
    manual_limiter lender("lender", 2, faults, 2);
    home.advance_time(milliseconds(4000));
    lender.advance_time(milliseconds(4010));
    home.limiter.set_members("home", {"home", "lender"});
    lender.limiter.set_members("lender", {"home"});
    home.advance_time(milliseconds(10));
    lender.receive("home", home.last<loan_request>());
    home.receive("lender", lender.last<loan_grant>());
    mono_time lent = home.now;
    home.advance_time(milliseconds(3900));
    double held = home.granted("holder", make_request(7, 20));
    mono_duration held_for = milliseconds(450);
    lender.now = home.now;
    home.advance_time(held_for);
    lender.advance_time(held_for);
    BOOST_TEST_REQUIRE((lender.now - lent > seconds(4)));
    return held + lender.admit_until_refused() + home.admit_until_refused();
}

// Tokens that can be spent immediately after a home granted its whole cap, died and restarted.
double spendable_after_home_restart(const limit_faults& faults) {
    manual_limiter home("home", 2, faults, 1);
    manual_limiter lender("lender", 2, faults, 2);
    home.advance_time(milliseconds(4000));
    lender.advance_time(milliseconds(4010));
    home.limiter.set_members("home", {"home", "lender"});
    lender.limiter.set_members("lender", {"home"});
    home.advance_time(milliseconds(10));
    lender.receive("home", home.last<loan_request>());
    home.receive("lender", lender.last<loan_grant>());
    home.advance_time(seconds(1));
    double held = home.granted("holder", make_request(7, 20));
    BOOST_TEST(held == 20);
    lender.advance_time(seconds(1));
    manual_limiter replacement("home", 2, faults, 3);
    replacement.limiter.set_members("home", {"home", "lender"});
    replacement.advance_time(milliseconds(10));
    lender.receive("home", replacement.last<loan_request>());
    replacement.receive("lender", lender.last<loan_grant>());
    replacement.advance_time(milliseconds(300));
    return held + replacement.admit_until_refused();
}

// Excess after the loans of a home with a full bucket ended and the shares of the lenders refilled.
double excess_after_cut(const limit_faults& faults) {
    std::vector<workspace_limit> limits = {{.workspace = "w", .rate = 20, .burst = 40}};
    limiter_fleet fleet(
        {.instances = 4, .max_instances = 4, .limits = limits, .seed = 3, .faults = faults});
    auto run_for = [&](mono_duration duration) {
        for (mono_time end = fleet.now() + duration; fleet.now() < end;) {
            fleet.step();
        }
    };
    run_for(seconds(12));
    for (int i = 0; i < 4; ++i) {
        fleet.set_group(i, i);
    }
    run_for(seconds(12));
    for (int call = 0; call < 160; ++call) {
        fleet.call(call % 4, "w");
    }
    return fleet.excess("w");
}

// Excess of a fleet in which a holder of tokens is paused for longer than their lifetime. Its first
// calls after the pause arrive before its timer runs.
double excess_after_pause(const limit_faults& faults) {
    std::vector<workspace_limit> limits = {{.workspace = "w", .rate = 400, .burst = 400}};
    limiter_fleet fleet(
        {.instances = 2, .max_instances = 2, .limits = limits, .seed = 4, .faults = faults});
    auto run_for = [&](mono_duration duration, bool calls) {
        int step = 0;
        for (mono_time end = fleet.now() + duration; fleet.now() < end; ++step) {
            fleet.step();
            if (calls && step % 10 == 0) {
                fleet.call(0, "w");
                fleet.call(1, "w");
            }
        }
    };
    run_for(seconds(12), true);
    int home = fleet.limiter(0).inspect("w")->is_home ? 0 : 1;
    int holder = 1 - home;
    fleet.pause(holder, fleet.now() + seconds(2), false);
    run_for(seconds(1), false);
    for (int i = 0; i < 400; ++i) {
        fleet.call(home, "w");
    }
    for (int i = 0; i < 400; ++i) {
        fleet.call(holder, "w");
    }
    return fleet.excess("w");
}

// Excess of an instance with a fast clock under constant overload.
double excess_with_fast_clock(const limit_faults& faults) {
    std::vector<workspace_limit> limits = {{.workspace = "w", .rate = 100, .burst = 20}};
    double largest = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        limiter_fleet fleet({.instances = 1,
                             .max_instances = 1,
                             .limits = limits,
                             .seed = seed,
                             .faults = faults,
                             .max_clock_drift = 0.01});
        for (int step = 0; step < 40000; ++step) {
            fleet.step();
            fleet.call(0, "w");
        }
        largest = std::max(largest, fleet.excess("w"));
    }
    return largest;
}

}  // namespace

// Guards against tokens of an expired batch that return to a pool that has already refilled.
BOOST_AUTO_TEST_CASE(late_settlement_returns_nothing) {
    BOOST_TEST(admitted_after_late_return({}) == 20);
    BOOST_TEST(admitted_after_late_return({.count_settled_twice = true}) > 20);
}

// Guards against batches that are spent while the share of the lender accrues tokens again.
BOOST_AUTO_TEST_CASE(batches_expire_before_their_loan) {
    BOOST_TEST(spendable_after_loan_end({}) <= 20);
    BOOST_TEST(spendable_after_loan_end({.batches_outlive_loans = true}) > 20);
}

// Guards against a restarted home that accrues tokens while batches of the previous process are in
// use.
BOOST_AUTO_TEST_CASE(restarted_home_does_not_inherit_loans) {
    BOOST_TEST(spendable_after_home_restart({}) <= 20);
    BOOST_TEST(spendable_after_home_restart({.ignore_borrower_restart = true}) > 20);
}

// Guards against a home that keeps the tokens of shares whose loans have ended.
BOOST_AUTO_TEST_CASE(tokens_above_the_cap_are_dropped_when_loans_end) {
    BOOST_TEST(excess_after_cut({}) <= tolerance);
    BOOST_TEST(excess_after_cut({.keep_tokens_at_loan_end = true}) > 1);
}

// Guards against a process that spends tokens that expired during a pause.
BOOST_AUTO_TEST_CASE(tokens_expire_during_a_pause) {
    BOOST_TEST(excess_after_pause({}) <= tolerance);
    BOOST_TEST(excess_after_pause({.ignore_batch_expiry = true}) > 1);
}

// Guards against a fast clock that accrues more tokens than the rate allows in true time.
BOOST_AUTO_TEST_CASE(fast_clocks_stay_within_the_rate) {
    BOOST_TEST(excess_with_fast_clock({}) <= tolerance);
    BOOST_TEST(excess_with_fast_clock({.ignore_clock_drift = true}) > 1);
}

// Guards against a duplicate release of a share, which would double its tokens.
BOOST_AUTO_TEST_CASE(duplicate_release_does_not_end_a_later_loan) {
    manual_limiter lender("lender", 2);
    lender.limiter.set_members("lender", {"home"});
    lender.advance_time(seconds(6));
    loan_request request;
    request.round = 5;
    request.workspaces = {"w"};
    lender.receive("home", request);
    messages::loan first = lender.last<loan_grant>().loans.at(0);
    BOOST_TEST(first.tokens > 9.9);
    loan_request release;
    release.releases = {{.workspace = "w", .loan = first.id, .tokens = first.tokens}};
    lender.receive("home", release);
    BOOST_TEST(lender.admit_until_refused() == 10);
    lender.receive("home", release);
    BOOST_TEST(lender.admit_until_refused() == 0);
    request.round = 6;
    lender.receive("home", request);
    lender.receive("home", release);
    BOOST_TEST(lender.admit_until_refused() == 0);
}

// Guards against a second batch for a duplicate request, and against a duplicate grant that is
// counted twice at the holder.
BOOST_AUTO_TEST_CASE(duplicate_requests_and_grants_have_no_effect) {
    manual_limiter home("home", 1);
    home.advance_time(seconds(6));
    home.granted("holder", make_request(7, 5));
    std::size_t sent = home.out.messages.size();
    home.receive("holder", make_request(7, 5));
    BOOST_TEST(home.out.messages.size() == sent);

    manual_limiter holder("holder", 1);
    holder.limiter.set_members("holder", {"home"});
    holder.limiter.try_admit("w", 1, holder.now, holder.out);
    token_grant grant{.round = holder.last<token_request>().round, .workspace = "w"};
    grant.batch = 3;
    grant.tokens = 4;
    grant.lifetime_ms = 500;
    holder.receive("home", grant);
    holder.receive("home", grant);
    BOOST_TEST(holder.out.decisions.size() == 1U);
    BOOST_TEST(holder.admit_until_refused() == 3);
}

// Guards against a smaller max_instances that enlarges shares while loans of removed instances are
// in use, and against a larger one that is delayed.
BOOST_AUTO_TEST_CASE(shares_grow_after_a_delay_and_shrink_at_once) {
    manual_limiter single("home", 4);
    single.advance_time(seconds(6));
    single.limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, 1, single.now);
    single.advance_time(milliseconds(7990));
    BOOST_TEST(single.admit_until_refused() == 5);
    single.advance_time(seconds(1));
    BOOST_TEST(single.admit_until_refused() == 20);
    single.advance_time(seconds(1));
    single.limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, 2, single.now);
    BOOST_TEST(single.admit_until_refused() == 10);
}

// Guards against a usable share of a workspace that was removed and added again while the share is
// lent.
BOOST_AUTO_TEST_CASE(removed_workspace_keeps_its_loan) {
    manual_limiter lender("lender", 2);
    lender.limiter.set_members("lender", {"home"});
    lender.advance_time(seconds(6));
    loan_request request;
    request.round = 5;
    request.workspaces = {"w"};
    lender.receive("home", request);
    lender.limiter.set_limits({}, 2, lender.now);
    lender.advance_time(seconds(1));
    lender.limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, 2, lender.now);
    lender.advance_time(seconds(1));
    BOOST_TEST(lender.admit_until_refused() == 0);
}

// Guards against a call that waits longer than `max_wait` when the home does not answer.
BOOST_AUTO_TEST_CASE(waiting_calls_are_refused_after_the_maximum_wait) {
    manual_limiter holder("holder", 2);
    holder.limiter.set_members("holder", {"home"});
    BOOST_TEST((holder.limiter.try_admit("w", 8, holder.now, holder.out) == admit_result::wait));
    holder.advance_time(milliseconds(40));
    BOOST_TEST(holder.out.decisions.empty());
    holder.advance_time(milliseconds(10));
    BOOST_TEST_REQUIRE(holder.out.decisions.size() == 1U);
    BOOST_TEST((holder.out.decisions[0] == wait_decision{.call = 8, .admitted = false}));
}

}  // namespace trefoil::admission
