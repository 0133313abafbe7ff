// Tests of the peer port against endless streams from senders that do not know the fleet secret.

#define BOOST_TEST_MODULE transport_endless_frames
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "base/testing/memory_peak.h"
#include "edge/testing/raw_peer.h"
#include "transport/frame_socket.h"
#include "transport/peer_endpoint.h"

namespace trefoil::transport {

namespace {

using edge::testing::raw_socket;
using std::chrono::milliseconds;

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
constexpr int senders = 4;
// The handshake timeout is 2 s; the rest is a margin for a busy machine.
constexpr milliseconds close_limit{5000};

class ignore_events final : public peer_events {
public:
    void on_open(connection_id, const messages::hello&, bool) override {}
    void on_message(connection_id, const messages::hello&, messages::peer_message,
                    mono_time) override {}
    void on_silent(connection_id, const messages::hello&) override {}
    void on_resumed(connection_id, const messages::hello&) override {}
    void on_close(connection_id, const messages::hello*, bool) override {}
};

// The bytes that a sender writes: `start` once, then `unit` repeatedly.
struct stream {
    std::string name;
    std::string start;
    std::string unit;
};

std::string repeat(std::string_view unit, std::size_t bytes = 64U << 10U) {
    std::string text;
    while (text.size() < bytes) {
        text += unit;
    }
    return text;
}

// A WebSocket frame from a client, masked with zeros. `head` is its first byte; the payload must be
// shorter than 126 bytes.
std::string frame(unsigned char head, const std::string& payload) {
    std::string text;
    text += static_cast<char>(head);
    text += static_cast<char>(0x80U | payload.size());
    text += std::string(4, '\0');
    return text + payload;
}

std::vector<stream> streams() {
    const std::string upgrade =
        "GET / HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
    constexpr unsigned char first_fragment = 0x02;
    constexpr unsigned char next_fragment = 0x00;
    constexpr unsigned char ping = 0x89;
    std::string huge_frame = std::string("\x82\xff\x7f", 3) + std::string(11, '\0');
    return {
        {.name = "one handshake line", .start = "GET /", .unit = repeat("a")},
        {.name = "handshake lines", .start = "GET / HTTP/1.1\r\n", .unit = repeat("X-A: b\r\n")},
        {.name = "a handshake body",
         .start = "POST / HTTP/1.1\r\nHost: peer\r\nContent-Length: 31000000\r\n\r\n",
         .unit = repeat("b", 30'000'000)},
        {.name = "a huge frame", .start = upgrade + huge_frame, .unit = repeat("c")},
        {.name = "fragments of a message",
         .start = upgrade + frame(first_fragment, "d"),
         .unit = repeat(frame(next_fragment, std::string(100, 'd')))},
        {.name = "empty fragments of a message",
         .start = upgrade + frame(first_fragment, ""),
         .unit = repeat(frame(next_fragment, ""))},
        {.name = "pings", .start = upgrade, .unit = repeat(frame(ping, std::string(100, 'p')))},
    };
}

// Writes the stream on several connections without reading from them. Returns the number of
// connections that the endpoint closed within close_limit.
int send_on_connections(const stream& sent, std::uint16_t port) {
    std::atomic<int> closed{0};
    std::vector<std::thread> threads;
    threads.reserve(senders);
    for (int i = 0; i < senders; ++i) {
        threads.emplace_back([&] {
            raw_socket socket = raw_socket::connect_to(port);
            socket.write(sent.start);
            closed += socket.write_until_closed(sent.unit, milliseconds(0), close_limit) ? 1 : 0;
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    return closed;
}

}  // namespace

// Guards against an unauthenticated sender that exhausts the daemon's memory or keeps its
// connection open.
BOOST_AUTO_TEST_CASE(endless_unauthenticated_streams_use_little_memory) {
    machine_time_source clock;
    ignore_events events;
    peer_endpoint endpoint(
        {.self = {.fleet_protocol = "trefoil/1", .instance = "here", .incarnation = 1},
         .fleet_secret = "a-shared-fleet-secret"},
        events, clock);
    auto port = static_cast<std::uint16_t>(10000 + getpid() % 20000);
    while (!succeeded(endpoint.start("127.0.0.1", port))) {
        port = static_cast<std::uint16_t>(port + 13);
    }
    for (const stream& each : streams()) {
        BOOST_TEST_CONTEXT(each.name) {
            trefoil::testing::memory_peak memory;
            auto begin = std::chrono::steady_clock::now();
            BOOST_TEST(send_on_connections(each, port) == senders);
            auto took =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
            BOOST_TEST(memory.growth() < 8 * mebibyte);
            BOOST_TEST_MESSAGE(each.name << ": " << took.count() << " ms, memory "
                                         << memory.growth() / 1024 << " KiB");
        }
    }
}

}  // namespace trefoil::transport
