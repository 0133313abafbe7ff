// Tests of how the concurrency limit reacts to results and latencies.

#define BOOST_TEST_MODULE gate_concurrency_limit
#include "gate/concurrency_limit.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace trefoil::gate {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

// Reports one result every 5 ms, each at full use of the limit.
struct limit_fixture {
    concurrency_limit limit{{.slots = 12}};
    mono_time now = start;
    seeded_random random{9};

    void report(call_result_kind kind, mono_duration latency = milliseconds(20)) {
        this->now += milliseconds(5);
        this->limit.on_result(kind, latency, this->limit.limit(), this->now);
    }
    void warm_up() {
        while (this->limit.limit() < 12) {
            this->report(call_result_kind::good);
        }
    }
};

}  // namespace

// Guards against a limit that more than doubles within a second.
BOOST_FIXTURE_TEST_CASE(limit_at_most_doubles_per_second, limit_fixture) {
    concurrency_limit fast({.slots = 64, .min_warm_up = milliseconds(0)});
    std::vector<std::uint32_t> history;
    for (int step = 0; fast.limit() < 64; ++step) {
        fast.on_result(call_result_kind::good, milliseconds(1), fast.limit(),
                       start + milliseconds(step));
        history.push_back(fast.limit());
        BOOST_TEST((step < 1000 || fast.limit() <= 2 * history[history.size() - 1001]));
    }
    BOOST_TEST(history.size() >= 6000U);
}

// Guards against growth without evidence: a response below full use does not show that the upstream
// can handle more than the limit.
BOOST_FIXTURE_TEST_CASE(responses_below_full_use_do_not_raise_the_limit, limit_fixture) {
    while (this->limit.limit() < 3) {
        this->report(call_result_kind::good);
    }
    for (int response = 0; response < 1000; ++response) {
        this->now += milliseconds(20);
        this->limit.on_result(call_result_kind::good, milliseconds(20), 2, this->now);
    }
    BOOST_TEST(this->limit.limit() == 3U);
}

// Guards against a limit that collapses because several concurrent calls report the same overload.
BOOST_FIXTURE_TEST_CASE(shedding_halves_once_per_interval, limit_fixture) {
    this->warm_up();
    this->report(call_result_kind::shed);
    BOOST_TEST(this->limit.limit() == 6U);
    this->report(call_result_kind::shed);
    BOOST_TEST(this->limit.limit() == 6U);
    for (int response = 0; response < 20; ++response) {
        this->report(call_result_kind::good);
    }
    this->report(call_result_kind::shed);
    BOOST_TEST(this->limit.limit() == 3U);
}

// Guards against a limit that falls too slowly at an upstream that became cold: a further failure
// of a call that started after the reduction shows that the reduced limit is too high as well.
BOOST_FIXTURE_TEST_CASE(failures_after_a_reduction_set_the_limit_to_one, limit_fixture) {
    this->warm_up();
    this->report(call_result_kind::failed, milliseconds(2));
    BOOST_TEST(this->limit.limit() == 6U);
    this->report(call_result_kind::good, milliseconds(20));
    this->report(call_result_kind::failed, milliseconds(2));
    BOOST_TEST(this->limit.limit() == 1U);
}

// Guards against hundreds of calls to an upstream that fails or refuses quickly.
BOOST_FIXTURE_TEST_CASE(refused_connections_pause_the_starts, limit_fixture) {
    this->warm_up();
    int attempts = 0;
    for (int step = 0; step < 10'000; ++step) {
        this->now += milliseconds(1);
        if (this->limit.may_start(0, this->now)) {
            ++attempts;
            this->limit.on_result(call_result_kind::connection_refused, milliseconds(1), 1,
                                  this->now);
        }
        BOOST_TEST((attempts == 0 || this->limit.limit() == 1));
    }
    BOOST_TEST(attempts <= 30);
    BOOST_TEST(attempts >= 20);
    this->now = this->limit.paused_until();
    this->report(call_result_kind::good);
    BOOST_TEST(this->limit.may_start(0, this->now));
}

// Guards against a workspace whose requests fail and that thereby reduces the limit for all others.
BOOST_FIXTURE_TEST_CASE(few_application_errors_are_tolerated, limit_fixture) {
    this->warm_up();
    std::uint64_t total = 0;
    for (int response = 0; response < 10'000; ++response) {
        bool error = this->random.below(100) < 2;
        this->report(error ? call_result_kind::application_error : call_result_kind::good);
        total += this->limit.limit();
    }
    BOOST_TEST(total / 10'000 >= 10);
    for (int response = 0; response < 20; ++response) {
        this->report(call_result_kind::application_error);
    }
    BOOST_TEST(this->limit.limit() == 1U);
}

// Guards against a reduction of the limit because cheap and expensive requests are mixed.
BOOST_FIXTURE_TEST_CASE(mixed_latencies_do_not_reduce_the_limit, limit_fixture) {
    this->warm_up();
    for (int response = 0; response < 5000; ++response) {
        bool expensive = this->random.below(10) < 4;
        this->report(call_result_kind::good, milliseconds(expensive ? 400 : 20));
    }
    BOOST_TEST(this->limit.limit() == 12U);
}

// Guards against overload that is not detected because the responses are slow but successful, and
// against a baseline that rises with them.
BOOST_FIXTURE_TEST_CASE(overload_reduces_the_limit_but_does_not_raise_the_baseline, limit_fixture) {
    this->warm_up();
    mono_duration before = this->limit.baseline().value();
    std::uint32_t lowest = 12;
    for (int response = 0; response < 10'000; ++response) {
        // Latency grows with the limit: above 4 concurrent calls the upstream queues them.
        bool overloaded = this->limit.limit() > 4;
        this->report(call_result_kind::good, milliseconds(overloaded ? 80 : 20));
        lowest = std::min(lowest, this->limit.limit());
        BOOST_TEST((this->limit.baseline().value() <= before));
    }
    BOOST_TEST(lowest <= 4U);
}

// Guards against a limit that stays at 1 after the upstream became permanently slower.
BOOST_FIXTURE_TEST_CASE(limit_recovers_after_a_permanent_rise_of_the_latency, limit_fixture) {
    this->warm_up();
    for (int response = 0; response < 6000; ++response) {
        this->report(call_result_kind::good, milliseconds(100));
    }
    BOOST_TEST(this->limit.limit() >= 10U);
}

}  // namespace trefoil::gate
