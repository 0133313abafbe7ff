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

// An event with values that no check objects to.
event make(std::int64_t t, const std::string& kind, const std::string& request,
           const std::string& instance = "other") {
    event made{.t = t, .kind = kind, .request = request, .instance = instance, .key = "n1"};
    made.workspace = "north";
    made.target = "a";
    made.whole = true;
    made.running = made.capacity = 1;
    return made;
}

event call_of(const std::string& request, std::int64_t t, const std::string& workspace = "north") {
    event made = make(t, "call", request);
    made.workspace = workspace;
    return made;
}

event outcome_of(const std::string& request, std::int64_t t, std::int64_t status,
                 const std::string& outcome = "", const std::string& error = "") {
    event made = make(t, "outcome", request);
    made.status = status;
    made.outcome = outcome;
    made.error = error;
    return made;
}

// One request that workspace north sends at `t` and that station-1 answers.
std::vector<event> good_request(const std::string& request, std::int64_t t) {
    return {call_of(request, t), make(t + 10, "start", request, "station-1"),
            outcome_of(request, t + 30, 200)};
}

event control(std::int64_t t, const std::string& kind, const std::string& instance) {
    return make(t, kind, "", instance);
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
    events.push_back(call_of("r4", 6 * second_us));
    events.back().key = "n2";
    events.push_back(make(6 * second_us, "start", "r4"));
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

void expect_only(const std::string& name, const std::string& fault,
                 const std::vector<event>& planted) {
    BOOST_TEST_CONTEXT(name << ": " << fault) {
        std::vector<std::string> names = violated(planted);
        BOOST_TEST(names == std::vector<std::string>{name}, boost::test_tools::per_element());
    }
}

}  // namespace

// Guards against checks that fail on correct behaviour or that examine nothing.
BOOST_AUTO_TEST_CASE(good_run_holds_and_exercises_every_check) {
    BOOST_TEST(violated({}).empty());
    for (const check_result& check : check_history(good_run())) {
        BOOST_TEST(check.examined > 0U, check.name);
    }
}

// Guards against each way in which a check could miss the fault that it is there for.
BOOST_AUTO_TEST_CASE(planted_faults_are_detected) {
    constexpr std::int64_t t = 4 * second_us;  // When station-1 is told to stop.
    event truncated = outcome_of("r1", 500, 200);
    truncated.whole = false;
    event key_seen = make(9, "shed", "r1");
    key_seen.key_seen = true;
    event overload = make(10 * second_us, "start", "r1.1");
    overload.running = 2;
    event crash = control(t + 9, "exited", "station-1");
    crash.status = 139;
    expect_only("at_most_once", "second execution", {make(500, "start", "r1")});
    expect_only("whole_answer", "truncated or foreign answer", {truncated});
    expect_only("whole_answer", "answer that nothing produced", {outcome_of("r0", 9, 200)});
    expect_only("not_run_true", "not run, but ran", {outcome_of("r1", 500, 503, "not_run")});
    expect_only("key_hidden", "key in a shed request", {key_seen});
    expect_only("workspace_of_key", "work without a key",
                {call_of("x", 8, "-"), make(9, "start", "x")});
    expect_only("workspace_of_key", "work that nobody asked for", {make(9, "start", "unknown")});
    expect_only("workspace_of_key", "nested call without a key", {make(9, "start", "r0.1")});
    expect_only("rate_and_burst", "one over the burst", good_request("extra", 300));
    expect_only("rate_and_burst", "one over the rate", good_request("extra", second_us - 100));
    expect_only("cold_start_load", "too much for a cold upstream", {overload});
    expect_only("key_stops", "revoked key that works", {make(9 * second_us + 1, "start", "r9")});
    expect_only("graceful_stop", "crash while stopping", {crash});
    expect_only("graceful_stop", "stop without an end", {control(t, "stop", "station-2")});
    expect_only("graceful_stop", "request cut off at the upstream's daemon",
                {outcome_of("r3", t + 9, 0, "", "reset")});
    expect_only("graceful_stop", "request cut off at the caller's daemon",
                {call_of("q", t - 9), outcome_of("q", t + 9, 0, "", "reset")});
    expect_only("version_never_back", "older base", {version(9, 2, 2)});
    expect_only("version_never_back", "older overlay", {version(9, 4, 1)});
    expect_only("bad_version_refused", "bad version in force", {version(9, 9, 2)});
}

// Guards against a stop that loses what callers send on connections that they keep, or that leaves
// it open whether a call ran, also where no upstream saw the call.
BOOST_AUTO_TEST_CASE(detects_requests_lost_after_the_stop_was_announced) {
    constexpr std::int64_t t = 4 * second_us;  // When station-1 is told to stop.
    auto lost = [](std::int64_t waited_us, const std::string& error) {
        return std::vector<event>{call_of("k", t + 9),
                                  outcome_of("k", t + 9 + waited_us, 0, "", error)};
    };
    BOOST_TEST(violated(lost(200'000, "reset")).empty());
    expect_only("graceful_stop", "close long after the request", lost(200'001, "reset"));
    expect_only("graceful_stop", "no answer", lost(300'000, "timeout"));
    std::vector<event> passed_on = lost(100'000, "reset");
    passed_on.push_back(make(t + 20, "start", "k"));
    passed_on.back().key = "none";
    expect_only("graceful_stop", "no answer, but passed on", passed_on);
    std::vector<event> unknown = {call_of("k", t + 9), outcome_of("k", t + 90, 502, "unknown")};
    unknown[0].target = "b";
    unknown[1].reason = "connection_lost";
    expect_only("graceful_stop", "unknown outcome at another daemon", unknown);
    unknown[1].reason = "stopping";
    expect_only("graceful_stop", "unknown outcome at the end", unknown);
}

// Guards against blaming the limits for queueing, or the gate for the first second after an
// upstream turned cold without warning.
BOOST_AUTO_TEST_CASE(stated_slack_is_granted) {
    std::vector<event> queued = good_request("extra", 3);
    queued[0].t = -2 * second_us;
    BOOST_TEST(violated(queued).empty());
    BOOST_TEST(violated(good_request("extra", second_us + 200)).empty());
    event overload = make(10 * second_us, "start", "r1.1");
    overload.running = 2;
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
    expect_only("no_work_after_taken_out", "work after the bound", late);
    late.push_back(control(2 * second_us, "put_back", "station-1"));
    BOOST_TEST(violated(late).empty());
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
