// Tests of limits over a fleet of 91 daemons in four failure domains with 88 workspaces, most of
// them so small that a daemon sees a request in several seconds.

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
constexpr double overload = 4.5;  // Times the usual demand.

// Demand falls from 200/s to about 1/s with the rank of the workspace; 1,280/s in all.
double demand_of(int rank) {
    return std::max(1.0, 215 / std::pow(rank + 1.0, 0.92));
}

std::string workspace_name(int rank) {
    return "bati" + std::to_string(rank);
}

// Workspaces use 60% to 95% of their rates.
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
        auto most = static_cast<double>(fleet.most_in(seconds(5), each.workspace, from));
        BOOST_TEST(most <= allowed(each), each.workspace << " of " << each.rate << "/s: " << most
                                                         << " of " << allowed(each));
        closest = std::max(closest, most / allowed(each));
    }
    BOOST_TEST_MESSAGE("closest to the bound: " << closest);
}

}  // namespace

// Guards against workspaces that stay within their rates and are refused, because each of many
// daemons has a bucket too shallow for two requests that arrive within seconds.
BOOST_AUTO_TEST_CASE(workspaces_within_their_rates_are_not_refused_in_a_large_fleet) {
    demand_fleet_options setup = large_fleet(1);
    demand_fleet fleet(setup);
    fleet.load(usual_traffic(), fleet.all(), seconds(20));  // The demand becomes known.
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
        // One refusal is chance where there are few calls. One bucket that sees all calls refuses
        // some as well, because their number varies by chance.
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

// The pattern: one workspace sends 4.5 times its rate.
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
        // The limit is used.
        BOOST_TEST(calls - refused >= rate * 15 * 0.95);
    }
}

// Guards against lenders of a part of the fleet that hand out the rate of all of it.
BOOST_AUTO_TEST_CASE(a_failure_domain_that_is_cut_off_stays_within_the_bound) {
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

// Guards against daemons that hear nobody and that together hand out more than their part.
BOOST_AUTO_TEST_CASE(a_third_of_the_daemons_cut_off_singly_stays_within_the_bound) {
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

// Guards against daemons that hear nobody and that each hand out what the whole fleet has saved,
// after a quiet time.
BOOST_AUTO_TEST_CASE(quiet_daemons_cut_off_singly_stay_within_the_bound) {
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

// Guards against full buckets of new processes beside what the former ones have admitted.
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

// Guards against refusals of callers within their rates that come back to a fleet of new processes,
// whose lenders have no tokens yet. Half a second is left for the first totals.
BOOST_AUTO_TEST_CASE(callers_find_tokens_soon_after_a_restart_of_the_fleet) {
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

// Guards against refusals of the first requests after a quiet time, in which no lender was asked
// and so none had begun to gain tokens. The pattern: daemons are up for seconds before traffic
// begins. The bound is the users' wish that requests within the rate are not refused.
BOOST_AUTO_TEST_CASE(the_first_callers_of_a_quiet_fleet_find_tokens) {
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

// Guards against refusals of callers within their rates because a new lender begins without tokens,
// although the one before has some and can be asked. The patterns: planned stops of a tenth of the
// daemons, which are replaced at once, and views that take a third of the daemons for dead.
BOOST_AUTO_TEST_CASE(callers_find_tokens_at_new_lenders_while_the_former_ones_live) {
    constexpr int stops = 0;
    constexpr int doubts = 1;
    for (int pattern : {stops, doubts}) {
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
                bool changes = pattern == stops ? i % 10 == 0 : i / setup.domains % 3 == 0;
                (changes ? changed : staying).push_back(i);
            }
            for (int each : changed) {
                pattern == stops ? fleet.set_leaving(each, true) : fleet.set_doubted(each, true);
            }
            int refused = 0;
            int calls = 0;
            auto play = [&](const std::vector<int>& targets) {
                for (const auto& [name, each] : fleet.load(usual_traffic(), targets, seconds(2))) {
                    refused += each.refused;
                    calls += each.calls;
                }
            };
            play(pattern == stops ? staying : fleet.all());
            for (int each : changed) {
                if (pattern == stops) {
                    fleet.restart(each);
                    fleet.set_leaving(each, false);
                } else {
                    fleet.set_doubted(each, false);
                }
            }
            play(fleet.all());
            BOOST_TEST_MESSAGE("refused " << refused << " of " << calls);
            BOOST_TEST(refused * 100 <= calls);
            check_bound(fleet, setup.limits);
        }
    }
}

// Guards against tokens of a lender that stands by, beside those that its predecessor spent just
// before it was killed. The pattern: quiet, then a sudden rise, then a third of the daemons die.
BOOST_AUTO_TEST_CASE(lenders_killed_after_they_spent_everything_stay_within_the_bound) {
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

// Guards against tokens of new lenders that stand by, beside what the former processes spent just
// before all were killed.
BOOST_AUTO_TEST_CASE(a_quiet_fleet_killed_after_a_sudden_rise_stays_within_the_bound) {
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

// Guards against two full buckets in a failure domain whose daemons do not agree who lends, at once
// and in turn.
BOOST_AUTO_TEST_CASE(two_views_of_who_lends_stay_within_the_bound) {
    for (double factor : {overload, 30.0}) {
        demand_fleet_options setup = large_fleet(11);
        demand_fleet fleet(setup);
        for (bool doubted : {true, false, true, false}) {
            for (int i = 0; i < setup.daemons; ++i) {
                fleet.set_doubted(i, doubted && i / setup.domains % 4 < 2);
            }
            fleet.load({}, fleet.all(), milliseconds(2500));
            fleet.load(usual_traffic(factor), fleet.all(), milliseconds(300));
        }
        fleet.load(usual_traffic(factor), fleet.all(), seconds(6));
        check_bound(fleet, setup.limits);
        demand_fleet quiet(setup);
        for (int i = 0; i < setup.daemons; ++i) {
            quiet.set_doubted(i, i / setup.domains % 4 < 2);
        }
        quiet.load({}, quiet.all(), seconds(8));
        quiet.load(usual_traffic(factor), quiet.all(), seconds(6));
        check_bound(quiet, setup.limits);
    }
}

// Guards against a bucket that each of several lenders, one after the other, finds full.
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

// Guards against buckets that keep what a higher limit gave them. A lower limit binds one window
// after it is in force.
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
