// Tests of the attribution of nested calls: the number of calls learned for each route, and the
// probability that a call comes from a retried attempt.

#define BOOST_TEST_MODULE routing_nested_call_attribution
#include "routing/nested_call_attribution.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "base/random.h"

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

mono_duration of_seconds(double value) {
    return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(value));
}

// An upstream with two routes, of which only "read" makes nested calls: two in 70% of its runs.
class model_upstream {
public:
    explicit model_upstream(std::uint64_t seed) : random(seed) {}

    // Share of the runs of each route that are retries.
    std::map<std::string, double> retry_shares = {{"read", 0.0}, {"command", 0.0}};

    void run_for(seconds length) {
        mono_time end = this->now + length;
        while (this->now < end) {
            this->now += milliseconds(1);
            while (!this->steps.empty() && this->steps.begin()->first <= this->now) {
                auto step = this->steps.extract(this->steps.begin());
                step.mapped()();
            }
            this->start_some("read", 9.6, 0.26);
            this->start_some("command", 4.8, 0.34);
        }
    }

    nested_call_attribution attribution;
    double of_retries = 0;  // Nested calls that retries have made.
    double estimated = 0;   // The estimate of the same number.

private:
    void start_some(const std::string& route, double rate, double mean_seconds) {
        if (this->random.uniform() >= rate / 1000) {
            return;
        }
        bool retry = this->random.uniform() < this->retry_shares[route];
        double length = mean_seconds * (0.5 + this->random.uniform());
        auto run = this->attribution.begin_run(route, retry ? 1 : 0, this->now);
        if (route == "read" && this->random.uniform() < 0.7) {
            this->steps.emplace(this->now + of_seconds(length * this->random.uniform()),
                                [this, retry] { this->call(retry); });
        }
        this->steps.emplace(this->now + of_seconds(length),
                            [this, run] { this->attribution.end_run(run, this->now); });
    }

    void call(bool retry) {
        for (int i = 0; i < 2; ++i) {
            this->of_retries += retry ? 1 : 0;
            this->estimated += this->attribution.attribute_call("alarms", this->now);
        }
    }

    seeded_random random;
    mono_time now = start;
    std::multimap<mono_time, std::function<void()>> steps;
};

}  // namespace

// Guards against calls that are attributed to a route that makes none.
BOOST_AUTO_TEST_CASE(nested_calls_of_each_route_are_learned) {
    double reads = 0;
    double commands = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        model_upstream upstream(seed);
        upstream.run_for(seconds(30));
        reads += upstream.attribution.expected_calls("read")["alarms"] / 20;
        commands += upstream.attribution.expected_calls("command")["alarms"] / 20;
    }
    BOOST_TEST(reads > 1.4 * 0.8);
    BOOST_TEST(reads < 1.4 * 1.2);
    BOOST_TEST(commands < 1.4 * 0.2);
}

// Guards against an estimate that differs by more than 10% from the nested calls of retries in a
// fleet when requests of one route, or of both, begin to be retried.
BOOST_AUTO_TEST_CASE(nested_calls_of_retries_are_estimated_for_a_fleet) {
    for (double retried_commands : {0.0, 0.2}) {
        double truth = 0;
        double estimated = 0;
        for (std::uint64_t seed = 1; seed <= 72; ++seed) {
            model_upstream upstream(seed);
            upstream.run_for(seconds(10));
            upstream.retry_shares = {{"read", 0.2}, {"command", retried_commands}};
            upstream.run_for(seconds(10));
            truth += upstream.of_retries;
            estimated += upstream.estimated;
        }
        BOOST_TEST(estimated > 0.9 * truth);
        BOOST_TEST(estimated < 1.1 * truth);
    }
}

// Guards against an estimate above 0 without runs, and against runs that are ended twice.
BOOST_AUTO_TEST_CASE(a_call_without_active_runs_is_not_attributed_to_a_retry) {
    nested_call_attribution attribution;
    BOOST_TEST(attribution.attribute_call("alarms", start) == 0);
    BOOST_TEST(attribution.expected_calls("read").empty());
    auto run = attribution.begin_run("read", 1, start + seconds(1));
    BOOST_TEST(attribution.attribute_call("alarms", start + seconds(1)) == 1);
    attribution.end_run(run, start + seconds(2));
    attribution.end_run(run, start + seconds(2));
    BOOST_TEST(attribution.finished_runs() == 1U);
    BOOST_TEST(attribution.attribute_call("alarms", start + seconds(3)) == 0);
}

}  // namespace trefoil::routing
