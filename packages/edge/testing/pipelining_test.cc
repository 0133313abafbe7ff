// Tests of http_server with callers that send further requests before the first is answered.

#define BOOST_TEST_MODULE edge_pipelining
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "edge/http_server.h"
#include "edge/testing/raw_peer.h"

namespace trefoil::edge {

namespace {

using std::chrono::milliseconds;
using testing::raw_socket;

// Answers requests to paths that begin with /now at once and holds the others. Requests to paths
// that contain "once" may not run ahead.
class holding_handler final : public request_handler {
public:
    void handle(http_request request, std::shared_ptr<responder> target) override {
        if (request.path.rfind("/now", 0) == 0) {
            target->respond({.status = 200, .body = request.path + "|"});
        } else {
            target->on_caller_gone([this] { ++this->gone; });
            absl::MutexLock lock(&this->mutex);
            this->held[request.path] = std::move(target);
        }
        ++this->handled;
    }
    bool may_run_ahead(const http_request& request) const override {
        return request.path.find("once") == std::string::npos;
    }
    http_response refuse(unsigned status) override { return {.status = status, .body = "refused"}; }

    void answer(const std::string& path, bool close = false) {
        absl::MutexLock lock(&this->mutex);
        this->held.at(path)->respond(
            {.status = 200, .body = path + "|", .close_connection = close});
    }

    std::atomic<int> handled{0};
    std::atomic<int> gone{0};
    absl::Mutex mutex;
    std::map<std::string, std::shared_ptr<responder>> held;
};

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

struct fixture {
    fixture() {
        constexpr int attempts = 50;
        for (int i = 0; i < attempts && this->server == nullptr; ++i) {
            this->port = static_cast<std::uint16_t>(10000 + (getpid() * 50 + i * 7) % 20000);
            auto candidate = std::make_unique<http_server>(
                http_server_options{
                    .ip = "127.0.0.1", .port = this->port, .memory = &this->account},
                this->handler);
            if (succeeded(candidate->start())) {
                this->server = std::move(candidate);
            }
        }
        BOOST_REQUIRE(this->server != nullptr);
    }

    // Sends bytes on a new connection and waits until `handled` requests were passed on.
    raw_socket send(const std::string& bytes, int handled) {
        raw_socket socket = raw_socket::connect_to(this->port);
        socket.write(bytes);
        BOOST_TEST(eventually([&] { return this->handler.handled == handled; }));
        return socket;
    }

    static bool eventually(const std::function<bool()>& condition) {
        auto end = std::chrono::steady_clock::now() + milliseconds(2000);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return condition();
    }

    std::uint16_t port = 0;
    holding_handler handler;
    memory_account account{{.limit_bytes = std::size_t{64} << 20U}};
    std::unique_ptr<http_server> server;
};

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

}  // namespace

// Guards against a slow first response that delays the work of the requests behind it, and against
// responses in the order in which the work ends.
BOOST_FIXTURE_TEST_CASE(requests_behind_a_slow_one_run_and_are_answered_in_order, fixture) {
    raw_socket socket = this->send(get("/slow") + get("/now1") + get("/b") + get("/now2"), 4);
    this->handler.answer("/b");
    BOOST_TEST(socket.read_until("|", 50).empty());
    this->handler.answer("/slow");
    std::string text = socket.read_until("/now2|");
    BOOST_TEST(count(text, "HTTP/1.1 200") == 4U);
    BOOST_TEST(text.find("/slow|") < text.find("/now1|"));
    BOOST_TEST(text.find("/now1|") < text.find("/b|"));
    BOOST_TEST(text.find("/b|") < text.find("/now2|"));
}

// Guards against requests that run ahead while there is no memory for their responses, and against
// requests that are never passed on because of that.
BOOST_FIXTURE_TEST_CASE(nothing_runs_ahead_without_memory, fixture) {
    std::string bytes;
    for (int i = 1; i <= 9; ++i) {
        bytes += get("/" + std::to_string(i));
    }
    raw_socket socket = this->send(bytes, 8);
    memory_reservation others(&this->account);
    others.resize_unchecked(std::size_t{65} << 20U);
    this->handler.answer("/1");
    BOOST_TEST(count(socket.read_until("/1|"), "/1|") == 1U);
    std::this_thread::sleep_for(milliseconds(50));
    BOOST_TEST(this->handler.handled == 8);
    for (int i = 2; i <= 8; ++i) {
        this->handler.answer("/" + std::to_string(i));
    }
    BOOST_TEST(eventually([&] { return this->handler.handled == 9; }));
    this->handler.answer("/9");
    BOOST_TEST(count(socket.read_until("/9|"), "HTTP/1.1 200") == 8U);
}

// Guards against work and responses for requests that their caller sends again.
BOOST_FIXTURE_TEST_CASE(requests_behind_a_closing_response_are_dropped, fixture) {
    raw_socket socket = this->send(get("/slow") + get("/ahead") + get("/once"), 2);
    this->handler.answer("/slow", true);
    std::string text = socket.read_all();
    BOOST_TEST(count(text, "HTTP/1.1") == 1U);
    BOOST_TEST(count(text, "Connection: close") == 1U);
    BOOST_TEST(eventually([&] { return this->handler.gone == 1; }));
    BOOST_TEST(this->handler.handled == 2);
}

// Guards against an unreadable request that is answered out of turn, or behind which requests are
// passed on.
BOOST_FIXTURE_TEST_CASE(unreadable_request_is_refused_in_its_turn, fixture) {
    raw_socket socket =
        this->send(get("/slow") + get("/ahead") + "GET\r\n\r\n" + get("/behind"), 2);
    BOOST_TEST(socket.read_until("|", 50).empty());
    this->handler.answer("/ahead");
    this->handler.answer("/slow");
    std::string text = socket.read_all();
    BOOST_TEST(count(text, "HTTP/1.1 200") == 2U);
    BOOST_TEST(text.find("/ahead|") < text.find("HTTP/1.1 400"));
    BOOST_TEST(count(text, "HTTP/1.1") == 3U);
    BOOST_TEST(this->handler.handled == 2);
}

// Guards against an interim response amid the response to an earlier request.
BOOST_FIXTURE_TEST_CASE(interim_response_is_sent_in_the_turn_of_its_request, fixture) {
    raw_socket socket = this->send(get("/slow") +
                                       "POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                                       "Expect: 100-continue\r\n\r\n",
                                   1);
    BOOST_TEST(socket.read_until("|", 50).empty());
    this->handler.answer("/slow");
    std::string text = socket.read_until("100 Continue\r\n\r\n");
    BOOST_TEST(text.find("/slow|") < text.find("HTTP/1.1 100"));
    socket.write("x");
    BOOST_TEST(socket.read_until("/now|").find("HTTP/1.1 200") == 0U);
}

// Guards against work for a caller that left in the middle of its line.
BOOST_FIXTURE_TEST_CASE(disconnect_cancels_all_requests_in_the_line, fixture) {
    raw_socket socket = this->send(get("/slow") + get("/a") + get("/b") + get("/once"), 3);
    BOOST_TEST(this->server->pending_requests() == 4U);
    socket.close();
    BOOST_TEST(eventually([&] { return this->handler.gone == 3; }));
    BOOST_TEST(eventually([&] { return this->server->open_connections() == 0; }));
    BOOST_TEST(this->handler.handled == 3);
}

// Guards against a planned stop that breaks off requests which run, or passes on further ones.
BOOST_FIXTURE_TEST_CASE(planned_stop_answers_the_requests_that_run, fixture) {
    raw_socket socket = this->send(get("/slow") + get("/ahead"), 2);
    this->server->disable_keep_alive();
    this->server->stop_accepting();
    socket.write(get("/late") + get("/once"));
    std::this_thread::sleep_for(milliseconds(50));
    this->handler.answer("/ahead");
    this->handler.answer("/slow");
    std::string text = socket.read_all();
    BOOST_TEST(count(text, "HTTP/1.1 200") == 2U);
    BOOST_TEST(text.find("/slow|") < text.find("Connection: close"));
    BOOST_TEST(text.find("Connection: close") < text.find("/ahead|"));
    BOOST_TEST(this->handler.handled == 2);
    BOOST_TEST(this->handler.gone == 0);
    socket.close();
    BOOST_TEST(eventually([&] { return this->server->open_connections() == 0; }));
}

// Guards against a stop that closes the connection after the first of several running requests, or
// drops a response that has waited for its turn.
BOOST_FIXTURE_TEST_CASE(stop_refuses_the_requests_that_still_run, fixture) {
    raw_socket socket = this->send(get("/slow") + get("/now") + get("/b") + get("/once"), 3);
    this->server->stop();
    std::string text = socket.read_all();
    BOOST_TEST(count(text, "HTTP/1.1 503") == 2U);
    BOOST_TEST(count(text, "/now|") == 1U);
    BOOST_TEST(count(text, "HTTP/1.1") == 3U);
    BOOST_TEST(count(text, "Connection: close") == 1U);
}

}  // namespace trefoil::edge
