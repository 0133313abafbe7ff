// Tests of the server with bytes that well-behaved clients do not send.

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

// Answers at once with the body that came; keeps requests to /held until the test answers them.
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

// Occupies the loop, as a machine without processor time would, until this object ends.
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

    // A connection that has had one response and is idle.
    raw_socket connect_idle() const {
        raw_socket socket = this->connect();
        socket.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        socket.read_until("/first|");
        return socket;
    }

    // Sends bytes on a new connection and returns everything until the server closes it.
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

std::size_t responses_in(const std::string& text) {
    std::size_t count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

}  // namespace

// Guards against a second request that is hidden inside the first: the next hop may see the end of
// the body elsewhere.
BOOST_FIXTURE_TEST_CASE(ambiguous_body_length_is_refused_and_ends_the_connection, fixture) {
    std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    std::string both = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n" +
        hidden);
    BOOST_TEST(has_status(both, "400"));
    BOOST_TEST(responses_in(both) == 1U);
    std::string reversed = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
        "0\r\n\r\n" +
        hidden);
    BOOST_TEST(has_status(reversed, "400"));
    std::string different = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" + hidden);
    BOOST_TEST(has_status(different, "400"));
    BOOST_TEST(responses_in(different) == 1U);
    std::string hosts = this->exchange("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    BOOST_TEST(has_status(hosts, "400"));
    BOOST_TEST(this->handler.handled == 0);
}

// Guards against a size that overflows and leaves the caller without an answer.
BOOST_FIXTURE_TEST_CASE(a_huge_chunk_is_refused_at_once, fixture) {
    std::string answer = this->exchange(
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8000000000000000\r\n");
    BOOST_TEST((has_status(answer, "400") || has_status(answer, "413")));
    BOOST_TEST(this->handler.handled == 0);
}

// Guards against bytes lost between requests that arrive together, and against wrong order.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, fixture) {
    raw_socket socket = this->connect();
    socket.write(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string text = socket.read_until("/b|");
    BOOST_TEST(responses_in(text) == 2U);
    BOOST_TEST(text.find("/a|abc") < text.find("/b|"));
}

// Guards against work for a caller that has left: also one that had sent more behind its request.
BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_is_noticed_while_its_request_waits, fixture) {
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

// Guards against work for a caller whose close came before its request was read.
BOOST_FIXTURE_TEST_CASE(a_request_of_a_caller_that_has_left_is_not_handled, fixture) {
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
    BOOST_TEST(this->handler.handled == 3);  // Two first requests and /stays.
    this->server.reset();
    loop.stop();
}

// Guards against idle connections that keep new callers out.
BOOST_FIXTURE_TEST_CASE(the_longest_idle_connection_gives_way, fixture) {
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

// Guards against limits that hold only for connections opened after a change.
BOOST_FIXTURE_TEST_CASE(limits_change_while_connections_are_open, fixture) {
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

// Guards against a stop that cuts a request off: it is answered, on a connection that then closes.
BOOST_FIXTURE_TEST_CASE(a_stop_answers_what_waits, fixture) {
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

// Guards against an idle connection that is closed with a request in its receive buffer, which its
// caller then loses.
BOOST_FIXTURE_TEST_CASE(a_stop_answers_a_request_that_arrived_unread, fixture) {
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

// Guards against a connection that is reset when the listener closes before it was accepted.
BOOST_FIXTURE_TEST_CASE(a_stop_answers_connections_that_wait_to_be_accepted, fixture) {
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

// Guards against a request that is lost because its connection made room for another.
BOOST_FIXTURE_TEST_CASE(a_connection_with_an_unread_request_does_not_give_way, fixture) {
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

// Guards against idleness that is judged by a clock that ran while the process could not read.
BOOST_FIXTURE_TEST_CASE(a_stall_longer_than_the_idle_time_loses_no_request, fixture) {
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

// Guards against a caller that is cut off because the idle time was lowered after it was told.
BOOST_FIXTURE_TEST_CASE(a_lower_idle_time_spares_connections_that_are_idle_already, fixture) {
    this->start({.limits = {.idle_timeout = milliseconds(2000)}});
    raw_socket idle = this->connect_idle();
    this->server->set_limits({.idle_timeout = milliseconds(200)});
    BOOST_TEST(!idle.closed_by_peer(1400));
    idle.write("GET /again HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(has_status(idle.read_until("/again|"), "200"));
    BOOST_TEST(idle.closed_by_peer(1400));
}

// Guards against a close that its caller was not told of with the response before it.
BOOST_FIXTURE_TEST_CASE(a_connection_closes_only_after_a_response_that_says_so, fixture) {
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

// Guards against a response that is cut off because its reader takes longer than the idle time.
BOOST_FIXTURE_TEST_CASE(a_slow_reader_gets_its_whole_response, fixture) {
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

// Guards against a stop that lasts until its limit because one caller stands still: half a request
// would be awaited, or a response offered, for the 75 s that callers have otherwise.
BOOST_FIXTURE_TEST_CASE(a_caller_that_stands_still_does_not_hold_a_stop, fixture) {
    this->start(
        {.limits = {.body_bytes = std::size_t{32} << 20U}, .stall_limit = milliseconds(300)});
    raw_socket half = this->connect_idle();
    half.write("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345");
    raw_socket deaf = this->connect();
    std::string body(std::size_t{8} << 20U, 'x');
    deaf.write("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return this->handler.handled == 2; }, milliseconds(5000)));
    this->server->stop_accepting();
    BOOST_TEST(has_status(half.read_all(), "408"));
    BOOST_TEST(
        eventually([&] { return this->server->open_connections() == 0; }, milliseconds(2500)));
}

// Guards against memory that grows without bound for a caller that sends and does not read.
BOOST_FIXTURE_TEST_CASE(what_is_read_during_a_response_is_bounded, fixture) {
    constexpr int parts = 1024;
    constexpr std::size_t part_bytes = std::size_t{64} << 10U;
    // More than the buffers of the system hold, in both directions.
    constexpr std::size_t bound_bytes = std::size_t{32} << 20U;
    this->server->set_limits({.body_bytes = bound_bytes});
    raw_socket deaf = this->connect();
    std::string body(std::size_t{16} << 20U, 'x');
    deaf.write("POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
    BOOST_TEST(eventually([&] { return this->handler.handled == 1; }, milliseconds(5000)));
    std::atomic<int> written{0};
    std::thread writer([&] {
        std::string part(part_bytes, 'y');
        for (; written < parts; ++written) {
            deaf.write(part);
        }
    });
    eventually([&] { return written == parts; }, milliseconds(1500));
    BOOST_TEST(static_cast<std::size_t>(written) * part_bytes < bound_bytes);
    this->server.reset();
    writer.join();
}

// Guards against a caller that is cut off, without an answer, while it still sends its request.
BOOST_FIXTURE_TEST_CASE(a_part_of_a_request_is_refused_as_not_run_at_the_very_end, fixture) {
    raw_socket half = this->connect_idle();
    half.write("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345");
    BOOST_TEST(
        eventually([&] { return this->server->pending_requests() == 1; }, milliseconds(2000)));
    this->server->stop();
    std::string answer = half.read_all();
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST(answer.find("not run") != std::string::npos);
    BOOST_TEST(this->handler.handled == 1);
}

// Guards against half a request that arrives unread in the last moment and gets no answer.
BOOST_FIXTURE_TEST_CASE(a_part_that_comes_at_the_very_end_is_refused_as_not_run, fixture) {
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

// Guards against a request that is read and dropped in the moment in which the server ends.
BOOST_FIXTURE_TEST_CASE(a_request_that_comes_at_the_very_end_is_refused_as_not_run, fixture) {
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
