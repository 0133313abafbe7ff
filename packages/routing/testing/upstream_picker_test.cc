// Tests of the choice of an upstream and of the load table that it is based on.

#define BOOST_TEST_MODULE routing_upstream_picker
#include "routing/upstream_picker.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours(1)};

candidate live(const std::string& instance, const std::string& domain) {
    return {.instance = instance, .address = "127.0.0.1:7001", .failure_domain = domain};
}

std::map<std::string, int> count_picks(const upstream_picker& picker,
                                       const std::vector<candidate>& candidates,
                                       const load_table& loads, mono_time now) {
    seeded_random random(11);
    std::map<std::string, int> picks;
    for (int call = 0; call < 1000; ++call) {
        pick_result result = picker.pick(candidates, {}, loads, now, random);
        ++picks[std::get<picked_upstream>(result).chosen.instance];
    }
    return picks;
}

}  // namespace

// Guards against new calls at an instance that is leaving, suspected, taken out, already tried or
// has just failed, whatever the loads are.
BOOST_AUTO_TEST_CASE(never_picks_an_unusable_instance) {
    seeded_random random(3);
    upstream_picker picker({.failure_domain = "d1"});
    for (int round = 0; round < 5000; ++round) {
        load_table loads;
        std::vector<candidate> candidates;
        std::vector<std::string> tried;
        for (std::uint64_t index = 0; index < 6; ++index) {
            candidate each =
                live("i" + std::to_string(index), "d" + std::to_string(random.below(3)));
            each.state = static_cast<candidate_state>(random.below(3));
            each.taken_out = random.below(4) == 0;
            if (random.below(4) == 0) {
                tried.push_back(each.instance);
            }
            if (random.below(4) == 0) {
                loads.on_connection_failed(each.instance, start);
            }
            for (std::uint64_t calls = random.below(4); calls > 0; --calls) {
                loads.on_call_sent(each.instance, start);
            }
            candidates.push_back(each);
        }
        pick_result result =
            picker.pick(candidates, tried, loads, start + milliseconds(999), random);
        const auto* picked = std::get_if<picked_upstream>(&result);
        if (picked == nullptr) {
            continue;
        }
        const candidate& chosen = picked->chosen;
        BOOST_TEST((chosen.state == candidate_state::live));
        BOOST_TEST(!chosen.taken_out);
        BOOST_TEST((std::find(tried.begin(), tried.end(), chosen.instance) == tried.end()));
        BOOST_TEST(!loads.find(chosen.instance).connection_failed_at.has_value());
    }
}

// Load pattern: the daemons of a service with one instance are restarted one after the other.
BOOST_AUTO_TEST_CASE(the_only_instance_of_a_service_gets_calls_while_it_stops) {
    seeded_random random(3);
    upstream_picker picker({.failure_domain = "d1"});
    load_table loads;
    candidate stopping = live("a", "d2");
    stopping.state = candidate_state::stopping;
    candidate leaving = live("b", "d1");
    leaving.state = candidate_state::leaving;
    const pick_context context{.route = "r", .objective = milliseconds(200)};
    auto plain = picker.pick({leaving, stopping}, {}, loads, start, random);
    auto timed = picker.pick({leaving, stopping}, {}, loads, context, start, random);
    BOOST_TEST(std::get<picked_upstream>(plain).chosen.instance == "a");
    BOOST_TEST(std::get<picked_upstream>(timed).chosen.instance == "a");
    std::vector<candidate> many(20, leaving);
    many.push_back(stopping);
    auto sampled = picker.pick(many, {}, loads, context, start, random);
    BOOST_TEST(std::get<picked_upstream>(sampled).chosen.instance == "a");
}

// Load pattern: one of two instances stops, and the other gets more calls than it has slots for.
BOOST_AUTO_TEST_CASE(a_stopping_instance_gets_only_calls_that_others_cannot_serve_in_time) {
    seeded_random random(3);
    upstream_picker picker({.failure_domain = "d1"});
    load_table loads;
    candidate stopping = live("a", "d1");
    stopping.state = candidate_state::stopping;
    std::vector<candidate> candidates = {stopping, live("b", "d1")};
    const pick_context context{.route = "r", .objective = milliseconds(1000)};
    for (const char* instance : {"a", "b"}) {
        loads.on_report(instance, {.limit = 2, .mean_service_us = 300'000}, start);
        loads.set_connected(instance, true);
    }
    auto pick = [&] {
        auto result = picker.pick(candidates, {}, loads, context, start, random);
        return std::get<picked_upstream>(result).chosen.instance;
    };
    BOOST_TEST(pick() == "b");
    for (int calls = 0; calls < 12; ++calls) {
        loads.on_call_sent("b", start);
    }
    BOOST_TEST(pick() == "a");
}

// Guards against calls that are refused for a second after the connection to the only upstream was
// lost, although it is open again.
BOOST_AUTO_TEST_CASE(a_new_connection_clears_an_earlier_failure) {
    seeded_random random(3);
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("a", "d1")};
    load_table loads;
    loads.on_connection_failed("a", start);
    BOOST_TEST(std::holds_alternative<no_upstream_available>(
        picker.pick(candidates, {}, loads, {}, start, random)));
    loads.set_connected("a", true);
    BOOST_TEST(std::holds_alternative<picked_upstream>(
        picker.pick(candidates, {}, loads, {}, start, random)));
}

// Guards against unnecessary cross-domain traffic, and against queueing in the own domain while
// another one has free slots.
BOOST_AUTO_TEST_CASE(own_domain_is_preferred_until_it_is_full) {
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("a", "d1"), live("b", "d1"), live("c", "d2")};
    load_table loads;
    for (const candidate& each : candidates) {
        loads.on_report(each.instance, {.running = 0, .queued = 0, .limit = 2}, start);
    }
    loads.on_call_sent("a", start);
    loads.on_call_sent("b", start);
    BOOST_TEST(count_picks(picker, candidates, loads, start).count("c") == 0U);
    loads.on_call_sent("a", start);
    loads.on_call_sent("b", start);
    BOOST_TEST(count_picks(picker, candidates, loads, start)["c"] == 1000);
}

// Guards against an old load report that keeps an instance without calls, so that no new report can
// arrive.
BOOST_AUTO_TEST_CASE(reported_load_decays) {
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("a", "d1"), live("b", "d1")};
    load_table loads;
    loads.on_report("a", {.running = 12, .queued = 20, .limit = 12}, start);
    loads.on_report("b", {.running = 1, .queued = 0, .limit = 12}, start);
    BOOST_TEST(count_picks(picker, candidates, loads, start).count("a") == 0U);
    BOOST_TEST(picker.score(loads.find("a"), start + milliseconds(5000)) < 0.01);
}

// Guards against an instance that is excluded for longer after one failed connection.
BOOST_AUTO_TEST_CASE(failed_instance_is_eligible_again_after_a_second) {
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("a", "d1")};
    load_table loads;
    loads.on_connection_failed("a", start);
    seeded_random random(1);
    BOOST_TEST(std::holds_alternative<no_upstream_available>(
        picker.pick(candidates, {}, loads, start + milliseconds(999), random)));
    BOOST_TEST(count_picks(picker, candidates, loads, start + milliseconds(1000))["a"] == 1000);
}

// Guards against most calls being sent to a daemon whose upstream is down, because it refuses
// quickly and reports no load.
BOOST_AUTO_TEST_CASE(refusing_instance_is_chosen_last) {
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("dead", "d1"), live("busy", "d1")};
    load_table loads;
    loads.on_report("busy", {.running = 11, .queued = 0, .limit = 12}, start);
    loads.on_report("dead", {.running = 0, .queued = 0, .limit = 1}, start);
    seeded_random random(2);
    mono_time now = start;
    int refusals = 0;
    for (int call = 0; call < 5000; ++call) {
        now += milliseconds(1);
        pick_result result = picker.pick(candidates, {}, loads, now, random);
        if (std::get<picked_upstream>(result).chosen.instance == "dead") {
            loads.on_refused("dead", now);
            ++refusals;
        }
    }
    BOOST_TEST(refusals <= 12);
    BOOST_TEST(count_picks(picker, candidates, loads, now)["busy"] == 1000);
    // It is still tried if it is the only candidate, and one accepted call ends the backoff.
    BOOST_TEST(count_picks(picker, {candidates[0]}, loads, now)["dead"] == 1000);
    loads.on_accepted("dead");
    BOOST_TEST(count_picks(picker, candidates, loads, now)["dead"] == 1000);
}

// Guards against an instance that sends no replies and gets calls up to its limit until the
// heartbeat timeout, and against a lasting penalty for one that replies slowly.
BOOST_AUTO_TEST_CASE(silent_instance_is_chosen_last) {
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("silent", "d1"), live("busy", "d1")};
    load_table loads;
    loads.on_report("busy", {.running = 11, .queued = 0, .limit = 12}, start);
    loads.on_report("silent", {.running = 0, .queued = 0, .limit = 12}, start);
    mono_time sent = start + std::chrono::hours(1);
    loads.on_call_sent("silent", sent);
    loads.on_report("busy", {.running = 11, .queued = 0, .limit = 12}, sent);
    BOOST_TEST(count_picks(picker, candidates, loads, sent)["silent"] == 1000);
    mono_time later = sent + milliseconds(100);
    BOOST_TEST(count_picks(picker, candidates, loads, later)["busy"] == 1000);
    loads.on_call_ended("silent");
    BOOST_TEST(picker.score(loads.find("silent"), later) == 0.0);
}

// Guards against a result that does not distinguish "all were tried" from "there are none".
BOOST_AUTO_TEST_CASE(result_distinguishes_tried_from_absent_upstreams) {
    upstream_picker picker({.failure_domain = "d1"});
    load_table loads;
    seeded_random random(1);
    candidate_list list({{"station", {live("a", "d1")}}});
    BOOST_TEST(std::holds_alternative<every_upstream_tried>(
        picker.pick(list.of_service("station"), {"a"}, loads, start, random)));
    BOOST_TEST(std::holds_alternative<no_upstream_available>(
        picker.pick(list.of_service("dosing"), {}, loads, start, random)));
}

// Guards against a table that grows with every instance that ever existed, or that drops instances
// with calls in flight.
BOOST_AUTO_TEST_CASE(load_table_drops_removed_instances) {
    load_table loads;
    loads.on_call_sent("busy", start);
    loads.on_call_sent("gone", start);
    loads.on_call_ended("gone");
    loads.on_call_ended("gone");
    loads.erase_unless([](const std::string&) { return false; });
    BOOST_TEST(loads.size() == 1U);
    BOOST_TEST(loads.find("busy").in_flight == 1U);
    BOOST_TEST(loads.find("gone").in_flight == 0U);
}

// Guards against a preference for upstreams that fail most requests at once and therefore appear
// idle, which would use up the retry budgets of the fleet.
BOOST_AUTO_TEST_CASE(a_healthy_instance_is_preferred_to_a_failing_one) {
    seeded_random random(5);
    upstream_picker picker({.failure_domain = "d1"});
    std::vector<candidate> candidates = {live("well", "d1"), live("failing", "d1")};
    load_table loads;
    messages::load_report busy{
        .running = 10, .limit = 12, .service_us = 90'000, .mean_service_us = 90'000};
    messages::load_report failing{.running = 2,
                                  .limit = 12,
                                  .service_us = 60'000,
                                  .mean_service_us = 60'000,
                                  .failing_share = 0.7};
    loads.on_report("well", busy, start);
    loads.on_report("failing", failing, start);
    pick_context context{.route = "read", .objective = milliseconds(300)};
    auto chosen = [&](mono_time now) {
        return std::get<picked_upstream>(picker.pick(candidates, {}, loads, context, now, random))
            .chosen.instance;
    };
    BOOST_TEST(chosen(start + milliseconds(100)) == "well");
    // The reported share has decayed, because the instance may have recovered meanwhile.
    BOOST_TEST(chosen(start + std::chrono::seconds(20)) == "failing");
}

// Guards against a choice outside the given positions, or of an instance that cannot be used, and
// against a usable instance that is not found among many others.
BOOST_AUTO_TEST_CASE(a_choice_among_positions_finds_the_usable_ones) {
    seeded_random random(5);
    upstream_picker picker({.failure_domain = "d1"});
    const pick_context context{.route = "r", .objective = milliseconds(200)};
    load_table loads;
    std::vector<candidate> candidates;
    std::vector<std::uint32_t> positions;
    for (std::uint32_t index = 0; index < 60; ++index) {
        candidates.push_back(live(std::to_string(index), index % 2 == 0 ? "d1" : "d2"));
        if (index % 2 == 1) {
            positions.push_back(index);
            candidates.back().taken_out = index != 31 && index != 33;
        }
    }
    auto choose = [&](const std::vector<std::string>& tried) {
        return picker.pick_among(candidates, positions, tried, loads, context, start, random);
    };
    std::map<std::string, int> picks;
    for (int call = 0; call < 200; ++call) {
        ++picks[std::get<picked_upstream>(choose({})).chosen.instance];
    }
    BOOST_TEST(picks.size() == 2U);
    BOOST_TEST(picks.contains("31"));
    BOOST_TEST(picks.contains("33"));
    BOOST_TEST(std::get<picked_upstream>(choose({"31"})).chosen.instance == "33");
    BOOST_CHECK((choose({"31", "33"}) == pick_result(no_upstream_available{})));
}

}  // namespace trefoil::routing
