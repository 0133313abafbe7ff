// Tests of the history checker: each check accepts a valid history and reports an injected fault.

#define BOOST_TEST_MODULE history_checker
#include "history_checker/history.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <utility>

namespace trefoil::testing {

namespace {

constexpr std::int64_t second_us = 1'000'000;

// An event with field values that violate no check.
event make_event(std::int64_t t, const std::string& kind, const std::string& request,
                 const std::string& instance = "other") {
    event item{.t = t, .kind = kind, .request = request, .instance = instance, .key = "n1"};
    item.workspace = "north";
    item.target = "a";
    item.whole = true;
    item.running = item.capacity = 1;
    return item;
}

event call_of(const std::string& request, std::int64_t t, const std::string& workspace = "north") {
    event item = make_event(t, "call", request);
    item.workspace = workspace;
    return item;
}

event outcome_of(const std::string& request, std::int64_t t, std::int64_t status,
                 const std::string& outcome = "", const std::string& error = "") {
    event item = make_event(t, "outcome", request);
    item.status = status;
    item.outcome = outcome;
    item.error = error;
    return item;
}

// One request of workspace north, called at `t` (microseconds) and served by station-1.
std::vector<event> served_request(const std::string& request, std::int64_t t) {
    return {call_of(request, t), make_event(t + 10, "start", request, "station-1"),
            outcome_of(request, t + 30, 200)};
}

event control(std::int64_t t, const std::string& kind, const std::string& instance) {
    return make_event(t, kind, "", instance);
}

event version(std::int64_t t, std::uint64_t base, std::uint64_t overlay) {
    return {.t = t, .kind = "version", .instance = "station-1", .base = base, .overlay = overlay};
}

// A run in which every check examines at least one event and holds. Request r3 is running when the
// stop event of station-1 is written.
std::vector<event> valid_run() {
    std::vector<event> events = {{.kind = "limit", .workspace = "north", .rate = 1, .burst = 2},
                                 version(0, 3, 2),
                                 {.t = 5, .kind = "bad_version", .base = 9},
                                 call_of("r0", 6, "-"),
                                 outcome_of("r0", 7, 401, "not_run"),
                                 control(50, "taken_out", "station-1"),
                                 control(50, "leaving", "station-1"),
                                 control(50, "key_revoked", ""),
                                 control(4 * second_us, "stop", "station-1"),
                                 control(5 * second_us, "exited", "station-1"),
                                 call_of("r9", 9 * second_us)};
    for (const auto& [request, t] : {std::pair{"r1", 100}, {"r2", 200}, {"r3", 4000000 - 15}}) {
        std::vector<event> added = served_request(request, t);
        events.insert(events.end(), added.begin(), added.end());
    }
    events.push_back(call_of("r4", 6 * second_us));
    events.back().key = "n2";
    events.push_back(make_event(6 * second_us, "start", "r4"));
    return events;
}

// Names of the violated checks after the `injected` events are added to the valid run.
std::vector<std::string> violated_checks(const std::vector<event>& injected) {
    std::vector<event> events = valid_run();
    events.insert(events.end(), injected.begin(), injected.end());
    std::stable_sort(events.begin(), events.end(),
                     [](const event& left, const event& right) { return left.t < right.t; });
    std::vector<std::string> names;
    for (const check_result& check : check_history(events)) {
        if (!check.violations.empty()) {
            names.push_back(check.name);
        }
    }
    return names;
}

void expect_only_violation(const std::string& name, const std::string& fault,
                           const std::vector<event>& injected) {
    BOOST_TEST_CONTEXT(name << ": " << fault) {
        std::vector<std::string> names = violated_checks(injected);
        BOOST_TEST(names == std::vector<std::string>{name}, boost::test_tools::per_element());
    }
}

}  // namespace

// Guards against a check that reports correct behaviour, or that examines no event and so always
// holds.
BOOST_AUTO_TEST_CASE(every_check_examines_and_accepts_a_valid_run) {
    BOOST_TEST(violated_checks({}).empty());
    for (const check_result& check : check_history(valid_run())) {
        BOOST_TEST(check.examined > 0U, check.name);
    }
}

// Guards against a check that misses a violation of its invariant.
BOOST_AUTO_TEST_CASE(each_check_reports_its_injected_fault) {
    constexpr std::int64_t t = 4 * second_us;  // Time of the stop event of station-1.
    event truncated = outcome_of("r1", 500, 200);
    truncated.whole = false;
    event key_seen = make_event(9, "shed", "r1");
    key_seen.key_seen = true;
    event overload = make_event(10 * second_us, "start", "r1.1");
    overload.running = 2;
    event crash = control(t + 9, "exited", "station-1");
    crash.status = 139;
    expect_only_violation("at_most_once", "second execution", {make_event(500, "start", "r1")});
    expect_only_violation("whole_answer", "truncated response, or that of another request",
                          {truncated});
    expect_only_violation("whole_answer", "response that no upstream produced",
                          {outcome_of("r0", 9, 200)});
    expect_only_violation("not_run_true", "not run, but ran",
                          {outcome_of("r1", 500, 503, "not_run")});
    expect_only_violation("key_hidden", "key in a shed request", {key_seen});
    expect_only_violation("workspace_of_key", "request without a key",
                          {call_of("x", 8, "-"), make_event(9, "start", "x")});
    expect_only_violation("workspace_of_key", "request without a call",
                          {make_event(9, "start", "unknown")});
    expect_only_violation("workspace_of_key", "nested call without a key",
                          {make_event(9, "start", "r0.1")});
    expect_only_violation("rate_and_burst", "one over the burst", served_request("extra", 300));
    expect_only_violation("rate_and_burst", "one over the rate",
                          served_request("extra", second_us - 100));
    expect_only_violation("cold_start_load", "load above the capacity of a cold upstream",
                          {overload});
    expect_only_violation("key_stops", "revoked key that is accepted",
                          {make_event(9 * second_us + 1, "start", "r9")});
    expect_only_violation("graceful_stop", "crash while stopping", {crash});
    expect_only_violation("graceful_stop", "stop without an end",
                          {control(t, "stop", "station-2")});
    expect_only_violation("graceful_stop", "request cut off at the upstream's daemon",
                          {outcome_of("r3", t + 9, 0, "", "reset")});
    expect_only_violation("graceful_stop", "request cut off at the caller's daemon",
                          {call_of("q", t - 9), outcome_of("q", t + 9, 0, "", "reset")});
    expect_only_violation("version_never_back", "older base", {version(9, 2, 2)});
    expect_only_violation("version_never_back", "older overlay", {version(9, 4, 1)});
    expect_only_violation("bad_version_refused", "bad version in force", {version(9, 9, 2)});
}

// Guards against a missed failure of a planned stop: calls on persistent connections that are lost,
// or whose outcome is reported as unknown, even if no upstream started them.
BOOST_AUTO_TEST_CASE(graceful_stop_reports_lost_calls_and_unknown_outcomes) {
    constexpr std::int64_t t = 4 * second_us;  // Time of the stop event of station-1.
    auto lost = [](std::int64_t waited_us, const std::string& error) {
        return std::vector<event>{call_of("k", t + 9),
                                  outcome_of("k", t + 9 + waited_us, 0, "", error)};
    };
    BOOST_TEST(violated_checks(lost(200'000, "reset")).empty());
    expect_only_violation("graceful_stop", "close long after the request", lost(200'001, "reset"));
    expect_only_violation("graceful_stop", "no response", lost(300'000, "timeout"));
    std::vector<event> forwarded = lost(100'000, "reset");
    forwarded.push_back(make_event(t + 20, "start", "k"));
    forwarded.back().key = "none";
    expect_only_violation("graceful_stop", "no response, but forwarded", forwarded);
    std::vector<event> unknown = {call_of("k", t + 9), outcome_of("k", t + 90, 502, "unknown")};
    unknown[0].target = "b";
    unknown[1].reason = "connection_lost";
    expect_only_violation("graceful_stop", "unknown outcome at another daemon", unknown);
    unknown[1].reason = "stopping";
    expect_only_violation("graceful_stop", "unknown outcome at the end of the stop", unknown);
}

// Guards against false violations of rate limits because of queueing, and of the gate in the first
// second of an unannounced cold start.
BOOST_AUTO_TEST_CASE(queueing_time_and_cold_start_detection_time_are_allowed) {
    std::vector<event> queued = served_request("extra", 3);
    queued[0].t = -2 * second_us;
    BOOST_TEST(violated_checks(queued).empty());
    BOOST_TEST(violated_checks(served_request("extra", second_us + 200)).empty());
    event overload = make_event(10 * second_us, "start", "r1.1");
    overload.running = 2;
    event cold = control(10 * second_us - 500'000, "cold", "other");
    BOOST_TEST(violated_checks({cold, overload}).empty());
}

// Guards against missed requests that start at a leaving instance, or in a failure domain that is
// out of service, more than 5 s after the change.
BOOST_AUTO_TEST_CASE(no_work_checks_report_starts_after_the_propagation_bound) {
    std::vector<event> late = served_request("late", 6 * second_us);
    late[0].key = "n2";
    std::vector<std::string> both = {"no_work_after_leaving", "no_work_after_taken_out"};
    BOOST_TEST(violated_checks(late) == both, boost::test_tools::per_element());
    late.push_back(control(2 * second_us, "live", "station-1"));
    expect_only_violation("no_work_after_taken_out", "request after the propagation bound", late);
    late.push_back(control(2 * second_us, "put_back", "station-1"));
    BOOST_TEST(violated_checks(late).empty());
}

// Guards against a verdict on an incomplete history because a line or a file was skipped.
BOOST_AUTO_TEST_CASE(read_events_rejects_unparsable_lines_and_missing_files) {
    std::string name = "history_test_events.jsonl";
    std::ofstream(name) << R"({"t":7,"kind":"start","request":"a","running":2})"
                        << "\n{\"t\":";
    auto events = read_events({name});
    BOOST_REQUIRE(std::holds_alternative<read_failure>(events));
    BOOST_TEST(std::get<read_failure>(events).line == 2U);
    std::ofstream(name) << R"({"t":7,"kind":"start","request":"a","running":2})"
                        << "\n";
    events = read_events({name});
    BOOST_REQUIRE(std::holds_alternative<std::vector<event>>(events));
    BOOST_TEST(std::get<std::vector<event>>(events).front().running == 2);
    std::remove(name.c_str());
    BOOST_TEST(std::holds_alternative<read_failure>(read_events({name})));
}

}  // namespace trefoil::testing
