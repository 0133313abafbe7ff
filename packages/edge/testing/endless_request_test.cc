// Tests of http_server against callers that send endless requests.

#define BOOST_TEST_MODULE edge_endless_request
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "base/testing/memory_peak.h"
#include "edge/http_server.h"
#include "edge/testing/raw_peer.h"

namespace trefoil::edge {

namespace {

using std::chrono::milliseconds;
using testing::raw_socket;
using trefoil::testing::memory_peak;

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
constexpr int callers = 4;
// The server reads from a refused connection for another 1 s; the rest is a margin for a busy
// machine.
constexpr milliseconds close_limit{4000};

// Responds to each request at once, except to "/wait".
class plain_handler final : public request_handler {
public:
    void handle(http_request request, std::shared_ptr<responder> responder) override {
        if (request.path == "/wait") {
            this->waiting.push_back(std::move(responder));
        } else {
            responder->respond({.status = 200, .body = "ok"});
        }
    }
    http_response refuse(unsigned status) override { return {.status = status}; }

private:
    std::vector<std::shared_ptr<responder>> waiting;  // Used on the loop only.
};

struct running_server {
    running_server() {
        this->port = static_cast<std::uint16_t>(10000 + getpid() % 20000);
        do {
            this->port = static_cast<std::uint16_t>(this->port + 13);
            this->server = std::make_unique<http_server>(
                http_server_options{.ip = "127.0.0.1", .port = this->port}, this->handler);
        } while (!succeeded(this->server->start()));
    }

    // Writes `start` once and `unit` repeatedly on several connections that never read. Returns how
    // many of them the server has closed within the limit.
    int send(const std::string& start, const std::string& unit, milliseconds limit) const {
        std::atomic<int> closed{0};
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&] {
                raw_socket socket = raw_socket::connect_to(this->port);
                socket.write(start);
                closed += socket.write_until_closed(unit, milliseconds(0), limit) ? 1 : 0;
            });
        }
        for (std::thread& each : threads) {
            each.join();
        }
        return closed;
    }

    plain_handler handler;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
};

struct stream {
    std::string name;
    std::string start;
    std::string unit;
};

std::string repeat(std::string_view unit) {
    constexpr std::size_t unit_bytes = 64U << 10U;
    std::string text;
    while (text.size() < unit_bytes) {
        text += unit;
    }
    return text;
}

std::vector<stream> streams() {
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {.name = "a request line", .start = "GET /", .unit = repeat("a")},
        {.name = "header lines", .start = "GET / HTTP/1.1\r\n", .unit = repeat("X-A: b\r\n")},
        {.name = "empty lines", .start = "", .unit = repeat("\r\n")},
        {.name = "chunks", .start = chunked, .unit = repeat("10\r\n0123456789abcdef\r\n")},
        {.name = "a chunk size", .start = chunked, .unit = repeat("0")},
        {.name = "a chunk extension", .start = chunked + "1;", .unit = repeat("e")},
        {.name = "chunk extensions",
         .start = chunked,
         .unit = repeat("1;" + std::string(1000, 'e') + "\r\nx\r\n")},
        {.name = "one trailer line", .start = chunked + "0\r\nX-A: ", .unit = repeat("t")},
        {.name = "trailer lines", .start = chunked + "0\r\n", .unit = repeat("X-A: b\r\n")},
    };
}

}  // namespace

// Guards against a caller whose endless request fills the daemon's memory or keeps its connection.
BOOST_FIXTURE_TEST_CASE(endless_requests_use_bounded_memory, running_server) {
    for (const stream& each : streams()) {
        BOOST_TEST_CONTEXT(each.name) {
            memory_peak memory;
            auto begin = std::chrono::steady_clock::now();
            BOOST_TEST(this->send(each.start, each.unit, close_limit) == callers);
            auto took =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
            BOOST_TEST(memory.growth() < 8 * mebibyte);
            BOOST_TEST_MESSAGE(each.name << ": " << took.count() << " ms, memory "
                                         << memory.growth() / 1024 << " KiB");
        }
    }
}

// Guards against unlimited read-ahead of pipelined requests while one is handled.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_behind_a_waiting_one_use_bounded_memory,
                        running_server) {
    memory_peak memory;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_TEST(this->send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n", repeat(request),
                          milliseconds(1000)) == 0);
    BOOST_TEST(memory.growth() < 8 * mebibyte);
}

}  // namespace trefoil::edge
