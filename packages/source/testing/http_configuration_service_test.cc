// Tests of the HTTP configuration service against a small HTTP server on the loopback address.

#define BOOST_TEST_MODULE source_http_configuration_service
#include "source/http_configuration_service.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <thread>

namespace trefoil::source {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Returns the configured response for each path, and 404 for other paths or without the query
// parameters.
class test_server {
public:
    struct answer {
        unsigned status = 200;
        std::string revision;
        std::string body;
    };

    test_server() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr,
                                        &test_server::respond, this, MHD_OPTION_SOCK_ADDR, &address,
                                        MHD_OPTION_END);
    }
    ~test_server() { MHD_stop_daemon(this->daemon); }
    test_server(const test_server&) = delete;
    test_server& operator=(const test_server&) = delete;

    std::string url() const {
        auto port = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
        return "http://127.0.0.1:" + std::to_string(port);
    }

    std::map<std::string, answer> answers;  // Filled before the first request.

private:
    static MHD_Result respond(void* self, MHD_Connection* connection, const char* path,
                              const char* /*method*/, const char* /*version*/,
                              const char* /*upload*/, std::size_t* /*upload_size*/,
                              void** /*state*/) {
        auto& server = *static_cast<test_server*>(self);
        const char* after = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "after");
        const char* wait =
            MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "wait_ms");
        answer chosen{.status = 404, .revision = "", .body = ""};
        auto found = server.answers.find(path);
        if (found != server.answers.end() && after != nullptr && wait != nullptr) {
            chosen = found->second;
        }
        MHD_Response* response = MHD_create_response_from_buffer(
            chosen.body.size(), chosen.body.data(), MHD_RESPMEM_MUST_COPY);
        if (!chosen.revision.empty()) {
            MHD_add_response_header(response, "Revision", chosen.revision.c_str());
        }
        MHD_Result queued = MHD_queue_response(connection, chosen.status, response);
        MHD_destroy_response(response);
        return queued;
    }

    MHD_Daemon* daemon = nullptr;
};

// A server that accepts connections and never responds.
class silent_server {
public:
    silent_server() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(
            bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        listen(this->listener, 8);
    }
    ~silent_server() { close(this->listener); }
    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;

    std::string url() const {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        return "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

private:
    int listener;
};

}  // namespace

// Guards against a status or header that is mapped to the wrong result.
BOOST_AUTO_TEST_CASE(each_response_maps_to_its_result) {
    test_server server;
    server.answers["/documents/base"] = {200, "8", "routes: {}"};
    server.answers["/documents/site/north"] = {304, "7", ""};
    server.answers["/documents/busy"] = {503, "", ""};
    server.answers["/documents/plain"] = {200, "", "x"};
    server.answers["/documents/old"] = {200, "6", "x"};
    server.answers["/documents/damaged"] = {200, "9x", "x"};
    http_configuration_service service({.url = server.url()});
    auto ask = [&](const char* name) { return service.read({.name = name, .after = 7}); };

    BOOST_TEST((ask("base") == read_result(document{8, "routes: {}"})));
    BOOST_TEST((ask("site/north") == read_result(unchanged{7})));
    BOOST_TEST((ask("missing") == read_result(absent{})));
    BOOST_TEST(std::holds_alternative<unavailable>(ask("busy")));
    BOOST_TEST(std::holds_alternative<unavailable>(ask("plain")));
    BOOST_TEST(std::holds_alternative<unavailable>(ask("old")));
    BOOST_TEST(std::holds_alternative<unavailable>(ask("damaged")));
    BOOST_TEST(service.calls().started == 7U);
    BOOST_TEST(service.calls().failed == 4U);
}

// Guards against a platform that fills the memory with an oversized body.
BOOST_AUTO_TEST_CASE(body_above_the_limit_is_rejected) {
    test_server server;
    server.answers["/documents/base"] = {200, "8", std::string(101, 'x')};
    http_configuration_service service({.url = server.url(), .max_body_bytes = 100});
    BOOST_TEST(std::holds_alternative<unavailable>(service.read({.name = "base"})));
}

// Guards against a thread that hangs because the server does not respond, or because its port is
// closed.
BOOST_AUTO_TEST_CASE(unresponsive_platform_is_unavailable_within_the_timeouts) {
    silent_server server;
    http_configuration_service service({.url = server.url(),
                                        .connect_timeout = milliseconds(100),
                                        .response_timeout = milliseconds(200)});
    auto start = steady_clock::now();
    auto answer = service.read({.name = "base", .wait = milliseconds(100)});
    BOOST_TEST(std::holds_alternative<unavailable>(answer));
    BOOST_TEST((steady_clock::now() - start < milliseconds(2000)));

    http_configuration_service closed({.url = "http://127.0.0.1:1"});
    BOOST_TEST(std::holds_alternative<unavailable>(closed.read({.name = "base"})));
}

// Guards against a shutdown that waits for a long poll.
BOOST_AUTO_TEST_CASE(stop_ends_an_outstanding_call) {
    silent_server server;
    http_configuration_service service({.url = server.url()});
    auto start = steady_clock::now();
    std::thread waiting([&] { service.read({.name = "base", .wait = milliseconds(20000)}); });
    std::this_thread::sleep_for(milliseconds(100));
    service.stop();
    waiting.join();
    BOOST_TEST((steady_clock::now() - start < milliseconds(5000)));
}

// Guards against concurrent calls that share a libcurl handle.
BOOST_AUTO_TEST_CASE(threads_read_concurrently) {
    test_server server;
    server.answers["/documents/base"] = {200, "8", "body"};
    http_configuration_service service({.url = server.url()});
    std::atomic<int> good{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int call = 0; call < 50; ++call) {
                good += service.read({.name = "base"}) == read_result(document{8, "body"}) ? 1 : 0;
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    BOOST_TEST(good.load() == 200);
}

}  // namespace trefoil::source
