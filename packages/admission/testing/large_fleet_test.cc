// Tests of the limiter whose shares follow demand, in a simulated fleet of 91 daemons in four
// failure domains with 88 workspaces. Most workspaces are so small that a daemon receives one
// request in several seconds.

#define BOOST_TEST_MODULE admission_large_fleet
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "admission/testing/demand_fleet.h"

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr limit_tolerance tolerance{.window = seconds(5), .overage = 0.25, .slack = 20};
constexpr int workspaces = 88;
constexpr double overload = 4.5;  // Multiple of the usual demand.

// Requests per second: falls from about 200/s to 1/s with the rank of the workspace; 1,280/s in
// total.
double demand_of(int rank) {
    return std::max(1.0, 215 / std::pow(rank + 1.0, 0.92));
}

std::string workspace_name(int rank) {
    return "bati" + std::to_string(rank);
}

// Fraction of its rate that a workspace uses: 60% to 95%.
double use_of(int rank) {
    return 0.60 + 0.05 * (rank % 8);
}

demand_fleet_options large_fleet(std::uint64_t seed) {
    demand_fleet_options setup{.daemons = 91,
                               .domains = 4,
                               .limiter = {.tolerance = tolerance},
                               .loss = 0.001,
                               .seed = seed};
    for (int rank = 0; rank < workspaces; ++rank) {
        double rate = demand_of(rank) / use_of(rank);
        setup.limits.push_back({.workspace = workspace_name(rank), .rate = rate, .burst = rate});
    }
    return setup;
}

std::vector<arrivals> usual_traffic(double factor = 1) {
    std::vector<arrivals> traffic;
    traffic.reserve(workspaces);
    for (int rank = 0; rank < workspaces; ++rank) {
        traffic.push_back({workspace_name(rank), demand_of(rank) * factor});
    }
    return traffic;
}

double allowed(const workspace_limit& limit) {
    return (limit.rate * 5 + limit.burst) * (1 + tolerance.overage) + tolerance.slack;
}

void check_bound(const demand_fleet& fleet, const std::vector<workspace_limit>& limits,
                 mono_time from = mono_time::min()) {
    double closest = 0;
    for (const workspace_limit& each : limits) {
        auto most = static_cast<double>(fleet.max_admissions_in(seconds(5), each.workspace, from));
        BOOST_TEST(most <= allowed(each), each.workspace << " of " << each.rate << "/s: " << most
                                                         << " of " << allowed(each));
        closest = std::max(closest, most / allowed(each));
    }
    BOOST_TEST_MESSAGE("closest to the bound: " << closest);
}

}  // namespace

// Guards against refusals of workspaces within their rates because each of many daemons has a
// bucket too shallow for two requests within seconds.
BOOST_AUTO_TEST_CASE(workspaces_within_their_rates_are_not_refused_in_a_large_fleet) {
    demand_fleet_options setup = large_fleet(1);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(20));  // Until the demand is known.
    fleet.messages_sent = 0;
    fleet.count_bytes = true;
    constexpr int time_s = 60;
    auto counts = fleet.load(usual_traffic(), fleet.all(), seconds(time_s));
    int refused = 0;
    int calls = 0;
    int above_rate = 0;
    for (int rank = 0; rank < workspaces; ++rank) {
        const call_counts& each = counts[workspace_name(rank)];
        refused += each.refused;
        calls += each.calls;
        above_rate += each.above_rate;
        // One refusal is chance with few calls. A single bucket that sees all calls also refuses
        // some, because the number of calls varies randomly.
        BOOST_TEST((each.refused - each.above_rate - 1) * 100 < each.calls,
                   workspace_name(rank) << " of " << setup.limits[rank].rate << "/s, used to "
                                        << use_of(rank) << ": refused " << each.refused << " of "
                                        << each.calls << ", above the rate " << each.above_rate);
    }
    BOOST_TEST_MESSAGE("refused " << refused << " of " << calls << ", above the rate "
                                  << above_rate);
    BOOST_TEST(refused * 200 < calls);
    double daemon_s = 91.0 * time_s;
    BOOST_TEST_MESSAGE("messages a second a daemon: "
                       << static_cast<double>(fleet.messages_sent) / daemon_s
                       << ", bytes: " << static_cast<double>(fleet.bytes_sent) / daemon_s);
    check_bound(fleet, setup.limits);
}

// Guards against an excess of a workspace that sends 4.5 times its rate.
BOOST_AUTO_TEST_CASE(a_workspace_far_above_its_rate_stays_within_the_bound) {
    for (int rank : {0, 1, 20, 87}) {
        demand_fleet_options setup = large_fleet(2);
        setup.limits = {setup.limits[rank]};
        demand_fleet fleet(setup);
        double rate = setup.limits[0].rate;
        fleet.load(rate * 0.6, fleet.all(), seconds(20));
        fleet.load(rate * 4.5, fleet.all(), seconds(15));
        fleet.load(rate * 0.1, fleet.all(), seconds(15));
        auto [refused, calls] = fleet.load(rate * 4.5, fleet.all(), seconds(15));
        check_bound(fleet, setup.limits);
        // The limit must be used.
        BOOST_TEST(calls - refused >= rate * 15 * 0.95);
    }
}

// Guards against lenders in a partition that use the rate of the whole fleet.
BOOST_AUTO_TEST_CASE(a_partitioned_failure_domain_stays_within_the_bound) {
    demand_fleet_options setup = large_fleet(3);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(10));
    for (int group : {1, 0}) {
        fleet.load(usual_traffic(overload), fleet.all(), seconds(2));
        for (int i = 0; i < setup.daemons; i += setup.domains) {
            fleet.set_group(i, group);
        }
        fleet.load(usual_traffic(overload), fleet.all(), seconds(6));
    }
    check_bound(fleet, setup.limits);
}

// Guards against isolated daemons that together admit more than their part of the rate.
BOOST_AUTO_TEST_CASE(a_third_of_the_daemons_isolated_stays_within_the_bound) {
    demand_fleet_options setup = large_fleet(4);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(10));
    for (bool cut : {true, false}) {
        fleet.load(usual_traffic(overload), fleet.all(), seconds(1));
        for (int i = 0; i < setup.daemons * 35 / 100; ++i) {
            fleet.set_group(i, cut ? i + 1 : 0);
        }
        fleet.load(usual_traffic(overload), fleet.all(), seconds(12));
    }
    check_bound(fleet, setup.limits);
}

// Guards against isolated daemons that each use the unused capacity of the whole fleet after an
// idle time.
BOOST_AUTO_TEST_CASE(idle_isolated_daemons_stay_within_the_bound) {
    demand_fleet_options setup = large_fleet(5);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(10));
    for (int i = 0; i < setup.daemons; ++i) {
        fleet.set_group(i, i + 1);
    }
    fleet.load(usual_traffic(), fleet.all(), seconds(20));
    fleet.load(usual_traffic(overload), fleet.all(), seconds(6));
    check_bound(fleet, setup.limits);
}

// Guards against full buckets of new processes in addition to the admissions of the previous ones.
BOOST_AUTO_TEST_CASE(all_daemons_killed_at_once_stay_within_the_bound) {
    demand_fleet_options setup = large_fleet(6);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(10));
    for (int round = 0; round < 3; ++round) {
        fleet.load(usual_traffic(overload), fleet.all(), milliseconds(800));
        for (int i = 0; i < setup.daemons; ++i) {
            fleet.set_alive(i, false);
        }
        fleet.load(usual_traffic(), fleet.all(), milliseconds(600));
        for (int i = 0; i < setup.daemons; ++i) {
            fleet.set_alive(i, true);
            fleet.restart(i);
        }
    }
    fleet.load(usual_traffic(overload), fleet.all(), seconds(6));
    check_bound(fleet, setup.limits);
}

// Guards against refusals of callers within their rates after a restart of the whole fleet, when
// the new lenders have no tokens yet. The first half second is for the first totals.
BOOST_AUTO_TEST_CASE(few_calls_are_refused_after_a_restart_of_the_fleet) {
    for (std::uint64_t seed : {1, 2, 3}) {
        demand_fleet_options setup = large_fleet(seed);
        demand_fleet fleet(setup);
        fleet.load(usual_traffic(), fleet.all(), milliseconds(500));
        int refused = 0;
        int calls = 0;
        for (const auto& [name, each] :
             fleet.load(usual_traffic(), fleet.all(), milliseconds(2000))) {
            refused += each.refused;
            calls += each.calls;
        }
        BOOST_TEST_MESSAGE("refused " << refused << " of " << calls);
        BOOST_TEST(refused * 100 <= calls * 6);
    }
}

// Guards against refusals of the first requests after an idle time, in which no lender received a
// request and so none gained tokens. Daemons run for seconds before traffic starts. Users expect
// that requests within the rate are not refused, which sets the bound.
BOOST_AUTO_TEST_CASE(first_calls_to_an_idle_fleet_are_not_refused) {
    for (std::uint64_t seed : {1, 2, 3}) {
        demand_fleet_options setup = large_fleet(seed);
        for (int rank = 0; rank < workspaces; ++rank) {
            setup.limits[rank].rate = demand_of(rank) * 1.6;
            setup.limits[rank].burst = setup.limits[rank].rate;
        }
        demand_fleet fleet(setup);
        fleet.load({}, fleet.all(), seconds(8));
        int refused = 0;
        int calls = 0;
        for (const auto& [name, each] : fleet.load(usual_traffic(), fleet.all(), seconds(2))) {
            refused += each.refused;
            calls += each.calls;
        }
        BOOST_TEST_MESSAGE("refused " << refused << " of " << calls);
        BOOST_TEST(refused * 100 <= calls);
        check_bound(fleet, setup.limits);
    }
}

// Guards against refusals of callers within their rates because a new lender starts without tokens,
// although the previous one has some and can be reached. This happens in planned stops of a tenth
// of the daemons, which are replaced at once, and when a third of the daemons are wrongly
// considered dead.
BOOST_AUTO_TEST_CASE(new_lenders_receive_tokens_from_live_previous_lenders) {
    constexpr int planned_stops = 0;
    constexpr int suspicions = 1;
    for (int pattern : {planned_stops, suspicions}) {
        for (std::uint64_t seed : {1, 2, 3}) {
            demand_fleet_options setup = large_fleet(seed);
            for (int rank = 0; rank < workspaces; ++rank) {
                setup.limits[rank].rate = demand_of(rank) * 1.6;
                setup.limits[rank].burst = setup.limits[rank].rate;
            }
            demand_fleet fleet(setup);
            fleet.load(usual_traffic(), fleet.all(), seconds(8));
            std::vector<int> staying;
            std::vector<int> changed;
            for (int i = 0; i < setup.daemons; ++i) {
                bool changes = pattern == planned_stops ? i % 10 == 0 : i / setup.domains % 3 == 0;
                (changes ? changed : staying).push_back(i);
            }
            for (int each : changed) {
                pattern == planned_stops ? fleet.set_leaving(each, true)
                                         : fleet.set_suspected(each, true);
            }
            int refused = 0;
            int calls = 0;
            auto run_traffic = [&](const std::vector<int>& targets) {
                for (const auto& [name, each] : fleet.load(usual_traffic(), targets, seconds(2))) {
                    refused += each.refused;
                    calls += each.calls;
                }
            };
            run_traffic(pattern == planned_stops ? staying : fleet.all());
            for (int each : changed) {
                if (pattern == planned_stops) {
                    fleet.restart(each);
                    fleet.set_leaving(each, false);
                } else {
                    fleet.set_suspected(each, false);
                }
            }
            run_traffic(fleet.all());
            BOOST_TEST_MESSAGE("refused " << refused << " of " << calls);
            BOOST_TEST(refused * 100 <= calls);
            check_bound(fleet, setup.limits);
        }
    }
}

// Guards against tokens of a standby lender in addition to those that the previous lender spent
// just before it was killed: an idle time, then a sudden rise, then a third of the daemons die.
BOOST_AUTO_TEST_CASE(lenders_killed_after_spending_their_tokens_stay_within_the_bound) {
    for (double factor : {overload, 30.0}) {
        demand_fleet_options setup = large_fleet(9);
        demand_fleet fleet(setup);
        fleet.load({}, fleet.all(), seconds(8));
        for (int third = 0; third < 3; ++third) {
            fleet.load(usual_traffic(factor), fleet.all(), milliseconds(200));
            for (int i = 0; i < setup.daemons; ++i) {
                bool dies = i / setup.domains % 3 == third;
                fleet.set_alive(i, !dies);
                if (!dies && third > 0 && i / setup.domains % 3 == third - 1) {
                    fleet.restart(i);
                }
            }
            fleet.load({}, fleet.all(), milliseconds(1700));
        }
        fleet.load(usual_traffic(factor), fleet.all(), seconds(6));
        check_bound(fleet, setup.limits);
    }
}

// Guards against tokens of new standby lenders in addition to those that the previous processes
// spent just before all were killed.
BOOST_AUTO_TEST_CASE(an_idle_fleet_killed_after_a_sudden_rise_stays_within_the_bound) {
    for (double factor : {overload, 30.0}) {
        demand_fleet_options setup = large_fleet(10);
        demand_fleet fleet(setup);
        fleet.load({}, fleet.all(), seconds(8));
        fleet.load(usual_traffic(factor), fleet.all(), milliseconds(200));
        for (int i = 0; i < setup.daemons; ++i) {
            fleet.set_alive(i, false);
        }
        fleet.load({}, fleet.all(), milliseconds(600));
        for (int i = 0; i < setup.daemons; ++i) {
            fleet.set_alive(i, true);
            fleet.restart(i);
        }
        fleet.load({}, fleet.all(), milliseconds(1500));
        fleet.load(usual_traffic(factor), fleet.all(), seconds(6));
        check_bound(fleet, setup.limits);
    }
}

// Guards against two full buckets in a failure domain whose daemons disagree about the lender, at
// the same time or alternately.
BOOST_AUTO_TEST_CASE(disagreeing_views_of_the_lender_stay_within_the_bound) {
    for (double factor : {overload, 30.0}) {
        demand_fleet_options setup = large_fleet(11);
        demand_fleet fleet(setup);
        for (bool suspected : {true, false, true, false}) {
            for (int i = 0; i < setup.daemons; ++i) {
                fleet.set_suspected(i, suspected && i / setup.domains % 4 < 2);
            }
            fleet.load({}, fleet.all(), milliseconds(2500));
            fleet.load(usual_traffic(factor), fleet.all(), milliseconds(300));
        }
        fleet.load(usual_traffic(factor), fleet.all(), seconds(6));
        check_bound(fleet, setup.limits);
        demand_fleet quiet(setup);
        for (int i = 0; i < setup.daemons; ++i) {
            quiet.set_suspected(i, i / setup.domains % 4 < 2);
        }
        quiet.load({}, quiet.all(), seconds(8));
        quiet.load(usual_traffic(factor), quiet.all(), seconds(6));
        check_bound(quiet, setup.limits);
    }
}

// Guards against several successive lenders that each start with a full bucket.
BOOST_AUTO_TEST_CASE(rolling_restarts_stay_within_the_bound) {
    demand_fleet_options setup = large_fleet(7);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(10));
    for (int i = 0; i < setup.daemons; ++i) {
        fleet.restart(i);
        fleet.load(usual_traffic(overload), fleet.all(), milliseconds(200));
    }
    check_bound(fleet, setup.limits);
}

// Guards against buckets that keep the tokens of a higher limit. The bound of a lower limit must
// hold in all windows that start after it was set.
BOOST_AUTO_TEST_CASE(lower_limits_under_load_bind_after_one_window) {
    demand_fleet_options setup = large_fleet(8);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(overload), fleet.all(), seconds(10));
    std::vector<workspace_limit> lower = setup.limits;
    for (workspace_limit& each : lower) {
        each.rate /= 3;
        each.burst /= 3;
    }
    fleet.set_limits(lower);
    mono_time published = fleet.now;
    fleet.load(usual_traffic(overload), fleet.all(), seconds(12));
    check_bound(fleet, lower, published + tolerance.window);
}

}  // namespace trefoil::admission
