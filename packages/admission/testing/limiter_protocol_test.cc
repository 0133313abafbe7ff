// Tests of single rules of the fleet-wide limits, with messages and times set by hand. Each rule is
// shown to be needed: with the rule switched off the same messages give an excess.

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

// The home of "w" and what it sent last. The workspace has rate 200 and burst 20.
class hand_driven {
public:
    explicit hand_driven(const std::string& self, int shares, const limit_faults& faults = {},
                         std::uint64_t incarnation = 1)
        : limiter({.incarnation = incarnation, .faults = faults}, this->now) {
        this->limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, shares, this->now);
        this->limiter.set_members(self, {self});
    }

    // Moves time in steps as the daemon's timer does.
    void pass(mono_duration duration) {
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

    // Admits calls until one is refused or waits.
    int drain() {
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

token_request wants(std::uint64_t round, double now_count, double ahead = 0) {
    token_request request;
    request.round = round;
    request.workspace = "w";
    request.wanted_now = now_count;
    request.wanted_ahead = ahead;
    return request;
}

token_request returns(std::uint64_t batch, double returned) {
    token_request request = wants(99, 0);
    request.settlements.push_back({.batch = batch, .spent = 0, .returned = returned});
    return request;
}

// Admissions at once of a home whose holder returns 5 tokens after the home gave up the batch.
int admitted_after_late_return(const limit_faults& faults) {
    hand_driven home("home", 1, faults);
    home.pass(seconds(6));
    home.granted("holder", wants(7, 5));
    std::uint64_t batch = home.last<token_grant>().batch;
    home.pass(milliseconds(700));
    int admitted = home.drain();
    home.receive("holder", returns(batch, 5));
    return admitted + home.drain();
}

// Tokens that can be spent at once after the loan of one of two shares ended: those that a holder
// got just before the end and those that the lender's share accrued since.
double spendable_after_loan_end(const limit_faults& faults) {
    hand_driven home("home", 2, faults, 1);
    hand_driven lender("lender", 2, faults, 2);
    home.pass(milliseconds(4000));
    lender.pass(milliseconds(4010));
    home.limiter.set_members("home", {"home", "lender"});
    lender.limiter.set_members("lender", {"home"});
    home.pass(milliseconds(10));
    lender.receive("home", home.last<loan_request>());
    home.receive("lender", lender.last<loan_grant>());
    mono_time lent = home.now;
    home.pass(milliseconds(3900));
    double held = home.granted("holder", wants(7, 20));
    mono_duration held_for = milliseconds(450);
    lender.now = home.now;
    home.pass(held_for);
    lender.pass(held_for);
    BOOST_TEST_REQUIRE((lender.now - lent > seconds(4)));
    return held + lender.drain() + home.drain();
}

// Tokens that can be spent at once after a home granted its whole cap, died and came back.
double spendable_after_home_restart(const limit_faults& faults) {
    hand_driven home("home", 2, faults, 1);
    hand_driven lender("lender", 2, faults, 2);
    home.pass(milliseconds(4000));
    lender.pass(milliseconds(4010));
    home.limiter.set_members("home", {"home", "lender"});
    lender.limiter.set_members("lender", {"home"});
    home.pass(milliseconds(10));
    lender.receive("home", home.last<loan_request>());
    home.receive("lender", lender.last<loan_grant>());
    home.pass(seconds(1));
    double held = home.granted("holder", wants(7, 20));
    BOOST_TEST(held == 20);
    lender.pass(seconds(1));
    hand_driven replacement("home", 2, faults, 3);
    replacement.limiter.set_members("home", {"home", "lender"});
    replacement.pass(milliseconds(10));
    lender.receive("home", replacement.last<loan_request>());
    replacement.receive("lender", lender.last<loan_grant>());
    replacement.pass(milliseconds(300));
    return held + replacement.drain();
}

// Excess of a home that was full when its loans ended, after the lenders' shares filled again.
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

// Excess of a fleet in which a holder of tokens is paused for longer than their life. Its first
// calls after the pause come before its timer runs.
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

// Excess of one instance with a fast clock under constant overload.
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

// Guards against tokens of an expired batch that come back into a pool that already refilled.
BOOST_AUTO_TEST_CASE(late_settlement_returns_nothing) {
    BOOST_TEST(admitted_after_late_return({}) == 20);
    BOOST_TEST(admitted_after_late_return({.count_settled_twice = true}) > 20);
}

// Guards against batches that are spent while the lender's share accrues again.
BOOST_AUTO_TEST_CASE(no_batch_outlives_the_loan_behind_it) {
    BOOST_TEST(spendable_after_loan_end({}) <= 20);
    BOOST_TEST(spendable_after_loan_end({.batches_outlive_loans = true}) > 20);
}

// Guards against a restarted home that accrues while batches of its predecessor are in use.
BOOST_AUTO_TEST_CASE(restarted_home_does_not_take_over_loans) {
    BOOST_TEST(spendable_after_home_restart({}) <= 20);
    BOOST_TEST(spendable_after_home_restart({.ignore_borrower_restart = true}) > 20);
}

// Guards against a former home that keeps tokens of shares that went back.
BOOST_AUTO_TEST_CASE(tokens_are_cut_when_loans_end) {
    BOOST_TEST(excess_after_cut({}) <= tolerance);
    BOOST_TEST(excess_after_cut({.keep_tokens_at_loan_end = true}) > 1);
}

// Guards against a process that spends tokens from before a pause.
BOOST_AUTO_TEST_CASE(tokens_expire_during_a_pause) {
    BOOST_TEST(excess_after_pause({}) <= tolerance);
    BOOST_TEST(excess_after_pause({.ignore_batch_expiry = true}) > 1);
}

// Guards against a fast clock that accrues more than the rate in true time.
BOOST_AUTO_TEST_CASE(fast_clocks_stay_within_the_rate) {
    BOOST_TEST(excess_with_fast_clock({}) <= tolerance);
    BOOST_TEST(excess_with_fast_clock({.ignore_clock_error = true}) > 1);
}

// Guards against a share that is returned twice, which would double its tokens.
BOOST_AUTO_TEST_CASE(copies_of_a_release_end_no_later_loan) {
    hand_driven lender("lender", 2);
    lender.limiter.set_members("lender", {"home"});
    lender.pass(seconds(6));
    loan_request request;
    request.round = 5;
    request.workspaces = {"w"};
    lender.receive("home", request);
    messages::loan first = lender.last<loan_grant>().loans.at(0);
    BOOST_TEST(first.tokens > 9.9);
    loan_request release;
    release.releases = {{.workspace = "w", .loan = first.id, .tokens = first.tokens}};
    lender.receive("home", release);
    BOOST_TEST(lender.drain() == 10);
    lender.receive("home", release);
    BOOST_TEST(lender.drain() == 0);
    request.round = 6;
    lender.receive("home", request);
    lender.receive("home", release);
    BOOST_TEST(lender.drain() == 0);
}

// Guards against a second batch for a request that the network delivered twice, and against an
// answer that counts twice at the holder.
BOOST_AUTO_TEST_CASE(copies_of_requests_and_answers_change_nothing) {
    hand_driven home("home", 1);
    home.pass(seconds(6));
    home.granted("holder", wants(7, 5));
    std::size_t sent = home.out.messages.size();
    home.receive("holder", wants(7, 5));
    BOOST_TEST(home.out.messages.size() == sent);

    hand_driven holder("holder", 1);
    holder.limiter.set_members("holder", {"home"});
    holder.limiter.try_admit("w", 1, holder.now, holder.out);
    token_grant grant{.round = holder.last<token_request>().round, .workspace = "w"};
    grant.batch = 3;
    grant.tokens = 4;
    grant.life_ms = 500;
    holder.receive("home", grant);
    holder.receive("home", grant);
    BOOST_TEST(holder.out.decisions.size() == 1U);
    BOOST_TEST(holder.drain() == 3);
}

// Guards against a smaller max_instances that applies while loans of removed instances are in use,
// and against a larger one that waits.
BOOST_AUTO_TEST_CASE(shares_grow_late_and_shrink_at_once) {
    hand_driven single("home", 4);
    single.pass(seconds(6));
    single.limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, 1, single.now);
    single.pass(milliseconds(7990));
    BOOST_TEST(single.drain() == 5);
    single.pass(seconds(1));
    BOOST_TEST(single.drain() == 20);
    single.pass(seconds(1));
    single.limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, 2, single.now);
    BOOST_TEST(single.drain() == 10);
}

// Guards against a workspace that is removed and added again while its share is lent.
BOOST_AUTO_TEST_CASE(removed_workspace_remembers_its_loan) {
    hand_driven lender("lender", 2);
    lender.limiter.set_members("lender", {"home"});
    lender.pass(seconds(6));
    loan_request request;
    request.round = 5;
    request.workspaces = {"w"};
    lender.receive("home", request);
    lender.limiter.set_limits({}, 2, lender.now);
    lender.pass(seconds(1));
    lender.limiter.set_limits({{.workspace = "w", .rate = 200, .burst = 20}}, 2, lender.now);
    lender.pass(seconds(1));
    BOOST_TEST(lender.drain() == 0);
}

// Guards against a call that waits for longer than its bound when the home does not answer.
BOOST_AUTO_TEST_CASE(waiting_is_bounded) {
    hand_driven holder("holder", 2);
    holder.limiter.set_members("holder", {"home"});
    BOOST_TEST((holder.limiter.try_admit("w", 8, holder.now, holder.out) == admit_result::wait));
    holder.pass(milliseconds(40));
    BOOST_TEST(holder.out.decisions.empty());
    holder.pass(milliseconds(10));
    BOOST_TEST_REQUIRE(holder.out.decisions.size() == 1U);
    BOOST_TEST((holder.out.decisions[0] == wait_decision{.call = 8, .admitted = false}));
}

}  // namespace trefoil::admission
