// Tests of the limiter whose shares follow demand, in a simulated fleet. The checked bound for any
// window is (rate * window + burst) * (1 + overage) + slack.

#define BOOST_TEST_MODULE admission_demand_limiter
#include "admission/demand_limiter.h"

#include <boost/test/unit_test.hpp>

#include "admission/testing/demand_fleet.h"

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr limit_tolerance tolerance{.window = seconds(5), .overage = 0.25, .slack = 20};

demand_fleet_options options_with(std::uint64_t seed) {
    return {.limiter = {.tolerance = tolerance}, .seed = seed};
}

std::size_t allowed(const workspace_limit& limit) {
    return static_cast<std::size_t>((limit.rate * 5 + limit.burst) * (1 + tolerance.overage) +
                                    tolerance.slack);
}

// Number of refusals when each daemon has a bucket with an even part of rate and burst, for
// comparison.
int refused_by_even_shares(const demand_fleet_options& setup, double per_second,
                           const std::vector<int>& targets, int duration_s) {
    seeded_random random(setup.seed);
    std::vector<double> tokens(setup.daemons, setup.limit.burst / setup.daemons);
    double share = setup.limit.rate / setup.daemons;
    int refused = 0;
    for (int ms = 0; ms < duration_s * 1000; ++ms) {
        for (double& each : tokens) {
            each = std::min(std::max(1.0, setup.limit.burst / setup.daemons), each + share / 1000);
        }
        if (random.uniform() < per_second / 1000) {
            double& target = tokens[targets[random.below(targets.size())]];
            bool admitted = target >= 1;
            target -= admitted ? 1 : 0;
            refused += admitted ? 0 : 1;
        }
    }
    return refused;
}

}  // namespace

// Guards against refusals of a workspace within its rate whose callers use a few daemons only. Even
// shares refuse most of its calls.
BOOST_AUTO_TEST_CASE(a_workspace_within_its_rate_is_not_refused_with_skewed_callers) {
    for (std::uint64_t seed : {1, 2, 3}) {
        for (const std::vector<int>& targets : {std::vector<int>{0}, std::vector<int>{0, 5, 7}}) {
            demand_fleet_options setup = options_with(seed);
            demand_fleet fleet(setup);
            fleet.load(37, targets, seconds(3));  // Until the demand is known.
            auto [refused, calls] = fleet.load(37, targets, seconds(20));
            int even = refused_by_even_shares(setup, 37, targets, 20);
            BOOST_TEST_MESSAGE("refused " << refused << " of " << calls << ", even shares "
                                          << even);
            BOOST_TEST(refused * 100 <= calls);
            BOOST_TEST(even * 2 >= calls);
        }
    }
}

// Guards against refusals of a small workspace within its rate whose callers are spread over all
// daemons. Each daemon receives less than one request per second, but occasionally several in a
// row.
BOOST_AUTO_TEST_CASE(a_small_workspace_within_its_rate_is_not_refused_with_spread_callers) {
    for (std::uint64_t seed : {1, 2, 3}) {
        for (double rate : {11.0, 25.0, 60.0}) {
            demand_fleet_options setup = options_with(seed);
            setup.limit.rate = rate;
            setup.limit.burst = rate;
            demand_fleet fleet(setup);
            fleet.load(rate / 1.6, fleet.all(), seconds(3));  // Until the demand is known.
            auto [refused, calls] = fleet.load(rate / 1.6, fleet.all(), seconds(60));
            BOOST_TEST_MESSAGE("rate " << rate << ": refused " << refused << " of " << calls);
            BOOST_TEST(refused * 100 <= calls);
        }
    }
}

// Guards against refusals of a very small workspace within its rate whose callers are spread over
// all daemons. Each daemon receives less than half a request per second.
BOOST_AUTO_TEST_CASE(a_very_small_workspace_within_its_rate_is_not_refused_with_spread_callers) {
    for (std::uint64_t seed : {1, 2, 3}) {
        demand_fleet_options setup = options_with(seed);
        setup.limit.rate = 6;
        setup.limit.burst = 6;
        demand_fleet fleet(setup);
        fleet.load(6 / 1.6, fleet.all(), seconds(3));
        auto [refused, calls] = fleet.load(6 / 1.6, fleet.all(), seconds(60));
        BOOST_TEST_MESSAGE("refused " << refused << " of " << calls);
        BOOST_TEST(refused * 100 <= calls);
    }
}

// Guards against minimum demands of many idle daemons whose sum looks like a demand above the rate,
// which would reduce the shares of the daemons that receive the requests.
BOOST_AUTO_TEST_CASE(idle_daemons_do_not_report_a_demand_above_the_rate) {
    demand_fleet_options setup = options_with(1);
    setup.daemons = 91;
    setup.domains = 4;
    setup.limit.rate = 14;
    setup.limit.burst = 14;
    demand_fleet fleet(setup);
    fleet.load(7, {0}, seconds(20));
    auto seen = fleet.inspect(0);
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(seen->total <= setup.limit.rate);
    BOOST_TEST(seen->share >= seen->demand);
}

// Guards against an excess when a workspace suddenly sends many times its rate to all daemons.
BOOST_AUTO_TEST_CASE(a_sudden_rise_at_all_daemons_stays_within_the_tolerance) {
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        for (double burst : {60.0, 12.0}) {
            demand_fleet_options setup = options_with(seed);
            setup.limit.burst = burst;
            demand_fleet fleet(setup);
            fleet.load(37, fleet.all(), seconds(8));
            fleet.load(37 * 8, fleet.all(), seconds(9));
            fleet.load(37, fleet.all(), seconds(3));
            fleet.load(37 * 8, fleet.all(), seconds(9));
            BOOST_TEST(fleet.max_admissions_in(seconds(5)) <= allowed(setup.limit));
            // The limit must be used: at least the rate itself.
            BOOST_TEST(fleet.max_admissions_in(seconds(5)) >= setup.limit.rate * 5);
        }
    }
}

// Guards against two partitions that each use the whole rate, also around the time of the partition
// and of its end.
BOOST_AUTO_TEST_CASE(partitions_share_the_rate) {
    for (std::uint64_t seed : {1, 2, 3, 4}) {
        for (int cut : {1, 4, 6}) {
            demand_fleet_options setup = options_with(seed);
            demand_fleet fleet(setup);
            fleet.load(300, fleet.all(), seconds(6));
            for (int i = 0; i < cut; ++i) {
                fleet.set_group(i, 1);
            }
            fleet.load(300, fleet.all(), seconds(9));
            for (int i = 0; i < cut; ++i) {
                fleet.set_group(i, 0);
            }
            fleet.load(300, fleet.all(), seconds(6));
            BOOST_TEST(fleet.max_admissions_in(seconds(5)) <= allowed(setup.limit));
        }
    }
}

// Guards against a second burst when all daemons are killed while a workspace sends many times its
// rate, and restart without state.
BOOST_AUTO_TEST_CASE(restarted_daemons_admit_no_second_burst) {
    for (std::uint64_t seed : {1, 2, 3, 4}) {
        demand_fleet_options setup = options_with(seed);
        demand_fleet fleet(setup);
        fleet.load(37, fleet.all(), seconds(6));
        fleet.load(300, fleet.all(), seconds(1));
        for (int i = 0; i < setup.daemons; ++i) {
            fleet.set_alive(i, false);
        }
        fleet.load(300, fleet.all(), milliseconds(600));
        for (int i = 0; i < setup.daemons; ++i) {
            fleet.set_alive(i, true);
            fleet.restart(i);
        }
        fleet.load(300, fleet.all(), seconds(8));
        BOOST_TEST(fleet.max_admissions_in(seconds(5)) <= allowed(setup.limit));
    }
}

// Guards against refusals when callers send several requests in a row to a daemon that has just
// started.
BOOST_AUTO_TEST_CASE(a_new_daemon_admits_several_requests_at_once) {
    demand_fleet_options setup = options_with(1);
    setup.daemons = 3;
    setup.limit.rate = 1000;
    setup.limit.burst = 100;
    demand_fleet fleet(setup);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(fleet.call(0));
    }
}

// Guards against an excess when daemons restart one after the other while a workspace sends 80% of
// its rate.
BOOST_AUTO_TEST_CASE(a_rolling_restart_under_load_stays_within_the_tolerance) {
    for (std::uint64_t seed : {1, 2, 3, 4}) {
        for (double rate : {60.0, 1000.0}) {
            demand_fleet_options setup = options_with(seed);
            setup.limit.rate = rate;
            setup.limit.burst = rate;
            demand_fleet fleet(setup);
            fleet.load(rate / 2, fleet.all(), seconds(6));
            fleet.load(rate * 4 / 5, fleet.all(), seconds(1));
            for (int i = 0; i < setup.daemons; ++i) {
                fleet.restart(i);
                fleet.load(rate * 4 / 5, fleet.all(), milliseconds(300));
            }
            fleet.load(rate * 4 / 5, fleet.all(), seconds(5));
            BOOST_TEST(fleet.max_admissions_in(seconds(5)) <= allowed(setup.limit));
        }
    }
}

// Guards against refusals after the daemons of a failure domain are lost and their callers use the
// other daemons. Unreachable daemons may keep only their even shares of the rate; the rest must be
// available at the others.
BOOST_AUTO_TEST_CASE(unreachable_daemons_keep_only_their_even_share) {
    demand_fleet_options setup = options_with(7);
    demand_fleet fleet(setup);
    std::vector<int> others;
    for (int i = 0; i < setup.daemons; ++i) {
        if (i % setup.domains != 0) {
            others.push_back(i);
        }
    }
    fleet.load(40, fleet.all(), seconds(5));
    for (int i = 0; i < setup.daemons; i += setup.domains) {
        fleet.set_alive(i, false);
    }
    fleet.load(40, others, seconds(3));
    auto [refused, calls] = fleet.load(40, others, seconds(10));
    BOOST_TEST(refused * 10 <= calls);
}

// Guards against refusals of a workspace without a limit.
BOOST_AUTO_TEST_CASE(a_workspace_without_a_limit_is_admitted) {
    demand_limiter limiter;
    limiter.set_limits({{.workspace = "north", .rate = 1, .burst = 1}}, mono_time());
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(std::holds_alternative<request_admitted>(
            limiter.try_admit("south", mono_time(seconds(1)))));
    }
}

// Guards against a retry time at which no token can be available yet.
BOOST_AUTO_TEST_CASE(retry_after_covers_the_time_to_the_next_token) {
    mono_time now(seconds(1));
    demand_limiter limiter;
    limiter.set_limits({{.workspace = "north", .rate = 2, .burst = 1}}, now);
    BOOST_TEST(std::holds_alternative<request_admitted>(limiter.try_admit("north", now)));
    auto second = limiter.try_admit("north", now);
    auto retry = std::get<request_over_limit>(second).retry_after;
    BOOST_TEST((retry == milliseconds(500)));
    BOOST_TEST(std::holds_alternative<request_admitted>(limiter.try_admit("north", now + retry)));
}

}  // namespace trefoil::admission
