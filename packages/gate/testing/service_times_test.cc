// Tests of what the gate knows about the times of requests.

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
        this->times.started(id, route, this->now);
        this->now += took;
        this->times.ended(id, true, this->now);
    }
    double expected_ms(const std::string& route) const {
        return std::chrono::duration<double, std::milli>(this->times.expected(route, this->now))
            .count();
    }
    // Requests, of so many between half and double their median, that end within the time.
    int within_cautious(int requests) {
        seeded_random random(5);
        int within = 0;
        for (int i = 0; i < requests; ++i) {
            double spread = std::exp2(2.0 * random.uniform() - 1.0);
            auto took = std::chrono::duration_cast<mono_duration>(milliseconds(90) * spread);
            within += took <= this->times.cautious("read", this->now) ? 1 : 0;
            this->serve("read", took);
        }
        return within;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(each_route_has_its_own_time, times_fixture) {
    for (int i = 0; i < 100; ++i) {
        this->serve("short", milliseconds(20));
        this->serve("long", milliseconds(120));
    }
    BOOST_TEST(this->expected_ms("short") == 20, boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->expected_ms("long") == 120, boost::test_tools::tolerance(0.01));
    // A route without responses is judged by all others.
    BOOST_TEST(this->expected_ms("new") > 20);
    BOOST_TEST(this->expected_ms("new") < 120);
}

// Guards against an estimate that one request in two exceeds.
BOOST_FIXTURE_TEST_CASE(most_requests_end_within_the_cautious_time, times_fixture) {
    BOOST_TEST(this->within_cautious(2000) >= 2000 * 9 / 10);
    BOOST_TEST(this->expected_ms("read") < 130);
}

BOOST_FIXTURE_TEST_CASE(requests_end_within_the_cautious_time_as_often_as_stated, times_fixture) {
    BOOST_TEST(this->within_cautious(2000) >= 2000 * 95 / 100);
}

// The pattern: a service whose requests are mostly short and now and then long.
BOOST_FIXTURE_TEST_CASE(the_cautious_time_holds_for_times_with_a_long_tail, times_fixture) {
    seeded_random random(6);
    int within = 0;
    for (int i = 0; i < 2000; ++i) {
        std::chrono::duration<double, std::milli> took(-90.0 * std::log(1.0 - random.uniform()));
        auto rounded = std::chrono::duration_cast<mono_duration>(took);
        within += rounded <= this->times.cautious("read", this->now) ? 1 : 0;
        this->serve("read", rounded);
    }
    BOOST_TEST(within >= 2000 * 95 / 100);
    // It says something: not all end within it.
    BOOST_TEST(within <= 2000 * 98 / 100);
}

// The pattern: an upstream turns slow while it holds requests. Their ages show it before any of
// them ends.
BOOST_FIXTURE_TEST_CASE(running_requests_that_grow_old_count_as_slow, times_fixture) {
    for (int i = 0; i < 50; ++i) {
        this->serve("read", milliseconds(90));
    }
    for (int i = 0; i < 6; ++i) {
        this->times.started(this->next_id(), "read", this->now);
    }
    BOOST_TEST(this->expected_ms("read") == 90, boost::test_tools::tolerance(0.01));
    this->now += milliseconds(900);
    BOOST_TEST(this->expected_ms("read") >= 5 * 90);
}

// Guards against lost responses that make an upstream look fast.
BOOST_FIXTURE_TEST_CASE(requests_without_a_whole_response_count_for_nothing, times_fixture) {
    this->serve("read", milliseconds(90));
    call_id id = this->next_id();
    this->times.started(id, "read", this->now);
    this->times.ended(id, false, this->now + milliseconds(1));
    BOOST_TEST(this->expected_ms("read") == 90, boost::test_tools::tolerance(0.01));
}

}  // namespace trefoil::gate
