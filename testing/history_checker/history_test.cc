// Tests of the history checker: each check holds on a good history and fails on a planted fault.

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

event call_of(const std::string& request, std::int64_t t, const std::string& workspace = "north") {
    return {.t = t,
            .kind = "call",
            .request = request,
            .key = "n1",
            .workspace = workspace,
            .target = "a"};
}

event start_of(const std::string& request, std::int64_t t, const std::string& instance = "other") {
    return {.t = t,
            .kind = "start",
            .request = request,
            .instance = instance,
            .running = 1,
            .capacity = 1};
}

event outcome_of(const std::string& request, std::int64_t t, std::int64_t status,
                 const std::string& outcome = "", const std::string& error = "") {
    return {.t = t,
            .kind = "outcome",
            .request = request,
            .status = status,
            .outcome = outcome,
            .error = error,
            .whole = error.empty()};
}

// One request that workspace north sends at `t` and that station-1 answers.
std::vector<event> good_request(const std::string& request, std::int64_t t) {
    return {call_of(request, t), start_of(request, t + 10, "station-1"),
            outcome_of(request, t + 30, 200)};
}

event control(std::int64_t t, const std::string& kind, const std::string& instance) {
    return {.t = t, .kind = kind, .instance = instance, .key = "n1", .target = "a"};
}

event version(std::int64_t t, std::uint64_t base, std::uint64_t overlay) {
    return {.t = t, .kind = "version", .instance = "station-1", .base = base, .overlay = overlay};
}

// A run in which every check examines something and holds.
std::vector<event> good_run() {
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
        std::vector<event> added = good_request(request, t);
        events.insert(events.end(), added.begin(), added.end());
    }
    return events;
}

// Names of the violated checks after `planted` events are added to the good run.
std::vector<std::string> violated(const std::vector<event>& planted) {
    std::vector<event> events = good_run();
    events.insert(events.end(), planted.begin(), planted.end());
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

void expect_only(const std::string& name, const std::vector<event>& planted) {
    std::vector<std::string> names = violated(planted);
    BOOST_TEST(names == std::vector<std::string>{name}, boost::test_tools::per_element());
}

}  // namespace

// Guards against checks that fail on correct behaviour or that examine nothing.
BOOST_AUTO_TEST_CASE(good_run_holds_and_exercises_every_check) {
    BOOST_TEST(violated({}).empty());
    for (const check_result& check : check_history(good_run())) {
        BOOST_TEST(check.examined > 0U, check.name);
    }
}

// Guards against missing a second execution of a non-idempotent request.
BOOST_AUTO_TEST_CASE(detects_second_start) {
    expect_only("at_most_once", {start_of("r1", 500)});
}

// Guards against missing a truncated or foreign answer, or one that nothing produced.
BOOST_AUTO_TEST_CASE(detects_wrong_answer) {
    event truncated = outcome_of("r1", 500, 200);
    truncated.whole = false;
    expect_only("whole_answer", {truncated});
    expect_only("whole_answer", {outcome_of("r0", 9, 200)});
}

// Guards against missing a refusal that claims "not run" for a request that ran.
BOOST_AUTO_TEST_CASE(detects_false_not_run) {
    expect_only("not_run_true", {outcome_of("r1", 500, 503, "not_run")});
}

// Guards against missing a key that reached an upstream, also in a shed request.
BOOST_AUTO_TEST_CASE(detects_visible_key) {
    expect_only("key_hidden", {{.t = 9, .kind = "shed", .request = "r1", .key_seen = true}});
}

// Guards against missing work without a key, and work that nobody asked for.
BOOST_AUTO_TEST_CASE(detects_start_without_workspace) {
    expect_only("workspace_of_key", {call_of("x", 8, "-"), start_of("x", 9)});
    expect_only("workspace_of_key", {start_of("unknown", 9)});
    expect_only("workspace_of_key", {start_of("r0.1", 9)});
}

// Guards against missing one request over the burst, or one over the rate after the burst is spent.
BOOST_AUTO_TEST_CASE(detects_excess_over_limit) {
    expect_only("rate_and_burst", good_request("extra", 300));
    expect_only("rate_and_burst", good_request("extra", second_us - 100));
    BOOST_TEST(violated(good_request("extra", second_us + 200)).empty());
}

// Guards against counting a request that waited in a queue as admitted when it started.
BOOST_AUTO_TEST_CASE(accepts_delayed_starts) {
    std::vector<event> queued = good_request("extra", 3);
    queued[0].t = -2 * second_us;
    BOOST_TEST(violated(queued).empty());
}

// Guards against missing overload of a cold upstream, and against blaming the gate for the first
// second after an upstream turned cold without warning.
BOOST_AUTO_TEST_CASE(detects_overload_in_cold_start) {
    event overload = start_of("r1.1", 10 * second_us);
    overload.running = 2;
    expect_only("cold_start_load", {overload});
    event cold = control(10 * second_us - 500'000, "cold", "other");
    BOOST_TEST(violated({cold, overload}).empty());
}

// Guards against missing new work at a leaving or taken-out instance after the bound of 5 s.
BOOST_AUTO_TEST_CASE(detects_work_at_closed_instance) {
    std::vector<event> late = good_request("late", 6 * second_us);
    late[0].key = "n2";
    std::vector<std::string> both = {"no_work_after_leaving", "no_work_after_taken_out"};
    BOOST_TEST(violated(late) == both, boost::test_tools::per_element());
    late.push_back(control(2 * second_us, "live", "station-1"));
    expect_only("no_work_after_taken_out", late);
    late.push_back(control(2 * second_us, "put_back", "station-1"));
    BOOST_TEST(violated(late).empty());
}

// Guards against missing a revoked key that still works after the bound of 5 s.
BOOST_AUTO_TEST_CASE(detects_revoked_key_that_works) {
    expect_only("key_stops", {start_of("r9", 9 * second_us + 1)});
}

// Guards against missing a stop that fails, hangs, or cuts off a request at either role.
BOOST_AUTO_TEST_CASE(detects_interrupting_stop) {
    std::int64_t t = 4 * second_us;
    event crash = control(t + 9, "exited", "station-1");
    crash.status = 139;
    expect_only("graceful_stop", {crash});
    expect_only("graceful_stop", {control(t, "stop", "station-2")});
    expect_only("graceful_stop", {outcome_of("r3", t + 9, 0, "", "reset")});
    expect_only("graceful_stop", {call_of("q", t - 9), outcome_of("q", t + 9, 0, "", "reset")});
}

// Guards against missing a daemon that returns to an older base or overlay.
BOOST_AUTO_TEST_CASE(detects_older_version) {
    expect_only("version_never_back", {version(9, 2, 2)});
    expect_only("version_never_back", {version(9, 4, 1)});
}

// Guards against missing a bad version in force.
BOOST_AUTO_TEST_CASE(detects_bad_version_in_force) {
    expect_only("bad_version_refused", {version(9, 9, 2)});
}

// Guards against a verdict on part of a history: an unreadable line must not be skipped.
BOOST_AUTO_TEST_CASE(reader_rejects_broken_lines) {
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
