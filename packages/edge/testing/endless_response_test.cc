// Tests of upstream_client against upstreams that send endless responses.

#define BOOST_TEST_MODULE edge_endless_response
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "base/testing/memory_peak.h"
#include "edge/testing/raw_peer.h"
#include "edge/upstream_client.h"

namespace trefoil::edge {

namespace {

using std::chrono::milliseconds;
using testing::raw_server;
using testing::raw_socket;
using trefoil::testing::memory_peak;
using steady = std::chrono::steady_clock;

constexpr milliseconds full_speed{0};
constexpr std::size_t mebibyte = std::size_t{1} << 20U;
// Longest time for which an upstream sends. It ends earlier when the client closes the connection.
constexpr milliseconds send_limit{6000};
// Far below the deadline of 5 s, and enough for a busy machine to reach a limit.
constexpr milliseconds result_limit{1500};
// Longest interval between two runs of a 5 ms timer on the loop while the bytes arrive.
constexpr milliseconds loop_gap_limit{250};

std::string repeat(std::string_view unit, std::size_t bytes = 64U << 10U) {
    std::string text;
    while (text.size() < bytes) {
        text += unit;
    }
    return text;
}

// What an upstream sends, and how fast.
struct stream {
    std::string name;
    std::string start;  // Written once.
    std::string unit;   // Written repeatedly.
    bool reads_request = true;
    milliseconds pause = full_speed;
};

// Records the longest interval between two runs of a timer on the loop.
class loop_probe {
public:
    explicit loop_probe(io::event_loop& loop) : timer(loop, [this] { this->on_time(); }) {
        loop.post([this] { this->on_time(); });
    }
    milliseconds longest() const { return milliseconds(this->longest_ms.load()); }

private:
    void on_time() {
        auto now = steady::now();
        auto gap = this->last == steady::time_point() ? 0 : (now - this->last).count() / 1'000'000;
        this->longest_ms = std::max<std::int64_t>(this->longest_ms, gap);
        this->last = now;
        this->timer.arm(milliseconds(5));
    }
    io::loop_timer timer;
    steady::time_point last;
    std::atomic<std::int64_t> longest_ms{0};
};

struct fixture {
    explicit fixture(std::function<void(raw_socket, int)> serve,
                     std::size_t body_buffer_bytes = upstream_client_options{}.max_buffered_bytes)
        : server(std::move(serve)),
          client({.address = "127.0.0.1:" + std::to_string(this->server.port()),
                  .max_buffered_bytes = body_buffer_bytes,
                  .loop = &this->loop},
                 this->clock),
          probe(this->loop) {
        this->loop.start();
    }
    ~fixture() { this->loop.stop(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    std::future<upstream_result> start(milliseconds deadline = milliseconds(5000)) {
        auto promise = std::make_shared<std::promise<upstream_result>>();
        this->client.start(
            {.method = "GET", .target = "/", .deadline = this->clock.now() + deadline},
            [promise](upstream_result result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    machine_time_source clock;
    raw_server server;
    io::event_loop loop;
    upstream_client client;
    loop_probe probe;
};

// Counts the connections that the client has closed.
struct closed_connections {
    std::atomic<int> closed{0};

    bool reaches(int wanted, milliseconds limit) const {
        auto end = steady::now() + limit;
        while (this->closed < wanted && steady::now() < end) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        return this->closed >= wanted;
    }
};

std::function<void(raw_socket, int)> endless(const stream& sent,
                                             std::shared_ptr<closed_connections> counted) {
    auto shared = std::make_shared<const stream>(sent);
    return [shared, counted = std::move(counted)](const raw_socket& socket, int) {
        if (shared->reads_request) {
            socket.read_until("\r\n\r\n");
        }
        socket.write(shared->start);
        if (socket.write_until_closed(shared->unit, shared->pause, send_limit)) {
            ++counted->closed;
        }
    };
}

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = status_line + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<stream> fast_streams() {
    return {
        {.name = "one header line", .start = status_line + "X-Long: ", .unit = repeat("a")},
        {.name = "a status line", .start = "HTTP/1.1 200 ", .unit = repeat("a")},
        {.name = "header lines", .start = status_line, .unit = repeat("X-Line: value\r\n")},
        {.name = "interim responses", .start = "", .unit = repeat("HTTP/1.1 100 Continue\r\n\r\n")},
        {.name = "interim responses with headers",
         .start = "",
         .unit = repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")},
        {.name = "a body without a length", .start = status_line + "\r\n", .unit = repeat("b")},
        {.name = "a body with a huge length",
         .start = status_line + "Content-Length: 9000000000000000000\r\n\r\n",
         .unit = repeat("b")},
        {.name = "a slow body with a huge length",
         .start = status_line + "Content-Length: 9000000000000000000\r\n\r\n",
         .unit = "b",
         .pause = milliseconds(100)},
        {.name = "a body in chunks",
         .start = chunked_head,
         .unit = repeat("10\r\n0123456789abcdef\r\n")},
        {.name = "one chunk", .start = chunked_head + "7fffffffffffffff\r\n", .unit = repeat("c")},
        {.name = "a chunk extension", .start = chunked_head + "1;", .unit = repeat("e")},
        {.name = "chunk extensions",
         .start = chunked_head,
         .unit = repeat("1;" + std::string(2000, 'e') + "\r\nx\r\n")},
        {.name = "one trailer line", .start = chunked_head + "0\r\nX-Long: ", .unit = repeat("t")},
        {.name = "trailer lines",
         .start = chunked_head + "0\r\n",
         .unit = repeat("X-Line: value\r\n")},
        {.name = "bytes that are not a response", .start = "", .unit = repeat("noise ")},
        {.name = "lines that are not a response", .start = "", .unit = repeat("noise\r\n")},
        {.name = "zero bytes", .start = "", .unit = std::string(64U << 10U, '\0')},
        {.name = "noise before the request",
         .start = "",
         .unit = repeat("noise "),
         .reads_request = false},
        {.name = "interim responses before the request",
         .start = "",
         .unit = repeat("HTTP/1.1 100 Continue\r\n\r\n"),
         .reads_request = false},
        {.name = "a body before the request",
         .start = status_line + "\r\n",
         .unit = repeat("b"),
         .reads_request = false},
    };
}

}  // namespace

// Guards against an upstream whose endless response fills the daemon's memory, occupies a call
// until its deadline, keeps its connection, or delays calls to other upstreams.
BOOST_AUTO_TEST_CASE(endless_responses_fail_promptly_in_bounded_memory) {
    for (const stream& each : fast_streams()) {
        BOOST_TEST_CONTEXT(each.name) {
            auto counted = std::make_shared<closed_connections>();
            fixture setup(endless(each, counted));
            memory_peak memory;
            auto begin = steady::now();
            auto result = setup.start().get();
            auto took = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
            BOOST_TEST(std::holds_alternative<response_lost>(result));
            BOOST_TEST(took.count() < result_limit.count());
            BOOST_TEST(counted->reaches(1, milliseconds(1000)));
            BOOST_TEST(memory.growth() < 6 * mebibyte);
            BOOST_TEST(setup.probe.longest().count() < loop_gap_limit.count());
            BOOST_TEST_MESSAGE(each.name << ": result " << result.index() << " after "
                                         << took.count() << " ms, memory " << memory.growth() / 1024
                                         << " KiB, loop gap " << setup.probe.longest().count()
                                         << " ms");
        }
    }
}

// Guards against memory that grows with the number of calls to an upstream that sends endless
// bodies.
BOOST_AUTO_TEST_CASE(concurrent_endless_bodies_share_bounded_memory) {
    constexpr int calls = 64;
    auto counted = std::make_shared<closed_connections>();
    // 64 KiB every 2 ms, so that all bodies grow concurrently.
    stream slow{.name = "side by side",
                .start = status_line + "\r\n",
                .unit = repeat("b"),
                .pause = milliseconds(2)};
    fixture setup(endless(slow, counted));
    memory_peak memory;
    auto begin = steady::now();
    std::vector<std::future<upstream_result>> results;
    results.reserve(calls);
    for (int i = 0; i < calls; ++i) {
        results.push_back(setup.start());
    }
    for (auto& each : results) {
        BOOST_TEST(std::holds_alternative<response_lost>(each.get()));
    }
    auto took = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
    BOOST_TEST(took.count() < result_limit.count());
    BOOST_TEST(counted->reaches(calls, milliseconds(1000)));
    // The buffer limit of 16 MiB, doubled by the growth of strings, and the threads of the test's
    // server.
    BOOST_TEST(memory.growth() < 48 * mebibyte);
    BOOST_TEST(setup.probe.longest().count() < loop_gap_limit.count());
    BOOST_TEST_MESSAGE(calls << " calls: " << took.count() << " ms, memory "
                             << memory.growth() / 1024 << " KiB, loop gap "
                             << setup.probe.longest().count() << " ms");
}

// Guards against bodies that are below their own limit but exceed the buffer limit together, and
// against dropping more of them than necessary. The first call has the largest body.
BOOST_AUTO_TEST_CASE(largest_body_is_dropped_at_the_buffer_limit) {
    constexpr std::size_t largest = 3000;
    constexpr std::size_t usual = 1000;
    std::promise<void> finish;
    auto may_finish = finish.get_future().share();
    fixture setup(
        [&may_finish](const raw_socket& socket, int number) {
            std::size_t first_part = number == 1 ? largest : usual;
            socket.read_until("\r\n\r\n");
            socket.write(status_line);
            socket.write("Content-Length: " + std::to_string(first_part + 1) + "\r\n\r\n");
            socket.write(std::string(first_part, 'b'));
            may_finish.wait();
            socket.write("b");
            socket.read_all(500);
        },
        largest + usual + usual / 2);
    auto first = setup.start();
    std::this_thread::sleep_for(milliseconds(100));
    auto second = setup.start();
    BOOST_TEST((first.wait_for(milliseconds(200)) == std::future_status::timeout));
    auto third = setup.start();
    auto result = first.get();
    const auto* lost = std::get_if<response_lost>(&result);
    BOOST_TEST_REQUIRE(lost != nullptr);
    BOOST_TEST((lost->why == response_loss::buffer_limit));
    finish.set_value();
    BOOST_TEST(std::get<http_response>(second.get()).body.size() == usual + 1);
    BOOST_TEST(std::get<http_response>(third.get()).body.size() == usual + 1);
}

// Guards against a call that outlives its deadline because single bytes keep arriving.
BOOST_AUTO_TEST_CASE(slow_endless_responses_end_at_the_deadline) {
    for (const std::string& start : {std::string(), status_line + "X-Long: ", status_line + "\r\n",
                                     chunked_head + "1;", chunked_head + "0\r\nX-Long: "}) {
        auto counted = std::make_shared<closed_connections>();
        fixture setup(endless(
            {.name = "drip", .start = start, .unit = "H", .pause = milliseconds(100)}, counted));
        auto begin = steady::now();
        auto result = setup.start(milliseconds(500)).get();
        auto took = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
        BOOST_TEST((std::holds_alternative<interrupted>(result) ||
                    std::holds_alternative<response_lost>(result)));
        BOOST_TEST(took.count() < 800);
        BOOST_TEST(counted->reaches(1, milliseconds(1000)));
    }
}

// Guards against a loop that reads from one idle connection indefinitely, and against a later
// request that is sent on this connection and reported as lost.
BOOST_AUTO_TEST_CASE(endless_bytes_after_a_response_close_the_connection) {
    for (milliseconds delay : {milliseconds(0), milliseconds(50)}) {
        auto counted = std::make_shared<closed_connections>();
        fixture setup([counted, delay](const raw_socket& socket, int number) {
            socket.read_until("\r\n\r\n");
            std::string body = "b" + std::to_string(number);
            socket.write(status_line);
            socket.write("Content-Length: 2\r\n\r\n" + body);
            std::this_thread::sleep_for(delay);
            if (socket.write_until_closed(std::string(mebibyte, 'x'), full_speed, send_limit)) {
                ++counted->closed;
            }
        });
        memory_peak memory;
        for (int i = 1; i <= 3; ++i) {
            auto begin = steady::now();
            auto result = setup.start().get();
            const auto* response = std::get_if<http_response>(&result);
            const auto* lost = std::get_if<response_lost>(&result);
            BOOST_TEST_INFO("request " << i << ": "
                                       << (lost != nullptr ? lost->detail : "not lost"));
            BOOST_TEST_REQUIRE(response != nullptr);
            BOOST_TEST(response->body == "b" + std::to_string(i));
            BOOST_TEST((steady::now() - begin < result_limit));
            BOOST_TEST(counted->reaches(i, milliseconds(1000)));
        }
        BOOST_TEST(memory.growth() < 6 * mebibyte);
        BOOST_TEST(setup.probe.longest().count() < loop_gap_limit.count());
        BOOST_TEST_MESSAGE("after a response: loop gap " << setup.probe.longest().count() << " ms");
    }
}

}  // namespace trefoil::edge
