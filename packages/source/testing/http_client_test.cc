// Tests of the HTTP client against servers that send endless responses.

#define BOOST_TEST_MODULE source_http_client
#include "source/http_client.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "base/testing/memory_peak.h"
#include "edge/testing/raw_peer.h"

namespace trefoil::source {

namespace {

using edge::testing::raw_server;
using edge::testing::raw_socket;
using std::chrono::milliseconds;

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
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = status_line + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {.name = "header lines", .start = status_line, .unit = repeat("X-A: b\r\n")},
        {.name = "interim responses", .start = "", .unit = repeat("HTTP/1.1 100 Go on\r\n\r\n")},
        {.name = "a body", .start = status_line + "\r\n", .unit = repeat("b")},
        {.name = "chunks", .start = chunked, .unit = repeat("10\r\n0123456789abcdef\r\n")},
        {.name = "trailer lines", .start = chunked + "0\r\n", .unit = repeat("X-A: b\r\n")},
    };
}

}  // namespace

// Guards against a faulty platform that fills the daemon's memory, or that occupies the client for
// the full timeout of a call.
BOOST_AUTO_TEST_CASE(endless_response_is_a_failure) {
    constexpr std::size_t memory_limit = std::size_t{8} << 20U;
    for (const stream& each : streams()) {
        BOOST_TEST_CONTEXT(each.name) {
            std::atomic<int> closed{0};
            raw_server server([&](const raw_socket& socket, int) {
                socket.read_until("\r\n\r\n");
                socket.write(each.start);
                closed +=
                    socket.write_until_closed(each.unit, milliseconds(0), std::chrono::seconds(5))
                        ? 1
                        : 0;
            });
            trefoil::testing::memory_peak memory;
            http_client client({});
            auto begin = std::chrono::steady_clock::now();
            auto result = client.get("http://127.0.0.1:" + std::to_string(server.port()) + "/",
                                     milliseconds(3000));
            auto took =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
            BOOST_TEST(std::holds_alternative<http_failure>(result));
            BOOST_TEST(took.count() < 1500);
            BOOST_TEST(memory.growth() < memory_limit);
            BOOST_TEST_MESSAGE(each.name << ": " << took.count() << " ms, memory "
                                         << memory.growth() / 1024 << " KiB");
            while (closed == 0 && std::chrono::steady_clock::now() - begin < milliseconds(4500)) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            BOOST_TEST(closed == 1);
        }
    }
}

// Guards against a large response that never arrives over a slow link, although its bytes keep
// coming, and against a slow response that occupies the client.
BOOST_AUTO_TEST_CASE(received_bytes_extend_the_timeout) {
    constexpr milliseconds timeout{300};
    constexpr milliseconds pause{50};
    const std::string unit(16U << 10U, 'b');
    for (bool fast : {true, false}) {
        raw_server server([&](const raw_socket& socket, int) {
            socket.read_until("\r\n\r\n");
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n");
            for (std::size_t sent = 0; sent < (256U << 10U); sent += unit.size()) {
                std::this_thread::sleep_for(pause);
                socket.write(unit);
            }
        });
        http_client client({.min_bytes_per_second = (fast ? 64U : 1024U) << 10U});
        auto begin = std::chrono::steady_clock::now();
        auto result =
            client.get("http://127.0.0.1:" + std::to_string(server.port()) + "/", timeout);
        auto took = std::chrono::steady_clock::now() - begin;
        BOOST_TEST(std::holds_alternative<http_response>(result) == fast);
        BOOST_TEST((fast ? took > timeout : took < 3 * timeout));
    }
}

}  // namespace trefoil::source
