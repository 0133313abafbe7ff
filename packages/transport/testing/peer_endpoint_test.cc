// Tests of authenticated peer connections over loopback.

#define BOOST_TEST_MODULE transport_peer_endpoint
#include "transport/peer_endpoint.h"

#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace trefoil::transport {

namespace {

// Records the events of an endpoint, so that a test can wait for them.
class recorder final : public peer_events {
public:
    void on_open(connection_id id, const messages::hello& peer, bool) override {
        absl::MutexLock lock(&this->mutex);
        this->open_ids.push_back(id);
        this->opened.push_back(peer.instance);
    }
    void on_message(connection_id, const messages::hello&, messages::peer_message message,
                    mono_time time) override {
        absl::MutexLock lock(&this->mutex);
        if (const auto* pong = std::get_if<messages::pong>(&message)) {
            this->round_trips.push_back(time - from_microseconds(pong->echo_us));
        } else {
            this->received.push_back(std::move(message));
        }
    }
    void on_silent(connection_id, const messages::hello&) override {
        absl::MutexLock lock(&this->mutex);
        ++this->silent;
    }
    void on_resumed(connection_id, const messages::hello&) override {
        absl::MutexLock lock(&this->mutex);
        ++this->resumed;
    }
    void on_close(connection_id, const messages::hello*, bool settled_by_peer) override {
        absl::MutexLock lock(&this->mutex);
        ++this->closed;
        this->settled_closes += settled_by_peer ? 1 : 0;
    }

    bool wait(const std::function<bool()>& condition) {
        absl::MutexLock lock(&this->mutex);
        return this->mutex.AwaitWithTimeout(
            absl::Condition(
                +[](const std::function<bool()>* check) { return (*check)(); }, &condition),
            absl::Seconds(20));
    }

    absl::Mutex mutex;
    std::vector<connection_id> open_ids;
    std::vector<std::string> opened;
    std::vector<messages::peer_message> received;
    std::vector<mono_duration> round_trips;  // From a ping to the `received` of its answer.
    int silent = 0;
    int resumed = 0;
    int closed = 0;
    int settled_closes = 0;  // Number of connections closed by a settled peer.
};

// A port below the range of ephemeral ports.
std::uint16_t port_number(int offset) {
    return static_cast<std::uint16_t>(10000 + (getpid() * 50 + offset * 7) % 20000);
}

// A clock that can jump forward, as it does on a machine that resumes from a suspension.
class jumping_time_source final : public time_source {
public:
    mono_time now() const override {
        return this->machine.now() + std::chrono::milliseconds(this->jumped_ms);
    }
    void jump(std::chrono::milliseconds by) { this->jumped_ms += by.count(); }

private:
    machine_time_source machine;
    std::atomic<std::int64_t> jumped_ms{0};
};

struct node {
    node(const std::string& name, const std::string& secret, int offset,
         const connection_liveness_options& liveness = {})
        : port(port_number(offset)),
          endpoint({.self = {.fleet_protocol = "trefoil/1", .instance = name, .incarnation = 1},
                    .fleet_secret = secret,
                    .liveness = liveness},
                   events, clock) {
        constexpr int attempts = 50;
        bool listening = false;
        for (int i = 0; i < attempts && !listening; ++i) {
            this->port = static_cast<std::uint16_t>(this->port + (i == 0 ? 0 : 13));
            listening = succeeded(this->endpoint.start("127.0.0.1", this->port));
        }
        BOOST_REQUIRE(listening);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    std::uint16_t port;
    jumping_time_source clock;
    recorder events;
    peer_endpoint endpoint;
};

}  // namespace

// Guards against messages that are lost, reordered or accepted before both sides are authenticated.
BOOST_AUTO_TEST_CASE(authenticated_peers_exchange_messages_in_order) {
    node left("left", "a-shared-fleet-secret", 0);
    node right("right", "a-shared-fleet-secret", 1);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
    BOOST_TEST(left.events.opened[0] == "right");
    for (std::uint64_t i = 1; i <= 50; ++i) {
        BOOST_TEST(left.endpoint.send(id, messages::cancel{.sequence = i}));
    }
    BOOST_REQUIRE(right.events.wait([&] { return right.events.received.size() == 50; }));
    for (std::uint64_t i = 1; i <= 50; ++i) {
        BOOST_TEST(std::get<messages::cancel>(right.events.received[i - 1]).sequence == i);
    }
}

// Guards against heartbeats that do not answer pings, or whose interval is counted as part of the
// round trip: without a precise estimate of the peer's clock, calls would be refused or start after
// their deadline.
BOOST_AUTO_TEST_CASE(round_trips_exclude_the_interval_of_the_answering_heartbeat) {
    // Uses the heartbeat interval on the idle connection, so that there are enough round trips.
    constexpr connection_liveness_options frequent{.idle_interval = std::chrono::milliseconds(500)};
    node left("left", "a-shared-fleet-secret", 8, frequent);
    node right("right", "a-shared-fleet-secret", 9, frequent);
    left.endpoint.connect(right.address());
    constexpr std::chrono::milliseconds half_interval{250};
    for (recorder* side : {&left.events, &right.events}) {
        BOOST_TEST(side->wait([&] {
            auto tight = [&](mono_duration each) {
                return each >= each.zero() && each < half_interval;
            };
            return std::count_if(side->round_trips.begin(), side->round_trips.end(), tight) >= 12;
        }));
    }
    constexpr std::uint64_t handshake_and_in_flight = 8;
    absl::MutexLock lock(&left.events.mutex);
    BOOST_TEST(left.endpoint.totals().frames_sent <=
               left.events.round_trips.size() + handshake_and_in_flight);
}

// Guards against a daemon that drops all its connections after a suspension, because it could not
// read what arrived on them.
BOOST_AUTO_TEST_CASE(connections_survive_a_suspension_of_this_process) {
    node left("left", "a-shared-fleet-secret", 10);
    node right("right", "a-shared-fleet-secret", 11);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
    // After this time the first pings are answered and the next ones are not due.
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    left.clock.jump(std::chrono::seconds(10));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    BOOST_TEST(left.endpoint.send(id, messages::cancel{.sequence = 1}));
    BOOST_TEST(right.events.wait([&] { return right.events.received.size() == 1; }));
    BOOST_TEST(left.events.closed == 0);
}

// Guards against losing queued results when the process stops, and against calls whose outcome
// stays unknown although the stopping peer never read them.
BOOST_AUTO_TEST_CASE(a_graceful_close_delivers_queued_messages_and_states_settled) {
    constexpr std::size_t results = 200;
    for (bool settled : {true, false}) {
        node left("left", "a-shared-fleet-secret", settled ? 12 : 14);
        node right("right", "a-shared-fleet-secret", settled ? 13 : 15);
        left.endpoint.connect(right.address());
        BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
        BOOST_REQUIRE(right.events.wait([&] { return right.events.opened.size() == 1; }));
        connection_id from_left = left.events.open_ids[0];
        connection_id from_right = right.events.open_ids[0];
        right.endpoint.close_gracefully(from_right, settled, [&] {
            // Runs on the loop of `right`, which therefore closes before it can read these.
            for (std::uint64_t i = 1; i <= 20; ++i) {
                left.endpoint.send(from_left, messages::cancel{.sequence = i});
            }
            for (std::uint64_t i = 1; i <= results; ++i) {
                messages::call_result result{.sequence = i};
                result.body = std::string(std::size_t{20} << 10U, 'x');
                right.endpoint.send(from_right, result);
            }
            return true;
        });
        BOOST_TEST(left.events.wait([&] { return left.events.closed == 1; }));
        BOOST_TEST(right.events.wait([&] { return right.events.closed == 1; }));
        absl::MutexLock left_lock(&left.events.mutex);
        absl::MutexLock right_lock(&right.events.mutex);
        BOOST_TEST(left.events.received.size() == results);
        BOOST_TEST(left.events.settled_closes == (settled ? 1 : 0));
        BOOST_TEST(right.events.received.empty());
        BOOST_TEST(right.events.settled_closes == 0);
    }
}

// Guards against mistaking the failure of a peer for a graceful close.
BOOST_AUTO_TEST_CASE(a_dropped_connection_is_not_settled) {
    node left("left", "a-shared-fleet-secret", 16);
    node right("right", "a-shared-fleet-secret", 17);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
    BOOST_REQUIRE(right.events.wait([&] { return right.events.opened.size() == 1; }));
    left.endpoint.close_gracefully(id, true, [] { return false; });
    BOOST_TEST(left.endpoint.send(id, messages::cancel{.sequence = 1}));
    BOOST_TEST(right.events.wait([&] { return right.events.received.size() == 1; }));
    left.endpoint.drop(id);
    BOOST_TEST(right.events.wait([&] { return right.events.closed == 1; }));
    BOOST_TEST(right.events.settled_closes == 0);
}

// Guards against calls that wait for long for a peer that stopped while the connection was idle,
// and against a connection that stays open although nothing arrives.
BOOST_AUTO_TEST_CASE(a_call_detects_a_silent_connection_in_time) {
    constexpr connection_liveness_options options{.loss_limit = std::chrono::milliseconds(4000)};
    node left("left", "a-shared-fleet-secret", 12, options);
    node right("right", "a-shared-fleet-secret", 13);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    right.endpoint.stop();
    auto sent = std::chrono::steady_clock::now();
    BOOST_TEST(left.endpoint.send(id, messages::call{.sequence = 1, .budget_us = 10'000'000}));
    BOOST_TEST(left.events.wait([&] { return left.events.silent == 1; }));
    auto found = std::chrono::steady_clock::now() - sent;
    BOOST_TEST((found >= std::chrono::milliseconds(1900)));
    BOOST_TEST((found <= std::chrono::milliseconds(2900)));
    BOOST_TEST(left.events.wait([&] { return left.events.closed == 1; }));
    auto ended = std::chrono::steady_clock::now() - sent;
    BOOST_TEST((ended >= std::chrono::milliseconds(3900)));
    BOOST_TEST((ended <= std::chrono::milliseconds(4900)));
    BOOST_TEST(left.events.silent == 1);
    BOOST_TEST(left.events.resumed == 0);
}

// Guards against a stop of the process that waits for a silent peer until the stop's time limit.
BOOST_AUTO_TEST_CASE(a_graceful_close_ends_immediately_if_the_peer_is_silent) {
    node left("left", "a-shared-fleet-secret", 18);
    node right("right", "a-shared-fleet-secret", 19);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
    BOOST_TEST(left.endpoint.send(id, messages::call{.sequence = 1, .budget_us = 20'000'000}));
    right.endpoint.stop();
    BOOST_REQUIRE(left.events.wait([&] { return left.events.silent == 1; }));
    auto begin = std::chrono::steady_clock::now();
    left.endpoint.close_gracefully(id, true, [] { return true; });
    BOOST_TEST(left.events.wait([&] { return left.events.closed == 1; }));
    auto ended = std::chrono::steady_clock::now() - begin;
    BOOST_TEST((ended <= std::chrono::milliseconds(500)));
}

// Guards against heartbeats on idle connections that take most of an idle daemon's CPU time, and
// against long intervals to an earlier version, which considers 2 s without a frame as silence.
BOOST_AUTO_TEST_CASE(the_idle_interval_is_used_only_if_both_sides_announce_one) {
    constexpr connection_liveness_options earlier_version{.idle_interval =
                                                              std::chrono::milliseconds(0)};
    node left("left", "a-shared-fleet-secret", 14);
    node right("right", "a-shared-fleet-secret", 15);
    node earlier("earlier", "a-shared-fleet-secret", 16, earlier_version);
    left.endpoint.connect(right.address());
    earlier.endpoint.connect(right.address());
    std::this_thread::sleep_for(std::chrono::seconds(5));
    constexpr std::uint64_t handshake_and_idle_pings = 7;
    constexpr std::uint64_t frequent_pings = 9;
    BOOST_TEST(left.endpoint.totals().frames_sent <= handshake_and_idle_pings);
    BOOST_TEST(right.endpoint.totals().frames_sent >= frequent_pings);
    BOOST_TEST(left.events.closed + right.events.closed + earlier.events.closed == 0);
}

// Guards against a response that the egress accepts but that exceeds the maximum frame size: such a
// frame would close the connection and fail all calls on it.
BOOST_AUTO_TEST_CASE(a_response_of_maximum_size_fits_into_a_frame) {
    constexpr std::size_t body_bytes = std::size_t{1} << 20U;   // edge::max_body_bytes.
    constexpr std::size_t head_bytes = std::size_t{64} << 10U;  // edge::max_response_head_bytes.
    constexpr std::size_t line_bytes = 4;                       // The shortest line: "a:", CR, LF.
    node left("left", "a-shared-fleet-secret", 7);
    node right("right", "a-shared-fleet-secret", 8);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));
    BOOST_REQUIRE(right.events.wait([&] { return right.events.opened.size() == 1; }));
    messages::call_result response{.sequence = 1, .body = std::string(body_bytes, '\xff')};
    response.headers.assign(head_bytes / line_bytes, {.name = "a", .value = ""});
    BOOST_TEST(left.endpoint.send(id, response));
    BOOST_REQUIRE(right.events.wait([&] { return !right.events.received.empty(); }));
    BOOST_TEST((right.events.received.front() == messages::peer_message(response)));
    BOOST_TEST(left.events.closed == 0);
}

// Guards against accepting a peer that does not know the fleet secret.
BOOST_AUTO_TEST_CASE(peer_with_another_secret_is_rejected) {
    node left("left", "a-shared-fleet-secret", 2);
    node right("right", "some-other-fleet-secret", 3);
    left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.closed == 1; }));
    BOOST_TEST(left.events.opened.empty());
    BOOST_TEST(right.events.opened.empty());
}

// Guards against a sender outside the fleet whose frames affect the connections of other peers.
BOOST_AUTO_TEST_CASE(garbage_on_the_peer_port_leaves_other_connections_open) {
    node left("left", "a-shared-fleet-secret", 4);
    node right("right", "a-shared-fleet-secret", 5);
    connection_id id = left.endpoint.connect(right.address());
    BOOST_REQUIRE(left.events.wait([&] { return left.events.opened.size() == 1; }));

    class ignore final : public frame_events {
        void on_connected(connection_id id, bool) override {
            this->socket->send(id, "not a CBOR frame");
        }
        void on_frame(connection_id, std::string) override {}
        void on_disconnected(connection_id, bool) override { this->dropped = true; }

    public:
        frame_socket* socket = nullptr;
        std::atomic<bool> dropped{false};
    } outsider_events;
    io::event_loop loop;
    frame_socket outsider(outsider_events, loop);
    outsider_events.socket = &outsider;
    BOOST_REQUIRE(outsider.start({.ip = "127.0.0.1", .port = port_number(6)}).empty());
    loop.start();
    outsider.connect("127.0.0.1", right.port);
    BOOST_TEST(right.events.wait([&] { return outsider_events.dropped.load(); }));
    BOOST_TEST(left.endpoint.send(id, messages::cancel{.sequence = 1}));
    BOOST_TEST(right.events.wait([&] { return right.events.received.size() == 1; }));
    loop.stop();
}

}  // namespace trefoil::transport
