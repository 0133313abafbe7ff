// Compares loaned shares with an even share per daemon: calls refused although the workspace was
// within its rate and burst, calls that waited, control traffic and CPU time.
//
// Example:
//
//     build/packages/admission/limit_benchmark            # refusals and waits
//     build/packages/admission/limit_benchmark scale      # messages, bytes and CPU per daemon
//
// A refusal is wrongful if a single bucket with the rate and burst of the workspace, which sees all
// calls on arrival, would have admitted the call.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "admission/testing/limiter_fleet.h"

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_duration warm_up = seconds(12);

struct deployment {
    std::string name;
    int daemons = 0;
    mono_duration delay;  // One-way.
};

// A token bucket.
class plain_bucket {
public:
    plain_bucket(double bucket_rate, double bucket_burst)
        : rate(bucket_rate), burst(bucket_burst), tokens(bucket_burst) {}

    bool take(mono_time now) {
        double seconds_passed = std::chrono::duration<double>(now - this->last).count();
        this->tokens = std::min(this->burst, this->tokens + this->rate * seconds_passed);
        this->last = now;
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    double rate;
    double burst;
    double tokens;
    mono_time last;
};

// Traffic of one workspace: its total demand and the distribution of its calls over the daemons.
struct traffic {
    std::string name;
    workspace_limit limit;
    double demand = 0;  // Calls per second.
    // Chooses the daemon of a call `at` seconds after the start.
    std::function<int(seeded_random&, int daemons, double at)> daemon;
    int at_once = 1;  // Calls that arrive together.
    int surge = 0;    // Additional calls that arrive together at one daemon every 5 s.
};

struct outcome {
    std::uint64_t calls = 0;
    std::uint64_t within = 0;          // Calls that a single bucket would have admitted.
    std::uint64_t refused_loaned = 0;  // Part of `within`.
    std::uint64_t refused_even = 0;    // Part of `within`.
    std::uint64_t waited = 0;
    std::uint64_t admitted = 0;
    std::uint64_t admitted_even = 0;
    std::vector<double> waits_ms;  // Of admitted calls that waited.
    double excess = 0;
};

class comparison {
public:
    comparison(const deployment& where, const traffic& what, std::uint64_t seed)
        : place(where),
          load(what),
          random(seed),
          fleet({.instances = where.daemons,
                 .max_instances = where.daemons,
                 .limits = {what.limit},
                 .seed = seed,
                 .faults = {},
                 .delay = where.delay}),
          ideal(what.limit.rate, what.limit.burst),
          even(where.daemons,
               plain_bucket(what.limit.rate / where.daemons, what.limit.burst / where.daemons)) {
        this->fleet.on_decision = [this](const wait_decision& decision) {
            auto found = this->open.find(decision.call);
            if (found->second.within && !decision.admitted) {
                ++this->result.refused_loaned;
            }
            if (decision.admitted) {
                std::chrono::duration<double, std::milli> wait =
                    this->fleet.now() - found->second.arrival;
                this->result.waits_ms.push_back(wait.count());
            }
            this->open.erase(found);
        };
    }

    outcome run(mono_duration duration) {
        mono_time start = this->fleet.now() + warm_up;
        while (this->fleet.now() < start) {
            this->fleet.step();
        }
        mono_time end = start + duration;
        while (this->fleet.now() < end) {
            this->fleet.step();
            double at = std::chrono::duration<double>(this->fleet.now() - start).count();
            if (++this->steps % 5000 == 0) {
                int daemon = static_cast<int>(this->random.below(this->place.daemons));
                for (int i = 0; i < this->load.surge; ++i) {
                    this->call(daemon);
                }
            }
            double arrivals = this->load.demand / 1000 / this->load.at_once;
            if (this->random.uniform() < arrivals) {
                int daemon = this->load.daemon(this->random, this->place.daemons, at);
                for (int i = 0; i < this->load.at_once; ++i) {
                    this->call(daemon);
                }
            }
        }
        for (int i = 0; i < 100; ++i) {
            this->fleet.step();  // Until the last waiting calls are decided.
        }
        this->result.waited = this->fleet.counts().waited;
        this->result.admitted = this->fleet.admissions(this->load.limit.workspace).size();
        this->result.excess = this->fleet.excess(this->load.limit.workspace);
        return this->result;
    }

private:
    void call(int daemon) {
        mono_time now = this->fleet.now();
        bool within = this->ideal.take(now);
        ++this->result.calls;
        this->result.within += within ? 1 : 0;
        bool admitted_even = this->even[daemon].take(now);
        this->result.admitted_even += admitted_even ? 1 : 0;
        this->result.refused_even += within && !admitted_even ? 1 : 0;
        // The entry must exist before the call, because it may be decided before call() returns.
        std::uint64_t id = this->fleet.last_call() + 1;
        this->open[id] = {.within = within, .arrival = now};
        admit_result decided = this->fleet.call(daemon, this->load.limit.workspace);
        if (decided != admit_result::wait) {
            this->open.erase(id);
            this->result.refused_loaned += decided == admit_result::refused && within ? 1 : 0;
        }
    }

    deployment place;
    traffic load;
    seeded_random random;
    limiter_fleet fleet;
    plain_bucket ideal;
    std::vector<plain_bucket> even;
    struct open_call {
        bool within = false;  // Whether a single bucket would admit it.
        mono_time arrival;
    };
    std::map<std::uint64_t, open_call> open;  // Waiting calls.
    outcome result;
    int steps = 0;
};

int uniform_daemon(seeded_random& random, int daemons, double) {
    return static_cast<int>(random.below(daemons));
}

int skewed_daemon(seeded_random& random, int daemons, double) {
    return random.uniform() < 0.7 ? 0 : static_cast<int>(random.below(daemons));
}

int moving_daemon(seeded_random&, int daemons, double at) {
    return static_cast<int>(at / 3) % daemons;
}

std::vector<traffic> traffics() {
    workspace_limit large = {.workspace = "large", .rate = 400, .burst = 200};
    workspace_limit middle = {.workspace = "middle", .rate = 50, .burst = 20};
    workspace_limit small = {.workspace = "small", .rate = 20, .burst = 5};
    return {{"even, 60% of rate", large, 240, uniform_daemon},
            {"skewed, 80% of rate", large, 320, skewed_daemon},
            {"moving, 80% of rate", large, 320, moving_daemon},
            {"middle, even, 60%", middle, 30, uniform_daemon},
            {"middle, skewed, 80%", middle, 40, skewed_daemon},
            {"middle, moving, 80%", middle, 40, moving_daemon},
            {"small burst, even, 50%", small, 10, uniform_daemon},
            {"small burst, skewed, 50%", small, 10, skewed_daemon},
            {"15 calls at once, 30%", middle, 15, uniform_daemon, 15},
            {"5 times the rate, even", middle, 250, uniform_daemon},
            {"5 times the rate, large", large, 2000, skewed_daemon}};
}

double percentile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

double percent(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

outcome add(outcome sum, const outcome& one) {
    sum.calls += one.calls;
    sum.within += one.within;
    sum.refused_loaned += one.refused_loaned;
    sum.refused_even += one.refused_even;
    sum.waited += one.waited;
    sum.admitted += one.admitted;
    sum.admitted_even += one.admitted_even;
    sum.waits_ms.insert(sum.waits_ms.end(), one.waits_ms.begin(), one.waits_ms.end());
    sum.excess = std::max(sum.excess, one.excess);
    return sum;
}

void print_row(const std::string& name, const outcome& sum) {
    std::printf("%-25s %7llu %7.2f %7.2f %7.2f %7.2f %7.2f %6.1f %6.1f %7.2f\n", name.c_str(),
                static_cast<unsigned long long>(sum.calls), percent(sum.refused_even, sum.within),
                percent(sum.refused_loaned, sum.within), percent(sum.admitted_even, sum.within),
                percent(sum.admitted, sum.within), percent(sum.waited, sum.calls),
                percentile(sum.waits_ms, 0.5), percentile(sum.waits_ms, 0.99), sum.excess);
}

// "refused" is the percentage of calls within the limit that were refused. "admitted" is the number
// of admissions as a percentage of those of a single bucket; under overload only this column has a
// meaning.
void compare(const deployment& place, const std::vector<traffic>& loads) {
    std::printf("%s, %d daemons, 3 seeds of 60 s\n", place.name.c_str(), place.daemons);
    std::printf("%-25s %7s %15s %15s %7s %13s %7s\n", "", "", "refused %", "admitted %", "waited",
                "wait ms", "excess");
    std::printf("%-25s %7s %7s %7s %7s %7s %7s %6s %6s\n", "traffic", "calls", "even", "loaned",
                "even", "loaned", "%", "p50", "p99");
    for (const traffic& load : loads) {
        outcome sum;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            sum = add(std::move(sum), comparison(place, load, seed).run(seconds(60)));
        }
        print_row(load.name, sum);
    }
}

void compare_all() {
    compare({.name = "Hanbit", .daemons = 10, .delay = std::chrono::microseconds(500)}, traffics());
    compare({.name = "Guantera", .daemons = 12, .delay = std::chrono::microseconds(1500)},
            traffics());
    workspace_limit large = {.workspace = "large", .rate = 800, .burst = 400};
    compare({.name = "Large fleet", .daemons = 40, .delay = milliseconds(1)},
            {{"even, 60% of rate", large, 480, uniform_daemon},
             {"skewed, 80% of rate", large, 640, skewed_daemon},
             {"moving, 80% of rate", large, 640, moving_daemon},
             {"even, 60%, and 150 at once", large, 480, uniform_daemon, 1, 150}});
}

double cpu_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Measures the control traffic of a fleet in which 8 workspaces, two of them large, send 60% of
// their rates through all daemons. The CPU time includes encoding and the simulated queue.
void measure_scale(int daemons) {
    std::vector<workspace_limit> limits;
    for (int i = 0; i < 8; ++i) {
        double rate = (i < 2 ? 20 : i < 5 ? 5 : 1) * static_cast<double>(daemons);
        limits.push_back(
            {.workspace = "workspace-" + std::to_string(i), .rate = rate, .burst = rate / 2});
    }
    limiter_fleet fleet({.instances = daemons,
                         .max_instances = daemons,
                         .limits = limits,
                         .seed = 1,
                         .faults = {},
                         .measure_bytes = true});
    seeded_random random(7);
    std::uint64_t bytes = 0;
    auto run_for = [&](mono_duration duration) {
        for (mono_time end = fleet.now() + duration; fleet.now() < end;) {
            fleet.step();
            for (const workspace_limit& limit : limits) {
                for (double calls = 0.6 * limit.rate / 1000; calls > 0; calls -= 1) {
                    if (random.uniform() < calls) {
                        fleet.call(static_cast<int>(random.below(daemons)), limit.workspace);
                    }
                }
            }
        }
    };
    run_for(warm_up);
    auto before = fleet.counts();
    std::vector<std::uint64_t> bytes_before;
    bytes_before.reserve(daemons);
    for (int i = 0; i < daemons; ++i) {
        bytes_before.push_back(fleet.traffic_bytes(i));
    }
    double cpu = cpu_seconds();
    constexpr double measured_seconds = 20;
    run_for(seconds(20));
    cpu = cpu_seconds() - cpu;
    std::uint64_t most = 0;
    for (int i = 0; i < daemons; ++i) {
        std::uint64_t own = fleet.traffic_bytes(i) - bytes_before[i];
        bytes += own;
        most = std::max(most, own);
    }
    auto after = fleet.counts();
    double per_daemon = measured_seconds * daemons;
    auto calls = static_cast<double>(after.calls - before.calls);
    std::printf("%7d %9.1f %11.1f %13.0f %12.0f %10.3f %12.2f %9.2f %9.2f\n", daemons,
                calls / per_daemon,
                2 * static_cast<double>(after.messages - before.messages) / per_daemon,
                static_cast<double>(bytes) / per_daemon,
                static_cast<double>(most) / measured_seconds, 100 * cpu / per_daemon,
                1e6 * cpu / calls, 100 * static_cast<double>(after.waited - before.waited) / calls,
                100 * static_cast<double>(after.refused - before.refused) / calls);
}

// Measures the time of an admission that finds a token, on one thread and on several threads with
// the same workspace.
void measure_token_check(int threads) {
    mono_time start = std::chrono::steady_clock::now();
    rate_limiter limiter({.incarnation = 1, .faults = {}}, start);
    limiter.set_limits({{.workspace = "north", .rate = 1e9, .burst = 1e9}}, 1, start);
    limiter.set_members("self", {"self"});
    limiter_output warm;
    limiter.tick(start + seconds(5), warm);
    limiter.tick(start + seconds(10), warm);
    constexpr int rounds = 1000000;
    std::vector<std::thread> workers;
    workers.reserve(threads);
    std::atomic<int> admitted = 0;
    auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            limiter_output out;
            int count = 0;
            for (int call = 0; call < rounds; ++call) {
                auto result = limiter.try_admit("north", call, start + seconds(10), out);
                count += result == admit_result::admitted ? 1 : 0;
            }
            admitted += count;
        });
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - begin;
    std::printf("%d thread(s): %.0f ns per admission of one thread, %d of %d admitted\n", threads,
                passed.count() / rounds, admitted.load(), threads * rounds);
}

void measure_all_scales() {
    std::printf("%7s %9s %11s %13s %12s %10s %12s %9s %9s\n", "daemons", "calls/s", "messages/s",
                "bytes/s mean", "bytes/s max", "CPU %", "us per call", "waited %", "refused %");
    for (int daemons : {10, 40, 120}) {
        measure_scale(daemons);
    }
    measure_token_check(1);
    measure_token_check(4);
}

}  // namespace

}  // namespace trefoil::admission

int main(int argc, char** argv) {
    std::string mode = argc > 1 ? argv[1] : "";
    if (mode.empty()) {
        trefoil::admission::compare_all();
        return 0;
    }
    if (mode == "scale") {
        trefoil::admission::measure_all_scales();
        return 0;
    }
    std::fprintf(stderr, "unknown mode '%s': nothing or 'scale'\n", mode.c_str());
    return 2;
}
