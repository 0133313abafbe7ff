// Tests of the limits by loaned shares in a simulated fleet: under any failures no interval has
// more admissions than the limit allows, and a healthy fleet refuses nothing within the limit.

#define BOOST_TEST_MODULE rate_limiter
#include "admission/rate_limiter.h"

#include <boost/test/unit_test.hpp>
#include <functional>

#include "admission/testing/limiter_fleet.h"

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double tolerance = 1e-6;  // In calls; the check sums rounded rates.

const std::vector<workspace_limit> test_limits = {
    {.workspace = "large", .rate = 200, .burst = 100},
    {.workspace = "middle", .rate = 50, .burst = 20},
    {.workspace = "small", .rate = 5, .burst = 3},
    {.workspace = "bursty", .rate = 20, .burst = 60},
};

void run(limiter_fleet& fleet, mono_duration duration, const std::function<void()>& each_step) {
    mono_time end = fleet.now() + duration;
    while (fleet.now() < end) {
        fleet.step();
        each_step();
    }
}

// Simulates a fleet with random traffic and random failures.
class failure_simulation {
public:
    // Failures occur with `failure_rate` times their maximum frequency.
    failure_simulation(const fleet_options& options, std::uint64_t seed, double failure_rate)
        : instances(options.instances), failure_part(failure_rate), random(seed), fleet(options) {}

    double largest_excess_after(mono_duration duration) {
        run(this->fleet, duration, [this] {
            this->traffic();
            this->failures();
        });
        double largest = 0;
        for (const workspace_limit& limit : test_limits) {
            largest = std::max(largest, this->fleet.excess(limit.workspace));
            this->admitted += this->fleet.admissions(limit.workspace).size();
        }
        return largest;
    }

    std::size_t admitted = 0;

private:
    int any_instance() { return static_cast<int>(this->random.below(this->instances)); }

    // Alternates between idle phases, in which buckets fill, and phases with up to 4 times the
    // rate, with bursts at single instances.
    void traffic() {
        if (this->fleet.now() >= this->phase_end) {
            this->load = this->random.uniform() < 0.4 ? 0.1 : 4 * this->random.uniform();
            this->phase_end = this->fleet.now() + milliseconds(50 + this->random.below(1500));
            this->focus = this->any_instance();
        }
        for (const workspace_limit& limit : test_limits) {
            if (this->random.uniform() < this->load * limit.rate / 1000) {
                bool focused = this->random.uniform() < 0.5;
                this->call(focused ? this->focus : this->any_instance(), limit.workspace);
            }
            if (this->random.uniform() < 0.0005) {
                this->burst(limit);
            }
            if (this->random.uniform() < 0.0001) {
                this->spend_all_tokens(limit);
            }
        }
    }

    void burst(const workspace_limit& limit) {
        bool spread = this->random.uniform() < 0.5;
        int instance = this->any_instance();
        for (int i = 0; i < limit.burst; ++i) {
            this->call(spread ? this->any_instance() : instance, limit.workspace);
        }
    }

    // Sends enough calls to spend every token in the fleet, so that an excess of tokens becomes
    // visible.
    void spend_all_tokens(const workspace_limit& limit) {
        for (int instance = 0; instance < this->instances; ++instance) {
            for (int i = 0; i < limit.burst; ++i) {
                this->call(instance, limit.workspace);
            }
        }
    }

    void call(int instance, const std::string& workspace) {
        if (!this->fleet.paused(instance)) {
            this->fleet.call(instance, workspace);
        }
    }

    void failures() {
        if (this->random.uniform() >= this->failure_part) {
            return;
        }
        if (this->random.uniform() < 0.0005) {
            mono_duration length = milliseconds(this->random.below(6000));
            this->fleet.pause(this->any_instance(), this->fleet.now() + length,
                              this->random.uniform() < 0.5);
        }
        if (this->random.uniform() < 0.0003) {
            this->fleet.restart(this->any_instance());
        }
        if (this->random.uniform() < 0.0005) {
            this->fleet.set_view(this->any_instance(), this->random_view());
        }
        if (this->random.uniform() < 0.0005) {
            this->fleet.set_group(this->any_instance(), this->random.uniform() < 0.3 ? 1 : 0);
        }
    }

    std::vector<std::string> random_view() {
        std::vector<std::string> view = this->fleet.names();
        if (this->random.uniform() < 0.5) {
            return view;
        }
        std::erase_if(view, [this](const std::string&) { return this->random.uniform() < 0.4; });
        return view;
    }

    int instances;
    double failure_part;
    seeded_random random;
    limiter_fleet fleet;
    mono_time phase_end;
    double load = 0;
    int focus = 0;
};

// Failure rate of the simulation with this seed. Rare failures leave time for loans and batches;
// frequent ones reach unusual states.
double failure_rate(std::uint64_t seed) {
    return seed % 2 == 0 ? 1 : 0.15;
}

fleet_options simulation_options(std::uint64_t seed) {
    return {.instances = 5,
            .max_instances = 5,
            .limits = test_limits,
            .seed = seed,
            .faults = {},
            .delay = milliseconds(2),
            .jitter = milliseconds(20),
            .loss = 0.05,
            .duplication = 0.05,
            .extra_delay_probability = 0.02,
            .max_clock_drift = 0.01};
}

double simulated_excess(std::uint64_t seed, const limit_faults& faults, mono_duration duration) {
    fleet_options options = simulation_options(seed);
    options.faults = faults;
    failure_simulation trial(options, seed + 1000, failure_rate(seed));
    return trial.largest_excess_after(duration);
}

// Whether a run with any of the seeds has an excess when the mechanism is disabled.
bool fault_is_found(const limit_faults& faults) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        double excess = simulated_excess(seed, faults, seconds(40));
        if (excess > tolerance) {
            BOOST_TEST_MESSAGE("seed " << seed << ": excess of " << excess << " calls");
            return true;
        }
    }
    return false;
}

}  // namespace

// Guards against a check that misses an excess, or that reports one at exactly the limit.
BOOST_AUTO_TEST_CASE(largest_excess_is_exact) {
    std::vector<mono_time> times(10, mono_time(seconds(5)));
    BOOST_TEST(largest_excess(times, 10, 10) <= tolerance);
    BOOST_TEST(largest_excess(times, 10, 9) >= 1 - tolerance);
    times.push_back(mono_time(milliseconds(5100)));
    BOOST_TEST(largest_excess(times, 10, 10) <= tolerance);
    times.push_back(mono_time(milliseconds(5150)));
    BOOST_TEST(largest_excess(times, 10, 10) >= 0.4);
}

// Guards against admissions above the limit under loss, duplication, reordering, long delays,
// pauses, restarts, partitions, differing member views and clock rates.
BOOST_AUTO_TEST_CASE(no_interval_exceeds_the_limit_under_failures) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        failure_simulation trial(simulation_options(seed), seed + 1000, failure_rate(seed));
        double excess = trial.largest_excess_after(seconds(60));
        BOOST_TEST(excess <= tolerance, "seed " << seed << ": excess of " << excess << " calls");
        BOOST_TEST(trial.admitted > 1000U, "seed " << seed << " admitted " << trial.admitted);
    }
}

// Guards against a check that misses a share used by lender and borrower at the same time.
BOOST_AUTO_TEST_CASE(check_detects_shares_used_by_lender_and_borrower) {
    BOOST_TEST(fault_is_found({.copy_loans = true}));
}

// Guards against a check that misses accrual in place of tokens that are outstanding in batches.
BOOST_AUTO_TEST_CASE(check_detects_batches_missing_from_the_cap) {
    BOOST_TEST(fault_is_found({.ignore_outstanding = true}));
}

// Guards against a check that misses a loan that is used after its end.
BOOST_AUTO_TEST_CASE(check_detects_loans_used_after_their_end) {
    BOOST_TEST(fault_is_found({.keep_ended_loans = true}));
}

// Guards against a check that misses a new process that uses its share while a loan of the previous
// process is in use.
BOOST_AUTO_TEST_CASE(check_detects_shares_active_at_process_start) {
    BOOST_TEST(fault_is_found({.start_active = true}));
}

// Number of refusals when `calls` calls of the workspace "middle" arrive every 40 ms (half its
// rate) at random instances.
std::uint64_t refusals_of_paced_calls(limiter_fleet& fleet, int instances, int calls) {
    seeded_random random(5);
    std::uint64_t before = fleet.counts().refused;
    for (int call = 0; call < calls; ++call) {
        run(fleet, milliseconds(40), [] {});
        fleet.call(static_cast<int>(random.below(instances)), "middle");
    }
    run(fleet, milliseconds(100), [] {});
    return fleet.counts().refused - before;
}

fleet_options healthy_options() {
    return {.instances = 5, .max_instances = 5, .limits = test_limits, .seed = 9, .faults = {}};
}

// Guards against refusals within the limit without failures.
BOOST_AUTO_TEST_CASE(healthy_fleet_refuses_nothing_within_the_limit) {
    limiter_fleet fleet(healthy_options());
    run(fleet, seconds(12), [] {});
    BOOST_TEST(refusals_of_paced_calls(fleet, 5, 500) == 0U);
    BOOST_TEST(fleet.excess("middle") <= tolerance);
}

// Guards against a home that leaves by a planned stop and keeps the shares until their loans end.
BOOST_AUTO_TEST_CASE(leaving_home_releases_shares_without_refusals) {
    limiter_fleet fleet(healthy_options());
    run(fleet, seconds(12), [] {});
    int home = 0;
    while (!fleet.limiter(home).inspect("middle")->is_home) {
        ++home;
    }
    std::vector<std::string> live = fleet.names();
    live.erase(live.begin() + home);
    for (int i = 0; i < 5; ++i) {
        fleet.set_view(i, live);
    }
    BOOST_TEST(refusals_of_paced_calls(fleet, 5, 100) == 0U);
    BOOST_TEST(fleet.limiter(home).inspect("middle")->shares <= 1);
    BOOST_TEST(fleet.excess("middle") <= tolerance);
}

}  // namespace trefoil::admission
