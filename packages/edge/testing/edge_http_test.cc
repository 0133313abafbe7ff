// Tests of http_server and upstream_client against each other over loopback.

#define BOOST_TEST_MODULE edge_http
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "edge/http_server.h"
#include "edge/upstream_client.h"

namespace trefoil::edge {

namespace {

// Responds from another thread with the request's parts, so that responses are asynchronous.
class echo_handler final : public request_handler {
public:
    void handle(http_request request, std::shared_ptr<responder> target) override {
        ++this->handled;
        if (request.path == "/never") {
            absl::MutexLock lock(&this->mutex);
            this->held.push_back(std::move(target));
            return;
        }
        std::thread([request, target] {
            std::string text = request.method + " " + request.path + "?" + request.query + " ";
            target->respond({.status = 200,
                             .headers = {{.name = "Seen", .value = "yes"}},
                             .body = text + request.body});
        }).detach();
    }
    http_response refuse(unsigned status) override { return {.status = status}; }

    std::atomic<int> handled{0};
    absl::Mutex mutex;
    std::vector<std::shared_ptr<responder>> held;
};

// A server on a free port below the system's range of ephemeral ports, and a client of it.
struct fixture {
    fixture() {
        constexpr int attempts = 50;
        for (int i = 0; i < attempts && this->server == nullptr; ++i) {
            this->port = static_cast<std::uint16_t>(10000 + (getpid() * 50 + i * 7) % 20000);
            auto candidate = std::make_unique<http_server>(
                http_server_options{.ip = "127.0.0.1", .port = this->port}, this->handler);
            if (succeeded(candidate->start())) {
                this->server = std::move(candidate);
            }
        }
        BOOST_REQUIRE(this->server != nullptr);
        this->client = std::make_unique<upstream_client>(
            upstream_client_options{.address = "127.0.0.1:" + std::to_string(this->port)},
            this->clock);
    }

    upstream_result run(upstream_request request) {
        std::promise<upstream_result> promise;
        this->client->start(std::move(request),
                            [&promise](upstream_result r) { promise.set_value(std::move(r)); });
        return promise.get_future().get();
    }

    mono_time soon(int ms) const { return this->clock.now() + std::chrono::milliseconds(ms); }

    std::uint16_t port = 0;
    machine_time_source clock;
    echo_handler handler;
    std::unique_ptr<http_server> server;
    std::unique_ptr<upstream_client> client;
};

}  // namespace

// Guards against a body, query or header that is lost on the way.
BOOST_FIXTURE_TEST_CASE(request_and_response_arrive_complete, fixture) {
    auto result = this->run({.method = "POST",
                             .target = "/a/b?x=1%202",
                             .body = make_shared_body(std::string(100000, 'z'), nullptr),
                             .deadline = this->soon(5000)});
    auto& response = std::get<http_response>(result);
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "POST /a/b?x=1%202 " + std::string(100000, 'z'));
    BOOST_TEST(find_header(response.headers, "seen").value() == "yes");
}

// Guards against unbounded memory for a request body.
BOOST_FIXTURE_TEST_CASE(body_above_the_limit_is_refused, fixture) {
    auto result =
        this->run({.method = "POST",
                   .target = "/",
                   .body = make_shared_body(std::string(max_body_bytes + 1, 'z'), nullptr),
                   .deadline = this->soon(5000)});
    BOOST_TEST(std::get<http_response>(result).status == 413U);
    BOOST_TEST(this->handler.handled == 0);
}

// Guards against a request that outlives its deadline, and a server stop that leaves it unanswered.
BOOST_FIXTURE_TEST_CASE(deadline_interrupts_the_request, fixture) {
    auto result = this->run({.method = "GET", .target = "/never", .deadline = this->soon(100)});
    BOOST_TEST(std::holds_alternative<interrupted>(result));
}

// Guards against a request that is sent after its deadline when the process resumes from a pause.
BOOST_FIXTURE_TEST_CASE(request_past_its_deadline_is_not_started, fixture) {
    auto result = this->run({.method = "GET", .target = "/", .deadline = this->soon(-1)});
    BOOST_TEST(std::holds_alternative<not_started>(result));
    BOOST_TEST(this->handler.handled == 0);
}

// Guards against "may have run" for a request that was never sent.
BOOST_FIXTURE_TEST_CASE(refused_connection_is_reported_as_connection_refused, fixture) {
    upstream_client other({.address = "127.0.0.1:1"}, this->clock);
    std::promise<upstream_result> promise;
    other.start({.method = "GET", .target = "/", .deadline = this->soon(1000)},
                [&promise](upstream_result r) { promise.set_value(std::move(r)); });
    BOOST_TEST(std::holds_alternative<connection_refused>(promise.get_future().get()));
}

// Guards against a key or an internal header that is forwarded to an upstream.
BOOST_AUTO_TEST_CASE(mesh_and_hop_headers_are_not_forwarded) {
    auto kept = forwardable_headers({{.name = "AUTHORIZATION", .value = "Bearer k"},
                                     {.name = "trefoil-context", .value = "1"},
                                     {.name = "Connection", .value = "close"},
                                     {.name = "Accept", .value = "a"}});
    BOOST_REQUIRE(kept.size() == 1U);
    BOOST_TEST(kept[0].name == "Accept");
    BOOST_TEST(query_parameter("a=1&b=x%20y", "b").value() == "x y");
}

}  // namespace trefoil::edge
