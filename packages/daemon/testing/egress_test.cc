// Tests the egress with an upstream that is a raw socket server.

#define BOOST_TEST_MODULE daemon_egress
#include "daemon/egress.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemon/request_metrics.h"
#include "edge/testing/raw_peer.h"

namespace trefoil::daemon {

namespace {

using edge::testing::raw_server;
using edge::testing::raw_socket;

struct fixture {
    fixture() {
        auto given = std::make_shared<settings>();
        given->service = "station";
        this->shared.settings.publish(std::move(given));
    }

    messages::call_result run(std::uint64_t sequence) {
        auto done = std::make_shared<std::promise<messages::call_result>>();
        auto result = done->get_future();
        this->local_egress.offer(
            {.instance = "i-1", .incarnation = 1, .sequence = sequence},
            {.service = "station", .method = "GET", .target = "/"},
            this->clock.now() + std::chrono::seconds(2), 0,
            [done](messages::call_result each) { done->set_value(std::move(each)); });
        return result.get();
    }

    // Offers calls of the route from each of the services in turn, which the gate refuses.
    void offer_refused(const std::string& route, const std::vector<std::string>& from, int count) {
        for (int i = 0; i < count; ++i) {
            this->local_egress.offer(
                {.instance = "i-1", .incarnation = 1, .sequence = ++this->last_sequence},
                {.caller_service = from[static_cast<std::size_t>(i) % from.size()],
                 .service = "station",
                 .route = route,
                 .method = "GET",
                 .target = "/"},
                this->clock.now() + std::chrono::seconds(2), 0, [](messages::call_result) {});
        }
    }

    void publish(std::map<std::string, config::workspace, std::less<>> workspaces) {
        config::snapshot_contents contents;
        contents.services = {{"station", {}}, {"dosing", {}}};
        contents.workspaces = std::move(workspaces);
        this->shared.snapshot.publish(std::make_shared<config::snapshot>(std::move(contents)));
    }

    void make_available() {
        this->local_egress.set_upstream_id("station-1/7");
        this->local_egress.set_availability(gate::upstream_availability::available);
    }

    std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::atomic<int> connections{0};
    std::uint64_t last_sequence = 100;
    std::promise<std::string> head;
    raw_server upstream{[this](raw_socket socket, int) {
        ++this->connections;
        this->head.set_value(socket.read_until("\r\n\r\n"));
        socket.write(this->response);
    }};
    shared_state shared;
    machine_time_source clock;
    admission::context_table contexts;
    service_retry_budgets budgets{this->shared};
    nested_retry_tracker nested_retries{this->budgets};
    request_metrics metrics{this->clock};
    egress local_egress{{.upstream = "127.0.0.1:" + std::to_string(this->upstream.port())},
                        this->shared,
                        this->contexts,
                        this->nested_retries,
                        this->metrics,
                        this->clock};
};

}  // namespace

// Guards against a starting daemon that sends calls to its upstream before it knows whether the
// upstream is taken out of use, and without the identity that the upstream checks.
BOOST_FIXTURE_TEST_CASE(calls_are_refused_until_the_availability_of_the_upstream_is_known,
                        fixture) {
    messages::call_result early = this->run(1);
    BOOST_TEST((early.outcome == messages::call_outcome::not_run));
    BOOST_TEST(early.reason == "no_upstream");
    BOOST_TEST(this->connections == 0);
    this->make_available();
    BOOST_TEST((this->run(2).outcome == messages::call_outcome::answered));
    BOOST_TEST(this->head.get_future().get().find("Trefoil-Upstream: station-1/7\r\n") !=
               std::string::npos);
}

// Load pattern: an upstream with free slots rejects part of its requests. The caller learns how
// long the gate pauses, not the wait for a change of the fleet, which exceeds many objectives.
BOOST_FIXTURE_TEST_CASE(a_rejection_by_the_upstream_states_the_pause_of_the_gate, fixture) {
    this->response =
        "HTTP/1.1 503 Service Unavailable\r\nTrefoil-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    this->make_available();
    this->local_egress.set_fixed_slots(9);
    messages::call_result rejected = this->run(1);
    BOOST_TEST((rejected.outcome == messages::call_outcome::not_run));
    BOOST_TEST(rejected.reached_upstream);
    BOOST_TEST(rejected.retry_after_ms > 0U);
    BOOST_TEST(rejected.retry_after_ms <= 20U);
}

// Load pattern: backends join under a burst. Guards against the start of all waiting calls when the
// daemon's list first contains its upstream, before the cold period in the same record is applied.
BOOST_AUTO_TEST_CASE(an_upstream_that_joins_under_a_burst_gets_the_rate_of_a_cold_one) {
    fixture joined;
    std::promise<void> end;
    std::shared_future<void> ended = end.get_future().share();
    raw_server busy{[ended](raw_socket, int) { ended.wait(); }};
    egress local_egress{{.upstream = "127.0.0.1:" + std::to_string(busy.port())},
                        joined.shared,
                        joined.contexts,
                        joined.nested_retries,
                        joined.metrics,
                        joined.clock};
    config::service service{
        .name = "station",
        .slots_from_list = true,
        .cold_start = config::cold_start{.duration = std::chrono::seconds(3), .rate = 11}};
    local_egress.describe_upstream(service, nullptr);
    local_egress.set_availability(gate::upstream_availability::available);
    mono_time begin = joined.clock.now();
    auto offer_for = [&](std::chrono::milliseconds time) {
        for (mono_time until = joined.clock.now() + time; joined.clock.now() < until;) {
            local_egress.offer(
                {.instance = "i-1", .incarnation = 1, .sequence = ++joined.last_sequence},
                {.service = "station", .method = "GET", .target = "/"},
                joined.clock.now() + std::chrono::seconds(2), 0, [](messages::call_result) {});
            local_egress.tick();
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    };
    offer_for(std::chrono::milliseconds(300));
    membership::instance_record record{
        .upstream = "station-1/7", .slots = 18, .cold_left_ms = 2000};
    local_egress.describe_upstream(service, &record);
    offer_for(std::chrono::milliseconds(500));
    double elapsed = std::chrono::duration<double>(joined.clock.now() - begin).count();
    auto started = static_cast<double>(local_egress.totals().started);
    BOOST_TEST(started <= elapsed * service.cold_start->rate * 1.1 + 2);
    BOOST_TEST(started >= 2);
    record.cold_left_ms = 0;
    local_egress.describe_upstream(service, &record);
    offer_for(std::chrono::milliseconds(200));
    BOOST_TEST(local_egress.totals().started == 18U);
    end.set_value();
}

// Guards against a change for configurations with workspaces, where a key or a handle tells a
// nested call.
BOOST_FIXTURE_TEST_CASE(only_without_workspaces_the_origin_of_calls_is_learned, fixture) {
    this->local_egress.set_availability(gate::upstream_availability::leaving);
    auto offer_both = [this] {
        this->offer_refused("readings", {"station", "dosing"}, 100);
        this->offer_refused("levels", {"dosing"}, 100);
    };
    this->publish({{"north", {}}});
    offer_both();
    BOOST_TEST(this->local_egress.call_origins().known().empty());
    BOOST_TEST(this->local_egress.totals().nested_offered == 0U);
    this->publish({});
    offer_both();
    auto known = this->local_egress.call_origins().known();
    BOOST_TEST((known.at("readings") == routing::call_origin::callers));
    BOOST_TEST((known.at("levels") == routing::call_origin::upstreams));
    BOOST_TEST(this->local_egress.totals().nested_offered > 0U);
}

}  // namespace trefoil::daemon
