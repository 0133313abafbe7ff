// Tests of the daemon's connections to its peers, over loopback.

#define BOOST_TEST_MODULE daemon_peer_connections
#include "daemon/peer_connections.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

namespace trefoil::daemon {

namespace {

using std::chrono::milliseconds;

bool eventually(const std::function<bool()>& condition, milliseconds limit = milliseconds(5000)) {
    auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

// Counts the events of one node.
class recorder final : public peer_event_handler {
public:
    void on_connection_open(const messages::hello&, bool) override { ++this->opened; }
    void on_connection_silent(transport::connection_id, const messages::hello&,
                              bool last) override {
        this->lost += last ? 1 : 0;
        ++this->silent;
    }
    void on_connection_closed(transport::connection_id, const messages::hello&,
                              connection_end end) override {
        this->settled_closes += end.settled_by_peer ? 1 : 0;
        this->lost += end.last ? 1 : 0;
        ++this->closed;
    }
    void on_dial_failed(const std::string&) override {}
    void on_call(const message_origin& origin, messages::call, mono_time) override {
        this->connection = origin.connection;
        ++this->calls;
    }
    void on_message(const message_origin&, messages::peer_message message) override {
        this->results += std::holds_alternative<messages::call_result>(message) ? 1 : 0;
    }

    std::atomic<int> opened{0};
    std::atomic<int> silent{0};
    std::atomic<int> lost{0};  // Closed or silent connections that were the last one in use.
    std::atomic<int> closed{0};
    std::atomic<int> settled_closes{0};
    std::atomic<int> calls{0};
    std::atomic<int> results{0};
    std::atomic<transport::connection_id> connection{0};  // Of the last call.
};

struct node {
    node(const std::string& name, int number, milliseconds idle_timeout = milliseconds(60'000))
        : port(static_cast<std::uint16_t>(10'000 + (getpid() * 50 + number * 11) % 20'000)),
          connections({.endpoint = {.self = {.fleet_protocol = "trefoil/1",
                                             .instance = name,
                                             .incarnation = 1,
                                             .address = this->address()},
                                    .fleet_secret = "a-shared-fleet-secret",
                                    .loop = &this->loop},
                       .idle_timeout = idle_timeout},
                      this->events, this->clock) {
        this->loop.start();
        BOOST_REQUIRE(succeeded(this->connections.start("127.0.0.1", this->port)));
    }
    ~node() {
        this->loop.stop();
        this->connections.stop();
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    void send_call(const std::string& peer, const std::string& address,
                   milliseconds budget = milliseconds(100)) {
        this->connections.send_call(peer, address,
                                    {.call = {.sequence = ++this->sequence},
                                     .deadline = this->clock.now() + mono_duration(budget),
                                     .about_to_send =
                                         [this](transport::connection_id) {
                                             ++this->sent;
                                             return true;
                                         },
                                     .not_sent = [this] { ++this->not_sent; }});
    }

    // Runs `action` while the event loop of this node is blocked, as on a machine without processor
    // time.
    void while_blocked(const std::function<void()>& action) {
        std::promise<void> entered;
        std::promise<void> release;
        this->loop.post([&entered, over = release.get_future().share()] {
            entered.set_value();
            over.wait();
        });
        entered.get_future().wait();
        action();
        release.set_value();
    }

    const std::uint16_t port;
    machine_time_source clock;
    io::event_loop loop;
    recorder events;
    peer_connections connections;
    std::uint64_t sequence = 0;
    std::atomic<int> sent{0};
    std::atomic<int> not_sent{0};
};

}  // namespace

// Guards against a call that two threads end: its caller may leave on the loop while tick(), which
// another thread calls, finds that it has expired.
BOOST_AUTO_TEST_CASE(an_expired_call_is_reported_on_the_loop) {
    node sender("sender", 0);
    sender.send_call("nobody", "127.0.0.1:1", milliseconds(20));
    sender.while_blocked([&] {
        std::this_thread::sleep_for(milliseconds(50));
        sender.connections.tick();
        BOOST_TEST(sender.not_sent == 0);
    });
    BOOST_TEST(eventually([&] { return sender.not_sent == 1; }));
    BOOST_TEST(sender.sent == 0);
}

// Guards against a call with outcome "unknown" because the peer closed the idle connection while
// the call was in transit.
BOOST_AUTO_TEST_CASE(a_call_that_crosses_an_idle_close_is_reported_as_not_run) {
    node opener("opener", 0, milliseconds(400));
    node other("other", 1);
    opener.connections.dial(other.address());
    BOOST_REQUIRE(eventually([&] { return other.connections.open_count() == 1; }));
    BOOST_REQUIRE(eventually([&] { return opener.connections.open_count() == 1; }));
    std::this_thread::sleep_for(milliseconds(500));
    opener.while_blocked([&] {
        opener.connections.tick();
        other.send_call("opener", opener.address());
        std::this_thread::sleep_for(milliseconds(50));
    });
    BOOST_TEST(eventually([&] { return other.events.closed == 1; }));
    BOOST_TEST(other.sent == 1);
    BOOST_TEST(opener.events.calls == 0);
    BOOST_TEST(other.events.settled_closes == 1);
    // The next call opens a connection.
    other.send_call("opener", opener.address(), milliseconds(1000));
    BOOST_TEST(eventually([&] { return opener.events.calls == 1; }));
}

// Guards against a connection that is closed as idle while a call on it is running, or right after
// the result was sent.
BOOST_AUTO_TEST_CASE(a_connection_with_a_running_call_is_not_idle) {
    node opener("opener", 2, milliseconds(300));
    node other("other", 3);
    opener.connections.dial(other.address());
    BOOST_REQUIRE(eventually([&] { return other.connections.open_count() == 1; }));
    other.send_call("opener", opener.address(), milliseconds(900));
    BOOST_REQUIRE(eventually([&] { return opener.events.calls == 1; }));
    for (int i = 0; i < 8; ++i) {
        std::this_thread::sleep_for(milliseconds(100));
        opener.connections.tick();
    }
    BOOST_TEST(opener.connections.open_count() == 1U);
    opener.connections.send_on(opener.events.connection, messages::call_result{.sequence = 1});
    BOOST_TEST(eventually([&] { return other.events.results == 1; }));
    BOOST_TEST(other.events.closed == 0);
}

// Guards against results that are lost when the process ends, and against calls with outcome
// "unknown" that arrive at the very end of a stop.
BOOST_AUTO_TEST_CASE(a_leaving_daemon_sends_its_results_and_reports_other_calls_as_not_run) {
    node leaving("leaving", 4);
    node other("other", 5);
    other.connections.dial(leaving.address());
    BOOST_REQUIRE(eventually([&] { return leaving.connections.open_count() == 1; }));
    other.send_call("leaving", leaving.address(), milliseconds(900));
    BOOST_REQUIRE(eventually([&] { return leaving.events.calls == 1; }));
    std::thread ending;
    leaving.while_blocked([&] {
        leaving.connections.send_on(leaving.events.connection,
                                    messages::call_result{.sequence = 1});
        ending = std::thread([&] { leaving.connections.close_all(true, milliseconds(2000)); });
        std::this_thread::sleep_for(milliseconds(500));
        other.send_call("leaving", leaving.address(), milliseconds(900));
        std::this_thread::sleep_for(milliseconds(50));
    });
    ending.join();
    BOOST_TEST(leaving.connections.open_count() == 0U);
    BOOST_TEST(eventually([&] { return other.events.closed == 1; }));
    BOOST_TEST(other.events.results == 1);
    BOOST_TEST(other.events.settled_closes == 1);
    BOOST_TEST(leaving.events.calls == 1);
}

// Guards against a stop during which peers reconnect over and over until the daemon ends.
BOOST_AUTO_TEST_CASE(a_leaving_daemon_keeps_new_connections_open) {
    node leaving("leaving", 8);
    node other("other", 9);
    other.connections.dial(leaving.address());
    BOOST_REQUIRE(eventually([&] { return leaving.connections.open_count() == 1; }));
    std::atomic<bool> over{false};
    std::thread dialling([&] {
        while (!over) {
            if (other.connections.open_count() == 0) {
                other.connections.dial(leaving.address());
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    });
    leaving.connections.close_all(true, milliseconds(1500));
    BOOST_TEST(eventually([&] { return other.events.opened == 2; }));
    leaving.connections.tick();
    std::this_thread::sleep_for(milliseconds(300));
    over = true;
    dialling.join();
    BOOST_TEST(other.events.opened == 2);
    BOOST_TEST(other.events.settled_closes == 1);
}

// Guards against a call that is reported as not run although it may have run: the daemon reaches
// the limit of its stop while calls are running, or a result could not be sent.
BOOST_AUTO_TEST_CASE(a_leaving_daemon_with_running_calls_reports_none_as_not_run) {
    node leaving("leaving", 6);
    node other("other", 7);
    other.connections.dial(leaving.address());
    BOOST_REQUIRE(eventually([&] { return leaving.connections.open_count() == 1; }));
    other.send_call("leaving", leaving.address(), milliseconds(900));
    BOOST_REQUIRE(eventually([&] { return leaving.events.calls == 1; }));
    leaving.connections.close_all(false, milliseconds(2000));
    BOOST_TEST(eventually([&] { return other.events.closed == 1; }));
    BOOST_TEST(other.events.settled_closes == 0);
}

// Guards against a non-idempotent call with outcome "unknown" although its peer is only slow: the
// result can arrive over this connection only. New calls must not wait for the slow peer.
BOOST_AUTO_TEST_CASE(a_peer_that_stalls_for_three_seconds_delivers_its_results) {
    node caller("caller", 10);
    node slow("slow", 11);
    node again("slow", 12);  // Accepts the second connection to the same instance.
    caller.connections.dial(slow.address());
    BOOST_REQUIRE(eventually([&] { return caller.connections.is_open("slow"); }));
    caller.send_call("slow", slow.address(), milliseconds(6000));
    BOOST_REQUIRE(eventually([&] { return slow.events.calls == 1; }));
    auto begin = std::chrono::steady_clock::now();
    slow.while_blocked([&] {
        BOOST_TEST(
            eventually([&] { return !caller.connections.is_open("slow"); }, milliseconds(2900)));
        caller.send_call("slow", again.address(), milliseconds(6000));
        BOOST_TEST(eventually([&] { return again.events.calls == 1; }, milliseconds(500)));
        std::this_thread::sleep_until(begin + milliseconds(3000));
    });
    slow.connections.send_on(slow.events.connection, messages::call_result{.sequence = 1});
    BOOST_TEST(eventually([&] { return caller.events.results == 1; }, milliseconds(1000)));
    BOOST_TEST(caller.events.closed == 0);
    BOOST_TEST(slow.events.closed == 0);
    BOOST_TEST(caller.connections.open_count() == 2U);
}

// Guards against a connection that is not used again after it was silent, so that messages to the
// peer are dropped or each open another connection.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_used_again_when_a_frame_arrives) {
    node caller("caller", 13);
    node slow("slow", 14);
    caller.connections.dial(slow.address());
    BOOST_REQUIRE(eventually([&] { return caller.connections.is_open("slow"); }));
    caller.send_call("slow", slow.address(), milliseconds(6000));
    BOOST_REQUIRE(eventually([&] { return slow.events.calls == 1; }));
    slow.while_blocked([&] {
        BOOST_TEST(eventually([&] { return caller.events.silent == 1; }, milliseconds(2900)));
        BOOST_TEST(!caller.connections.is_open("slow"));
        BOOST_TEST(!caller.connections.send_if_open("slow", messages::cancel{.sequence = 9}));
    });
    BOOST_TEST(eventually([&] { return caller.connections.is_open("slow"); }, milliseconds(1000)));
    BOOST_TEST(caller.events.opened == 2);  // When it opened and when it was no longer silent.
    caller.send_call("slow", slow.address(), milliseconds(1000));
    BOOST_TEST(eventually([&] { return slow.events.calls == 2; }));
    BOOST_TEST(slow.events.opened == 1);
    BOOST_TEST(caller.events.closed == 0);
}

// Guards against a call with outcome "unknown" because a stalled daemon sends it over a connection
// that its peer closed during the stall.
BOOST_AUTO_TEST_CASE(a_stalled_daemon_can_send_over_its_connections_afterwards) {
    node slow("slow", 17);
    node other("other", 18);
    slow.connections.dial(other.address());
    BOOST_REQUIRE(eventually([&] { return other.connections.is_open("slow"); }));
    BOOST_REQUIRE(eventually([&] { return slow.connections.is_open("other"); }));
    other.send_call("slow", slow.address(), milliseconds(1000));
    slow.while_blocked([&] {
        BOOST_TEST(eventually([&] { return other.events.silent == 1; }, milliseconds(2900)));
        std::this_thread::sleep_for(milliseconds(500));
        slow.send_call("other", other.address(), milliseconds(3000));
    });
    BOOST_TEST(eventually([&] { return other.events.calls == 1; }, milliseconds(1000)));
    BOOST_TEST(slow.events.closed == 0);
    BOOST_TEST(other.events.closed == 0);
}

// Guards against the connection of a lost peer that is never removed, and against a loss that is
// reported twice.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_closed_after_the_loss_limit) {
    node caller("caller", 15);
    node lost("lost", 16);
    caller.connections.dial(lost.address());
    BOOST_REQUIRE(eventually([&] { return caller.connections.is_open("lost"); }));
    caller.send_call("lost", lost.address(), milliseconds(20'000));
    BOOST_REQUIRE(eventually([&] { return lost.events.calls == 1; }));
    auto begin = std::chrono::steady_clock::now();
    lost.while_blocked([&] {
        BOOST_TEST(eventually([&] { return caller.events.silent == 1; }, milliseconds(2900)));
        BOOST_TEST(eventually([&] { return caller.events.closed == 1; }, milliseconds(10'000)));
    });
    auto ended = std::chrono::steady_clock::now() - begin;
    BOOST_TEST((ended >= milliseconds(9'500)));
    BOOST_TEST((ended <= milliseconds(11'000)));
    BOOST_TEST(caller.connections.open_count() == 0U);
    BOOST_TEST(caller.events.lost == 1);
}

}  // namespace trefoil::daemon
