// Tests of http_server with malformed requests, disconnects, time limits and shutdown.

#define BOOST_TEST_MODULE edge_http_server
#include "edge/http_server.h"

#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "edge/testing/raw_peer.h"

namespace trefoil::edge {

namespace {

using std::chrono::milliseconds;
using testing::raw_socket;

// Echoes path and body at once; holds requests to /held until the test responds.
class recording_handler final : public request_handler {
public:
    void handle(http_request request, std::shared_ptr<responder> target) override {
        ++this->handled;
        if (request.path == "/held") {
            target->on_caller_gone([this] { ++this->gone; });
            absl::MutexLock lock(&this->mutex);
            this->held.push_back(std::move(target));
            return;
        }
        target->respond({.status = 200, .body = request.path + "|" + request.body});
    }
    http_response refuse(unsigned status) override { return {.status = status}; }
    http_response refuse_during_shutdown() override { return {.status = 503, .body = "not run"}; }

    std::atomic<int> handled{0};
    std::atomic<int> gone{0};
    absl::Mutex mutex;
    std::vector<std::shared_ptr<responder>> held;
};

// Blocks the loop until this object is destroyed, as lack of processor time would.
class blocked_loop {
public:
    explicit blocked_loop(io::event_loop& loop) {
        loop.post([entered = &this->entered, over = this->release.get_future().share()] {
            entered->set_value();
            over.wait();
        });
        this->entered.get_future().wait();
    }
    ~blocked_loop() { this->release.set_value(); }
    blocked_loop(const blocked_loop&) = delete;
    blocked_loop& operator=(const blocked_loop&) = delete;

private:
    std::promise<void> entered;
    std::promise<void> release;
};

struct fixture {
    fixture() { this->start({}); }

    void start(http_server_options options) {
        constexpr int attempts = 50;
        this->server.reset();
        for (int i = 0; i < attempts && this->server == nullptr; ++i) {
            this->port = static_cast<std::uint16_t>(10000 + (getpid() * 50 + i * 7) % 20000);
            options.ip = "127.0.0.1";
            options.port = this->port;
            auto candidate = std::make_unique<http_server>(options, this->handler);
            if (succeeded(candidate->start())) {
                this->server = std::move(candidate);
            }
        }
        BOOST_REQUIRE(this->server != nullptr);
    }

    raw_socket connect() const { return raw_socket::connect_to(this->port); }

    // Opens a connection, exchanges one request on it and leaves it idle.
    raw_socket connect_idle() const {
        raw_socket socket = this->connect();
        socket.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        socket.read_until("/first|");
        return socket;
    }

    // Sends bytes on a new connection and returns everything received until the server closes it.
    std::string exchange(std::string_view bytes) const {
        raw_socket socket = this->connect();
        socket.write(bytes);
        return socket.read_all();
    }

    static bool eventually(const std::function<bool()>& condition, milliseconds limit) {
        auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return condition();
    }

    std::uint16_t port = 0;
    recording_handler handler;
    std::unique_ptr<http_server> server;
};

bool has_status(const std::string& response, const std::string& status) {
    return response.rfind("HTTP/1.1 " + status, 0) == 0;
}

std::size_t count_responses(const std::string& text) {
    std::size_t count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

}  // namespace

// Guards against request smuggling: a second request hidden in the first, because the next hop
// determines the end of the body differently.
BOOST_FIXTURE_TEST_CASE(ambiguous_body_length_is_refused_and_closes_the_connection, fixture) {
    std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    std::string both = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n" +
        hidden);
    BOOST_TEST(has_status(both, "400"));
    BOOST_TEST(count_responses(both) == 1U);
    std::string reversed = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
        "0\r\n\r\n" +
        hidden);
    BOOST_TEST(has_status(reversed, "400"));
    std::string different = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" + hidden);
    BOOST_TEST(has_status(different, "400"));
    BOOST_TEST(count_responses(different) == 1U);
    std::string hosts = this->exchange("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    BOOST_TEST(has_status(hosts, "400"));
    BOOST_TEST(this->handler.handled == 0);
}

// Guards against a chunk size that overflows and leaves the caller without a response.
BOOST_FIXTURE_TEST_CASE(overflowing_chunk_size_is_refused_at_once, fixture) {
    std::string answer = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8000000000000000\r\n");
    BOOST_TEST((has_status(answer, "400") || has_status(answer, "413")));
    BOOST_TEST(this->handler.handled == 0);
}

// Guards against bytes lost between pipelined requests, and against responses in the wrong order.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, fixture) {
    raw_socket socket = this->connect();
    socket.write(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string text = socket.read_until("/b|");
    BOOST_TEST(count_responses(text) == 2U);
    BOOST_TEST(text.find("/a|abc") < text.find("/b|"));
}

// Guards against bytes that are parsed twice or lost when they arrive while earlier requests are
// answered.
BOOST_FIXTURE_TEST_CASE(requests_that_arrive_in_pieces_are_each_handled_once, fixture) {
    constexpr int requests = 12;
    std::string sent;
    for (int i = 0; i < requests; ++i) {
        sent += "POST /" + std::string(static_cast<std::size_t>(i % 5), 'p') + std::to_string(i) +
                " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    }
    for (std::size_t piece = 1; piece < sent.size(); piece += 1 + piece / 2) {
        int before = this->handler.handled;
        raw_socket socket = this->connect();
        for (std::size_t at = 0; at < sent.size(); at += piece) {
            socket.write(sent.substr(at, piece));
            // Lets the server answer the requests that are complete.
            std::this_thread::sleep_for(std::chrono::microseconds(50));
        }
        std::string text = socket.read_until(std::to_string(requests - 1) + "|abc");
        BOOST_TEST(count_responses(text) == static_cast<std::size_t>(requests), piece);
        BOOST_TEST(this->handler.handled - before == requests, piece);
    }
}

// Guards against work for a disconnected caller, also when it had sent more bytes after its
// request.
BOOST_FIXTURE_TEST_CASE(caller_disconnect_is_detected_while_its_request_waits, fixture) {
    for (std::string rest : {"", "GET /more HTTP/1.1\r\nHost: a\r\n\r\n"}) {
        int before = this->handler.gone;
        raw_socket socket = this->connect();
        socket.write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n" + rest);
        BOOST_TEST(eventually(
            [&] {
                absl::MutexLock lock(&this->handler.mutex);
                return this->handler.held.size() == static_cast<std::size_t>(before + 1);
            },
            milliseconds(2000)));
        BOOST_TEST(this->handler.gone == before);
        socket.close();
        BOOST_TEST(eventually([&] { return this->handler.gone == before + 1; }, milliseconds(300)));
        BOOST_TEST(
            eventually([&] { return this->server->open_connections() == 0; }, milliseconds(300)));
    }
}

// Guards against work for a caller that closed the connection before its request was read.
BOOST_FIXTURE_TEST_CASE(request_of_a_disconnected_caller_is_not_handled, fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.loop = &loop});
    raw_socket leaving = this->connect_idle();
    raw_socket staying = this->connect_idle();
    {
        blocked_loop blocked(loop);
        leaving.write("GET /left HTTP/1.1\r\nHost: a\r\n\r\n");
        leaving.close();
        staying.write("GET /stays HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(50));
    }
    BOOST_TEST(has_status(staying.read_until("/stays|"), "200"));
    BOOST_TEST(
        eventually([&] { return this->server->open_connections() == 1; }, milliseconds(500)));
    BOOST_TEST(this->handler.handled == 3);  // The two first requests and /stays.
    this->server.reset();
    loop.stop();
}

// Guards against idle connections that prevent new ones at the connection limit.
BOOST_FIXTURE_TEST_CASE(longest_idle_connection_is_closed_at_the_connection_limit, fixture) {
    this->start({.max_connections = 3});
    std::vector<raw_socket> idle;
    for (int i = 0; i < 3; ++i) {
        idle.push_back(this->connect());
        idle.back().write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        idle.back().read_until("/first|");
    }
    raw_socket late = this->connect();
    late.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(has_status(late.read_until("/late|"), "200"));
    BOOST_TEST(idle[0].closed_by_peer(1000));
    BOOST_TEST(!idle[2].closed_by_peer(50));
}
// Guards against incomplete requests that use up the memory: the largest one must yield, and small
// requests must always be served.
BOOST_FIXTURE_TEST_CASE(incomplete_requests_yield_without_memory, fixture) {
    memory_account account({.limit_bytes = 400'000, .reserve_bytes = 100'000});
    this->start({.memory = &account});
    auto held = [&](std::size_t bytes) {
        return eventually([&] { return account.usage().held_bytes >= bytes; }, milliseconds(1000));
    };
    const std::string head = "POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n";
    raw_socket large = this->connect();
    large.write(head + std::string(140'000, 'b'));
    BOOST_TEST(held(140'000));
    raw_socket other = this->connect();
    other.write(head + std::string(50'000, 'b'));
    BOOST_TEST(held(190'000));
    this->connect_idle();
    BOOST_TEST(account.usage().dropped_requests == 0U);
    other.write(std::string(150'000, 'b'));
    BOOST_TEST(other.read_until("/big|").find("200 OK") != std::string::npos);
    BOOST_TEST(large.read_until("\r\n\r\n").find(" 503 ") != std::string::npos);
    BOOST_TEST(account.usage().dropped_requests == 1U);
    large.close();
    other.close();
    BOOST_TEST(eventually([&] { return account.usage().held_bytes == 0; }, milliseconds(1000)));
    this->server.reset();
}

// Guards against a caller that keeps an incomplete body, and against a refusal of a slow one.
BOOST_FIXTURE_TEST_CASE(a_body_that_stops_is_refused, fixture) {
    this->start({.limits = {.idle_timeout = milliseconds(500)}});
    const std::string head = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n";
    raw_socket slow = this->connect();
    slow.write(head);
    for (int i = 0; i < 8; ++i) {
        std::this_thread::sleep_for(milliseconds(100));
        slow.write("b");
    }
    BOOST_TEST(slow.read_until("/slow|").find("200 OK") != std::string::npos);
    BOOST_TEST(this->exchange(head + "bbbbbbb").find(" 408 ") != std::string::npos);
}

// Guards against connections beyond the limit when none is idle: an incomplete request yields, a
// complete one does not.
BOOST_FIXTURE_TEST_CASE(incomplete_requests_yield_at_the_connection_limit, fixture) {
    this->start({.max_connections = 1});
    raw_socket incomplete = this->connect();
    incomplete.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n");
    BOOST_TEST(
        eventually([&] { return this->server->pending_requests() == 1; }, milliseconds(1000)));
    raw_socket held = this->connect();
    held.write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(incomplete.closed_by_peer(1000));
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(1000)));
    BOOST_TEST(this->connect().closed_by_peer(1000));
    {
        absl::MutexLock lock(&this->handler.mutex);
        this->handler.held.front()->respond({.status = 200, .body = "served"});
    }
    BOOST_TEST(held.read_until("served").find("200 OK") != std::string::npos);
}

// Guards against changed limits that apply to new connections only.
BOOST_FIXTURE_TEST_CASE(changed_limits_apply_to_open_connections, fixture) {
    raw_socket socket = this->connect();
    socket.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd");
    socket.read_until("/a|abcd");
    this->server->set_limits({.header_bytes = 1024,
                              .body_bytes = 3,
                              .header_timeout = milliseconds(300),
                              .idle_timeout = milliseconds(600)});
    socket.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd");
    BOOST_TEST(has_status(socket.read_all(), "413"));
    std::string long_header =
        this->exchange("GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    BOOST_TEST(has_status(long_header, "431"));
    auto start = std::chrono::steady_clock::now();
    BOOST_TEST(has_status(this->exchange("GET /a HTTP/1.1\r\nHost: "), "408"));
    BOOST_TEST(this->connect().closed_by_peer(2000));
    BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::seconds(3)));
}

// Guards against a stop that drops a request: it is answered, and its connection is then closed.
BOOST_FIXTURE_TEST_CASE(stop_answers_waiting_requests, fixture) {
    raw_socket waiting = this->connect();
    waiting.write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(
        eventually([&] { return this->server->pending_requests() == 1; }, milliseconds(2000)));
    raw_socket idle = this->connect();
    idle.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    idle.read_until("/x|");
    this->server->disable_keep_alive();
    this->server->stop_accepting();
    BOOST_TEST(idle.closed_by_peer(1000));
    BOOST_TEST(!waiting.closed_by_peer(50));
    this->server->stop();
    std::string answer = waiting.read_all();
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

// Guards against a request that is lost because its idle connection is closed while the request is
// in the receive buffer.
BOOST_FIXTURE_TEST_CASE(stop_accepting_answers_a_request_in_the_receive_buffer, fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.loop = &loop});
    raw_socket idle = this->connect_idle();
    std::this_thread::sleep_for(milliseconds(700));
    std::thread stopping;
    {
        blocked_loop blocked(loop);
        stopping = std::thread([this] { this->server->stop_accepting(); });
        std::this_thread::sleep_for(milliseconds(150));
        idle.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(150));
    }
    stopping.join();
    std::string answer = idle.read_all();
    BOOST_TEST(has_status(answer, "200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    this->server.reset();
    loop.stop();
}

// Guards against connections in the accept queue that are reset when the listener closes.
BOOST_FIXTURE_TEST_CASE(stop_accepting_serves_connections_in_the_accept_queue, fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.loop = &loop});
    std::vector<raw_socket> waiting;
    std::thread stopping;
    {
        blocked_loop blocked(loop);
        stopping = std::thread([this] { this->server->stop_accepting(); });
        std::this_thread::sleep_for(milliseconds(100));
        for (int i = 0; i < 3; ++i) {
            waiting.push_back(this->connect());
            waiting.back().write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    stopping.join();
    for (const raw_socket& each : waiting) {
        BOOST_TEST(has_status(each.read_until("/late|"), "200"));
    }
    this->server.reset();
    loop.stop();
}

// Guards against a request that is lost because its connection is closed at the connection limit.
BOOST_FIXTURE_TEST_CASE(connection_with_an_unread_request_is_not_closed_at_the_connection_limit,
                        fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.max_connections = 1, .loop = &loop});
    raw_socket idle = this->connect_idle();
    std::vector<raw_socket> coming;
    {
        blocked_loop blocked(loop);
        coming.push_back(this->connect());
        std::this_thread::sleep_for(milliseconds(50));
        idle.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(50));
    }
    BOOST_TEST(has_status(idle.read_until("/late|"), "200"));
    this->server.reset();
    loop.stop();
}

// Guards against an idle time that includes a period in which the loop was blocked and did not
// read.
BOOST_FIXTURE_TEST_CASE(loop_stall_longer_than_the_idle_timeout_loses_no_request, fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.limits = {.idle_timeout = milliseconds(300)}, .loop = &loop});
    raw_socket idle = this->connect_idle();
    {
        blocked_loop blocked(loop);
        idle.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(900));
    }
    BOOST_TEST(has_status(idle.read_until("/late|"), "200"));
    this->server.reset();
    loop.stop();
}

// Guards against closing an idle connection earlier than the timeout in force at its last response.
BOOST_FIXTURE_TEST_CASE(lowered_idle_timeout_does_not_apply_to_idle_connections, fixture) {
    this->start({.limits = {.idle_timeout = milliseconds(2000)}});
    raw_socket idle = this->connect_idle();
    this->server->set_limits({.idle_timeout = milliseconds(200)});
    BOOST_TEST(!idle.closed_by_peer(1400));
    idle.write("GET /again HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(has_status(idle.read_until("/again|"), "200"));
    BOOST_TEST(idle.closed_by_peer(1400));
}

// Guards against a close that the preceding response did not announce with "Connection: close".
BOOST_FIXTURE_TEST_CASE(connection_closes_only_after_a_response_with_connection_close, fixture) {
    raw_socket slow = this->connect();
    std::string body(std::size_t{8} << 20U, 'x');
    this->server->set_limits({.body_bytes = body.size()});
    std::string request =
        "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::thread writer([&] { slow.write(request); });
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(5000)));
    writer.join();
    std::string first = slow.read_some(1);
    this->server->disable_keep_alive();
    this->server->stop_accepting();
    first += slow.read_until("", 300);
    BOOST_TEST(first.size() > body.size());
    BOOST_TEST(first.substr(0, 200).find("Connection: close") == std::string::npos);
    slow.write("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string next = slow.read_all();
    BOOST_TEST(has_status(next, "200"));
    BOOST_TEST(next.find("Connection: close") != std::string::npos);
}

// Guards against a running request that is cancelled for a new connection, because its caller has
// sent a part of the next one.
BOOST_FIXTURE_TEST_CASE(running_request_does_not_yield_at_the_connection_limit, fixture) {
    this->start({.max_connections = 1});
    raw_socket held = this->connect();
    held.write(
        "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
        "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nbbb");
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(1000)));
    BOOST_TEST(
        eventually([&] { return this->server->pending_requests() == 2; }, milliseconds(1000)));
    BOOST_TEST(this->connect().closed_by_peer(1000));
    {
        absl::MutexLock lock(&this->handler.mutex);
        this->handler.held.front()->respond({.status = 200, .body = "served"});
    }
    BOOST_TEST(held.read_until("served").find("200 OK") != std::string::npos);
    BOOST_TEST(this->handler.gone == 0);
}

// Guards against callers that hold all places at the connection limit although they need none: one
// that does not close its side after the last response, and one that reads nothing.
BOOST_FIXTURE_TEST_CASE(finished_and_unread_connections_yield_at_the_limit, fixture) {
    this->start({.limits = {.body_bytes = std::size_t{32} << 20U}, .max_connections = 1});
    raw_socket finished = this->connect();
    finished.write("GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(has_status(finished.read_until("/last|"), "200"));
    raw_socket unread = this->connect();
    std::string body(std::size_t{8} << 20U, 'x');
    unread.write("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return this->handler.handled == 2; }, milliseconds(5000)));
    BOOST_TEST(this->connect().closed_by_peer(1000));
    std::this_thread::sleep_for(milliseconds(5500));
    raw_socket late = this->connect();
    late.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(has_status(late.read_until("/late|"), "200"));
}

// Guards against bytes in memory that are not counted: those read behind a running request.
BOOST_FIXTURE_TEST_CASE(bytes_read_ahead_are_counted, fixture) {
    memory_account account({.limit_bytes = std::size_t{64} << 20U});
    this->start({.memory = &account});
    raw_socket ahead = this->connect();
    ahead.write(
        "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
        "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n" +
        std::string(200'000, 'b'));
    BOOST_TEST(
        eventually([&] { return account.usage().held_bytes > 130'000; }, milliseconds(1000)));
    {
        absl::MutexLock lock(&this->handler.mutex);
        this->handler.held.front()->respond({.status = 200, .body = "served"});
    }
    BOOST_TEST(ahead.read_until("served").find("200 OK") != std::string::npos);
    ahead.close();
    BOOST_TEST(eventually([&] { return account.usage().held_bytes == 0; }, milliseconds(2000)));
    this->server.reset();
}

// Guards against a response that is cut off because its reader takes longer than the idle timeout.
BOOST_FIXTURE_TEST_CASE(slow_reader_receives_the_whole_response, fixture) {
    constexpr int part = 64 << 10;
    raw_socket slow = raw_socket::connect_to(this->port, part);
    std::string body(std::size_t{8} << 20U, 'x');
    this->server->set_limits({.body_bytes = body.size(), .idle_timeout = milliseconds(400)});
    std::string request =
        "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::thread writer([&] { slow.write(request); });
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(5000)));
    writer.join();
    std::size_t got = 0;
    while (true) {
        std::size_t more = slow.read_some(part).size();
        if (more == 0) {
            break;
        }
        got += more;
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST(got > body.size());
}

// Guards against a stop that lasts until its time limit because of one stalled caller: the server
// would wait for the rest of a request, or for a response to be read, for the regular limit of 75
// s.
BOOST_FIXTURE_TEST_CASE(stalled_caller_does_not_delay_shutdown, fixture) {
    this->start(
        {.limits = {.body_bytes = std::size_t{32} << 20U}, .stall_timeout = milliseconds(300)});
    raw_socket partial = this->connect_idle();
    partial.write("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345");
    raw_socket non_reading = this->connect();
    std::string body(std::size_t{8} << 20U, 'x');
    non_reading.write("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return this->handler.handled == 2; }, milliseconds(5000)));
    this->server->stop_accepting();
    BOOST_TEST(has_status(partial.read_all(), "408"));
    BOOST_TEST(
        eventually([&] { return this->server->open_connections() == 0; }, milliseconds(2500)));
}

// Guards against a caller that reads nothing of its response, and seems to because it sends bytes.
BOOST_FIXTURE_TEST_CASE(sent_bytes_do_not_count_as_reading, fixture) {
    this->start(
        {.limits = {.body_bytes = std::size_t{32} << 20U}, .stall_timeout = milliseconds(300)});
    raw_socket non_reading = this->connect();
    std::string body(std::size_t{8} << 20U, 'x');
    non_reading.write("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(5000)));
    this->server->stop_accepting();
    BOOST_TEST(non_reading.write_until_closed("G", milliseconds(100), milliseconds(3000)));
}

// Guards against unbounded memory for a caller that sends and does not read.
BOOST_FIXTURE_TEST_CASE(read_ahead_during_a_response_is_bounded, fixture) {
    constexpr int parts = 1024;
    constexpr std::size_t part_bytes = std::size_t{64} << 10U;
    // More than the system's socket buffers hold in both directions.
    constexpr std::size_t bound_bytes = std::size_t{32} << 20U;
    this->server->set_limits({.body_bytes = bound_bytes});
    raw_socket non_reading = this->connect();
    std::string body(std::size_t{16} << 20U, 'x');
    non_reading.write("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(5000)));
    std::atomic<int> written{0};
    std::thread writer([&] {
        std::string part(part_bytes, 'y');
        for (; written < parts; ++written) {
            non_reading.write(part);
        }
    });
    eventually([&] { return written == parts; }, milliseconds(1500));
    BOOST_TEST(static_cast<std::size_t>(written) * part_bytes < bound_bytes);
    this->server.reset();
    writer.join();
}

// Guards against a connection closed without a response while the caller still sends its request.
BOOST_FIXTURE_TEST_CASE(partial_request_is_refused_as_not_run_at_shutdown, fixture) {
    raw_socket partial = this->connect_idle();
    partial.write("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345");
    BOOST_TEST(
        eventually([&] { return this->server->pending_requests() == 1; }, milliseconds(2000)));
    this->server->stop();
    std::string answer = partial.read_all();
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST(answer.find("not run") != std::string::npos);
    BOOST_TEST(this->handler.handled == 1);
}

// Guards against a partial request that is in the receive buffer at shutdown and gets no response.
BOOST_FIXTURE_TEST_CASE(partial_request_that_arrives_during_shutdown_is_refused_as_not_run,
                        fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.loop = &loop});
    raw_socket idle = this->connect_idle();
    std::thread stopping;
    {
        blocked_loop blocked(loop);
        stopping = std::thread([this] { this->server->stop(); });
        std::this_thread::sleep_for(milliseconds(50));
        idle.write("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345");
        std::this_thread::sleep_for(milliseconds(50));
    }
    std::string answer = idle.read_all();
    stopping.join();
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST(answer.find("not run") != std::string::npos);
    this->server.reset();
    loop.stop();
}

// Guards against a request that is read and dropped while the server stops.
BOOST_FIXTURE_TEST_CASE(request_that_arrives_during_shutdown_is_refused_as_not_run, fixture) {
    io::event_loop loop;
    loop.start();
    this->start({.loop = &loop});
    raw_socket idle = this->connect_idle();
    std::thread stopping;
    {
        blocked_loop blocked(loop);
        stopping = std::thread([this] { this->server->stop(); });
        std::this_thread::sleep_for(milliseconds(50));
        idle.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(50));
    }
    std::string answer = idle.read_all();
    stopping.join();
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST(answer.find("not run") != std::string::npos);
    this->server.reset();
    loop.stop();
}

}  // namespace trefoil::edge
