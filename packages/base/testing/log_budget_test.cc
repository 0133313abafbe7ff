// Tests of the rate limit for log lines.

#define BOOST_TEST_MODULE log_budget
#include <boost/test/unit_test.hpp>

#include <string>

#include "base/log_budget.h"

namespace trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Offers lines to a log budget at a constant rate and counts the reports of dropped lines.
struct log_load {
    log_budget budget;
    mono_time now{seconds(100)};
    std::uint64_t written = 0;
    std::uint64_t reports = 0;
    std::uint64_t reported_lines = 0;
    std::uint64_t offered = 0;

    log_load() { this->budget.start({.lines_per_second = 400, .burst_lines = 2000}, this->now); }

    void offer(log_priority priority, int lines_per_second, seconds length) {
        mono_time end = this->now + length;
        while (this->now < end) {
            std::string id = std::to_string(this->offered++);
            if (this->budget.take_for_request(priority, id, this->now)) {
                ++this->written;
            }
            if (std::uint64_t count = this->budget.take_unreported_drops(this->now)) {
                ++this->reports;
                this->reported_lines += count;
            }
            this->now += std::chrono::duration_cast<mono_duration>(seconds(1)) / lines_per_second;
        }
    }
};

}  // namespace

// Guards against one report per dropped line, which would fill the log with reports. The load is
// that of an overloaded service that refuses every request.
BOOST_AUTO_TEST_CASE(dropped_lines_are_reported_at_most_once_a_second) {
    log_load load;
    load.offer(log_priority::failure, 5000, seconds(20));
    BOOST_TEST(load.reports > 0);
    BOOST_TEST(load.reports <= 20);
    load.reported_lines += load.budget.take_remaining_drops(load.now);
    BOOST_TEST(load.reported_lines + load.written == load.offered);
}

// Guards against request lines that exceed the limit and against drops that are not counted.
BOOST_AUTO_TEST_CASE(lines_about_requests_stay_within_rate_and_burst) {
    for (log_priority priority : {log_priority::ordinary, log_priority::failure}) {
        log_load load;
        load.offer(priority, 5000, seconds(20));
        BOOST_TEST(load.written <= 2000 + 20 * 400);
        BOOST_TEST(load.written + load.budget.dropped() == load.offered);
    }
}

// Guards against a flood of failed requests that hides the loss of a dependency.
BOOST_AUTO_TEST_CASE(lines_about_the_daemon_are_written_during_a_flood_of_failures) {
    log_load load;
    for (int i = 0; i < 20; ++i) {
        load.offer(log_priority::failure, 5000, seconds(1));
        BOOST_TEST(load.budget.take(load.now));
    }
}

// Guards against ordinary lines that use up the tokens for lines about failed requests.
BOOST_AUTO_TEST_CASE(failures_are_written_while_ordinary_lines_are_dropped) {
    log_load load;
    load.offer(log_priority::ordinary, 5000, seconds(10));
    BOOST_TEST(load.budget.take_for_request(log_priority::failure, "any", load.now));
}

// Guards against two daemons that sample different requests, which would leave each request with
// the lines of one daemon only.
BOOST_AUTO_TEST_CASE(two_daemons_under_load_sample_the_same_requests) {
    log_load first;
    log_load second;
    first.offer(log_priority::failure, 5000, seconds(10));
    second.offer(log_priority::failure, 5000, seconds(10));
    int both = 0;
    for (int i = 0; i < 64; ++i) {
        std::string id = "request-" + std::to_string(i);
        bool at_first = first.budget.take_for_request(log_priority::failure, id, first.now);
        bool at_second = second.budget.take_for_request(log_priority::failure, id, second.now);
        BOOST_TEST(at_first == at_second);
        both += at_first && at_second ? 1 : 0;
    }
    BOOST_TEST(both < 64);
}

// Guards against a burst beyond its limit after a long time without lines, such as a suspension.
BOOST_AUTO_TEST_CASE(a_long_pause_refills_the_budget_only_to_the_burst) {
    log_load load;
    load.offer(log_priority::failure, 5000, seconds(5));
    load.now += std::chrono::hours(1);
    std::uint64_t taken = 0;
    while (load.budget.take(load.now)) {
        ++taken;
    }
    BOOST_TEST(taken == 2000U);
}

}  // namespace trefoil
