// Tests of the share of calls that leave their failure domain, in a simulation of 81 daemons and 38
// upstreams in 3 domains whose speeds differ by a factor of 2.3 (overflow_simulation.h).

#define BOOST_TEST_MODULE routing_domain_overflow
#include "routing/domain_overflow.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numbers>

#include "routing/testing/overflow_simulation.h"

namespace trefoil::routing {

namespace {

overflow_simulation play(const overflow_load& load, const domain_overflow_options& options = {},
                         std::uint64_t seed = 1) {
    overflow_simulation run(load, options, seed);
    run.run();
    return run;
}

overflow_load one_domain_full() {
    return {.seconds = 40,
            .demand = [](std::size_t domain, double) { return domain == 0 ? 1.4 : 0.4; }};
}

overflow_load waves() {
    return {.demand = [](std::size_t domain, double second) {
        double phase = static_cast<double>(domain) / 3;
        return 0.7 + 0.55 * std::sin(2 * std::numbers::pi * (second / 40 + phase));
    }};
}

overflow_load domain_leaves_and_returns(domain_event event) {
    return {.seconds = 70,
            .demand = [](std::size_t, double) { return 0.5; },
            .events = {{15, 0, event}, {30, 0, domain_event::returns_cold}}};
}

// Number of times that the mean share of the domain moves by more than 0.1 in one direction after
// it did so in the other one.
int reversals(const overflow_simulation& run, std::size_t domain) {
    int count = 0;
    int direction = 0;
    double extreme = 0;
    for (std::size_t second = 0; second < run.shares.size(); ++second) {
        double share = run.share_of(domain, second);
        if (std::abs(share - extreme) > 0.1) {
            int now = share > extreme ? 1 : -1;
            count += direction != 0 && now != direction ? 1 : 0;
            direction = now;
            extreme = share;
        } else if ((share - extreme) * direction > 0) {
            extreme = share;
        }
    }
    return count;
}

}  // namespace

// Load pattern: demand of 1.4 times the capacity in one domain and 0.4 times in the others.
BOOST_AUTO_TEST_CASE(a_full_domain_sends_what_it_cannot_serve) {
    overflow_simulation run = play(one_domain_full());
    BOOST_TEST(run.of_domain(0, 10, 40).in_time_share() > 0.98);
    BOOST_TEST(run.of_domain(1, 10, 40).in_time_share() > 0.98);
    // 1 - 0.7 / 1.4 would suffice for the lower threshold; the domains that have room stay.
    BOOST_TEST(run.share_of(0, 38) > 0.2);
    BOOST_TEST(run.share_of(0, 38) < 0.55);
    BOOST_TEST(run.share_of(1, 38) < 0.15);
    BOOST_TEST(run.share_of(2, 38) < 0.15);
    overflow_simulation stays = play(one_domain_full(), {.limit = 0});
    BOOST_TEST(stays.of_domain(0, 10, 40).in_time_share() < 0.6);
}

// Load pattern: demand of 1.2 times the capacity in all domains.
BOOST_AUTO_TEST_CASE(calls_stay_when_all_domains_are_full) {
    overflow_simulation run =
        play({.seconds = 40, .demand = [](std::size_t, double) { return 1.2; }});
    BOOST_TEST(run.all(10).crossed_share() < 0.15);
    for (std::size_t domain = 0; domain < 3; ++domain) {
        BOOST_TEST(run.share_of(domain, 38) < 0.1);
    }
}

// Load pattern: demand of 0.45 times the capacity in all domains.
BOOST_AUTO_TEST_CASE(calls_stay_when_all_domains_have_room) {
    overflow_simulation run =
        play({.seconds = 30, .demand = [](std::size_t, double) { return 0.45; }});
    BOOST_TEST(run.all().crossed_share() < 0.01);
}

// Load pattern: waves of demand of 0.15 to 1.25 times the capacity, with another phase in each
// domain. The share follows the wave of 40 s, which has three turns in 60 s, and does not flap.
BOOST_AUTO_TEST_CASE(the_share_follows_waves_of_demand) {
    for (std::uint64_t seed : {1, 2}) {
        overflow_simulation run = play(waves(), {}, seed);
        BOOST_TEST(run.all(5).in_time_share() > 0.98);
        BOOST_TEST(run.all(5).crossed_share() < 0.3);
        for (std::size_t domain = 0; domain < 3; ++domain) {
            BOOST_TEST(reversals(run, domain) <= 4);
        }
    }
}

// Guards against steps that all daemons make together: no share changes by more than the maximum
// speed allows, and in each second of a rise some daemons lag behind others.
BOOST_AUTO_TEST_CASE(daemons_do_not_move_in_step) {
    overflow_simulation run = play(waves());
    double max_step = domain_overflow_options{}.rise_per_s * 1.5 * 1.5;
    for (std::size_t second = 1; second < run.shares.size(); ++second) {
        for (std::size_t index = 0; index < run.shares[second].size(); ++index) {
            double step = run.shares[second][index] - run.shares[second - 1][index];
            BOOST_TEST(std::abs(step) <= max_step);
        }
        for (std::size_t domain = 0; domain < 3; ++domain) {
            double mean = run.share_of(domain, second);
            if (mean < 0.1) {
                continue;
            }
            double squares = 0;
            for (std::size_t index = 0; index < run.daemons_each(); ++index) {
                double share = run.shares[second][domain * run.daemons_each() + index];
                squares += (share - mean) * (share - mean);
            }
            double deviation = std::sqrt(squares / static_cast<double>(run.daemons_each()));
            BOOST_TEST(deviation > 0.01);
        }
    }
}

// Load patterns: at 0.5 of the capacity, a domain is lost or taken out by operators, and returns
// cold after 15 s.
BOOST_AUTO_TEST_CASE(calls_leave_a_domain_that_is_gone_and_return_gradually) {
    for (domain_event event : {domain_event::lost, domain_event::taken_out}) {
        overflow_simulation run = play(domain_leaves_and_returns(event));
        BOOST_TEST(run.share_of(0, 12) < 0.1);
        BOOST_TEST(run.of_domain(0, 16, 30).in_time_share() > 0.93);
        BOOST_TEST(run.share_of(0, 18) > 0.9);
        BOOST_TEST(run.share_of(0, 31) > 0.5);
        BOOST_TEST(run.of_domain(0, 30, 45).in_time_share() > 0.95);
        BOOST_TEST(run.share_of(0, 68) < 0.1);
    }
}

// Load pattern: one domain full, with bounds by operators.
BOOST_AUTO_TEST_CASE(operators_bound_the_share) {
    overflow_simulation run = play(one_domain_full(), {.floor = 0.1, .limit = 0.2});
    for (const auto& shares : run.shares) {
        for (double share : shares) {
            BOOST_TEST((share >= 0.1 && share <= 0.2));
        }
    }
    BOOST_TEST(run.of_domain(0, 5, 40).crossed_share() < 0.22);
    BOOST_TEST(run.of_domain(1, 5, 40).crossed_share() > 0.08);
    BOOST_TEST(play(one_domain_full(), {.limit = 0}).all().crossed == 0U);
}

// Load pattern: one domain full, and a way to the others and back that takes longer than the
// objective of one kind of call, or of both.
BOOST_AUTO_TEST_CASE(a_way_that_costs_the_objective_is_not_taken) {
    overflow_load far = one_domain_full();
    far.one_way_s = 0.2;
    overflow_simulation run = play(far);
    BOOST_TEST(run.by_kind["status"].crossed_share() < 0.02);
    BOOST_TEST(run.by_kind["lookup"].crossed_share() > 0.1);
    far.one_way_s = 0.35;
    BOOST_TEST(play(far).all(10).crossed_share() < 0.01);
}

}  // namespace trefoil::routing
