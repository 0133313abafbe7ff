// Tests of the estimates of request times at the upstream.

#define BOOST_TEST_MODULE gate_service_times
#include "gate/service_times.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>

#include "base/random.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;

struct times_fixture {
    service_times times;
    mono_time now{std::chrono::hours(1)};
    std::uint64_t sequence = 0;

    call_id next_id() {
        return {.instance = "ingress", .incarnation = 1, .sequence = ++this->sequence};
    }
    void serve(const std::string& route, mono_duration took) {
        call_id id = this->next_id();
        this->times.begin_request(id, route, this->now);
        this->now += took;
        this->times.end_request(id, true, this->now);
    }
    double expected_ms(const std::string& route) const {
        return std::chrono::duration<double, std::milli>(this->times.expected(route, this->now))
            .count();
    }
    // Serves requests whose times are between half and double the median, and returns how many of
    // them end within the high percentile.
    int within_high_percentile(int requests) {
        seeded_random random(5);
        int within = 0;
        for (int i = 0; i < requests; ++i) {
            double spread = std::exp2(2.0 * random.uniform() - 1.0);
            auto took = std::chrono::duration_cast<mono_duration>(milliseconds(90) * spread);
            within += took <= this->times.high_percentile("read", this->now) ? 1 : 0;
            this->serve("read", took);
        }
        return within;
    }
};

}  // namespace

// Guards against an estimate that mixes short and long requests of different routes.
BOOST_FIXTURE_TEST_CASE(each_route_has_its_own_time, times_fixture) {
    for (int i = 0; i < 100; ++i) {
        this->serve("short", milliseconds(20));
        this->serve("long", milliseconds(120));
    }
    BOOST_TEST(this->expected_ms("short") == 20, boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->expected_ms("long") == 120, boost::test_tools::tolerance(0.01));
    // A route without responses gets the mean of all routes.
    BOOST_TEST(this->expected_ms("new") > 20);
    BOOST_TEST(this->expected_ms("new") < 120);
}

// Guards against a percentile as low as the mean, which one request in two exceeds.
BOOST_FIXTURE_TEST_CASE(most_requests_end_within_the_high_percentile, times_fixture) {
    BOOST_TEST(this->within_high_percentile(2000) >= 2000 * 9 / 10);
    BOOST_TEST(this->expected_ms("read") < 130);
}

// Guards against fewer requests within the high percentile than its option states.
BOOST_FIXTURE_TEST_CASE(the_stated_share_of_requests_ends_within_the_high_percentile,
                        times_fixture) {
    BOOST_TEST(this->within_high_percentile(2000) >= 2000 * 95 / 100);
}

// Guards against a percentile that is too low for a service with mostly short and a few long
// requests.
BOOST_FIXTURE_TEST_CASE(the_high_percentile_holds_for_times_with_a_long_tail, times_fixture) {
    seeded_random random(6);
    int within = 0;
    for (int i = 0; i < 2000; ++i) {
        std::chrono::duration<double, std::milli> took(-90.0 * std::log(1.0 - random.uniform()));
        auto rounded = std::chrono::duration_cast<mono_duration>(took);
        within += rounded <= this->times.high_percentile("read", this->now) ? 1 : 0;
        this->serve("read", rounded);
    }
    BOOST_TEST(within >= 2000 * 95 / 100);
    // An estimate above nearly all times would not be useful.
    BOOST_TEST(within <= 2000 * 98 / 100);
}

// Guards against an upstream that becomes slow and is detected only when its first slow response
// arrives: the ages of the running requests must show it earlier.
BOOST_FIXTURE_TEST_CASE(ages_of_running_requests_raise_the_expected_time, times_fixture) {
    for (int i = 0; i < 50; ++i) {
        this->serve("read", milliseconds(90));
    }
    for (int i = 0; i < 6; ++i) {
        this->times.begin_request(this->next_id(), "read", this->now);
    }
    BOOST_TEST(this->expected_ms("read") == 90, boost::test_tools::tolerance(0.01));
    this->now += milliseconds(900);
    BOOST_TEST(this->expected_ms("read") >= 5 * 90);
}

// Guards against requests that end early without a response and lower the mean.
BOOST_FIXTURE_TEST_CASE(requests_without_a_complete_response_do_not_change_the_mean,
                        times_fixture) {
    this->serve("read", milliseconds(90));
    call_id id = this->next_id();
    this->times.begin_request(id, "read", this->now);
    this->times.end_request(id, false, this->now + milliseconds(1));
    BOOST_TEST(this->expected_ms("read") == 90, boost::test_tools::tolerance(0.01));
}

}  // namespace trefoil::gate
