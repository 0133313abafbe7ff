// Tests of the commands that read admin endpoints, and of the libcurl client against a listener on
// the loopback interface.

#define BOOST_TEST_MODULE ctl_fleet_commands
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

#include "base/hash.h"
#include "ctl/command_line.h"
#include "ctl/curl_admin_client.h"

namespace trefoil::ctl {

namespace {

// Returns preset outcomes and records the requested target.
class fake_client final : public admin_client {
public:
    std::vector<admin_outcome> fetch(const std::vector<std::string>& /*addresses*/,
                                     const std::string& asked) override {
        this->target = asked;
        return this->outcomes;
    }

    std::vector<admin_outcome> outcomes;
    std::string target;
};

struct fixture {
    int run(std::vector<std::string> arguments, std::vector<admin_outcome> outcomes) {
        this->client.outcomes = std::move(outcomes);
        arguments.emplace_back("--admin");
        for (std::size_t i = 0; i < this->client.outcomes.size(); ++i) {
            arguments.push_back("127.0.0.1:" + std::to_string(9001 + i));
        }
        std::ostringstream out_stream;
        std::ostringstream error_stream;
        exit_code code =
            ctl::run(make_commands(this->client), arguments, {out_stream, error_stream});
        this->out = out_stream.str();
        this->error = error_stream.str();
        return static_cast<int>(code);
    }

    fake_client client;
    std::string out;
    std::string error;
};

std::string status_body(const std::string& domain, const std::string& instance, int in_force) {
    return R"({"instance": ")" + instance + R"(", "failure_domain": ")" + domain +
           R"(", "site": "north", "service": "station", "ready": true, "confirmed": true,
             "confirmation_age_ms": 400, "documents": [{"name": "base", "newest": 8, "in_force": )" +
           std::to_string(in_force) +
           R"(}, {"name": "site/north", "newest": 5, "in_force": 5}],
             "members": [{"state": "live"}, {"state": "live"}, {"state": "gone"}]})";
}

// Accepts one connection and writes `response`. If `response` is empty, sends nothing and keeps the
// connection open until the client closes it.
class one_connection_listener {
public:
    explicit one_connection_listener(std::string response)
        : listener(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(bound);
        auto* generic = reinterpret_cast<sockaddr*>(&bound);
        BOOST_TEST_REQUIRE(bind(this->listener, generic, size) == 0);
        BOOST_TEST_REQUIRE(listen(this->listener, 1) == 0);
        BOOST_TEST_REQUIRE(getsockname(this->listener, generic, &size) == 0);
        this->address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        this->worker = std::thread([this, text = std::move(response)] { this->serve(text); });
    }
    ~one_connection_listener() {
        this->worker.join();
        close(this->listener);
    }
    one_connection_listener(const one_connection_listener&) = delete;
    one_connection_listener& operator=(const one_connection_listener&) = delete;

    std::string address;

private:
    void serve(const std::string& response) const {
        int connection = accept(this->listener, nullptr, nullptr);
        std::array<char, 4096> request{};
        ssize_t received = recv(connection, request.data(), request.size(), 0);
        if (!response.empty()) {
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        } else {
            // Returns when the client times out and closes the connection.
            received = recv(connection, request.data(), request.size(), 0);
        }
        BOOST_TEST(received >= 0);
        close(connection);
    }

    int listener;
    std::thread worker;
};

}  // namespace

// Guards against a table in the order of the arguments, and against exit code 0 although a daemon
// is unhealthy, which a script would not notice.
BOOST_FIXTURE_TEST_CASE(status_is_ordered_by_failure_domain, fixture) {
    BOOST_TEST(this->run({"status"},
                         {status_body("d2", "station-2", 8), status_body("d1", "s-1", 8)}) == 0);
    BOOST_TEST(
        this->out ==
        "FAILURE DOMAIN  INSTANCE   SITE   SERVICE  READY  CONFIRMED  BASE  OVERLAY  "
        "INSTANCES  MEMBERS\n"
        "d1              s-1        north  station  yes    0.4 s ago  8     5        -       "
        "   2 live, 1 gone\n"
        "d2              station-2  north  station  yes    0.4 s ago  8     5        -       "
        "   2 live, 1 gone\n");
    BOOST_TEST(this->run({"status"}, {status_body("d1", "s-1", 7)}) == 1);
    BOOST_TEST(this->out.find("7 (newest 8)") != std::string::npos);
    BOOST_TEST(this->run({"status"}, {"{}"}) == 1);
}

// Guards against a configuration that is not in force without a reason that operators can see.
BOOST_FIXTURE_TEST_CASE(status_tells_why_a_configuration_is_not_in_force, fixture) {
    std::string rejected = status_body("d1", "s-1", 7);
    rejected.insert(1, R"("rejected": {"base": 8, "overlay": 5, "failures": ["a", "b"]}, )");
    BOOST_TEST(this->run({"status"}, {rejected}) == 1);
    BOOST_TEST(this->out.ends_with("\ns-1: base 8 with overlay 5 is rejected: a (and 1 more)\n"));
    std::string unreadable = status_body("d1", "s-1", 8);
    unreadable.insert(
        1, R"("unreadable": {"document": "base", "revision": 9, "detail": "no routes"}, )");
    BOOST_TEST(this->run({"status"}, {unreadable}) == 1);
    BOOST_TEST(this->out.ends_with("\ns-1: base 9 cannot be read: no routes\n"));
    std::string good = status_body("d1", "s-1", 8);
    good.insert(1, R"("rejected": null, "unreadable": null, )");
    BOOST_TEST(this->run({"status"}, {good}) == 0);
}

// Guards against a crash on responses with unexpected JSON types, and against an endpoint that
// failed but is not reported.
BOOST_FIXTURE_TEST_CASE(unusable_responses_are_reported, fixture) {
    BOOST_TEST(this->run({"burn"}, {unreachable_endpoint{"Connection refused"},
                                    unexpected_status{404}, "[]", "{", "{}"}) == 1);
    BOOST_TEST(this->error ==
               "trefoilctl: 127.0.0.1:9001: Connection refused\n"
               "trefoilctl: 127.0.0.1:9002: status 404\n"
               "trefoilctl: 127.0.0.1:9003: no JSON object\n"
               "trefoilctl: 127.0.0.1:9004: no JSON object\n");
    for (const char* command : {"status", "burn", "explain"}) {
        std::vector<std::string> arguments = {command};
        if (arguments[0] == "explain") {
            arguments.insert(arguments.end(), {"--path", "/"});
        }
        this->run(arguments,
                  {R"({"instance": [1], "documents": {"a": 1}, "members": [3, {"state": {}}],
                       "services": [{"windows": 3, "availability": "x"}], "candidates": "x"})"});
        BOOST_TEST(this->error.empty());
    }
}

// Guards against printing key digests or terminal control sequences from a response.
BOOST_FIXTURE_TEST_CASE(digests_and_control_characters_are_not_printed, fixture) {
    std::string digest = sha256_hex("abc");
    std::string response = R"({"instance": "x-)" + digest + R"(", ")" + digest + R"(": [{"a": ")" +
                           digest + R"( y"}], "site": "\u001b[2J"})";
    this->run({"status", "--json"}, {response});
    BOOST_TEST(this->out.find(digest) == std::string::npos);
    BOOST_TEST(this->out.find("<hidden> y") != std::string::npos);
    this->run({"status"}, {response});
    BOOST_TEST(this->out.find(digest) == std::string::npos);
    BOOST_TEST(this->out.find('\x1b') == std::string::npos);
}

// Guards against unencoded characters of the path that add parameters to the query.
BOOST_FIXTURE_TEST_CASE(explain_encodes_the_request, fixture) {
    std::string response = R"({"instance": "s-1", "failure_domain": "d1", "decision": "refuse",
        "reason": "no_upstream", "route": "readings", "services": [{"service": "station",
        "share": 1}], "candidates": [{"instance": "s-2", "service": "station",
        "failure_domain": "d2", "usable": false, "reason": "taken_out"}]})";
    BOOST_TEST(this->run({"explain", "--method", "PUT", "--path", "/a&workspace=b c", "--workspace",
                          "north", "--host", "a&b.example"},
                         {response}) == 0);
    BOOST_TEST(this->client.target ==
               "/explain?host=a%26b.example&method=PUT&path=%2Fa%26workspace%3Db%20c"
               "&workspace=north");
    BOOST_TEST(this->out ==
               "FAILURE DOMAIN  INSTANCE  DECISION  REASON       ROUTE     SERVICE\n"
               "d1              s-1       refuse    no_upstream  readings  station\n"
               "\n"
               "FAILURE DOMAIN  SERVICE  UPSTREAM  USABLE  REASON     SCORE  SEEN BY\n"
               "d2              station  s-2       no      taken_out  -      s-1\n");
}

// Guards against a split route that is shown without its services.
BOOST_FIXTURE_TEST_CASE(explain_shows_the_shares_of_a_split_route, fixture) {
    std::string response = R"({"instance": "s-1", "failure_domain": "d1", "decision": "routed",
        "reason": "", "route": "readings", "services": [{"service": "station", "share": 0.9},
        {"service": "station-next", "share": 0.1}]})";
    BOOST_TEST(this->run({"explain", "--path", "/"}, {response}) == 0);
    BOOST_TEST(this->out ==
               "FAILURE DOMAIN  INSTANCE  DECISION  REASON  ROUTE     SERVICE\n"
               "d1              s-1       routed            readings  station 90%, station-next "
               "10%\n");
}

// Guards against an average over instances in which few calls weigh as much as many, and against
// exit code 1 when the burn rate exceeds 1 in the short window only.
BOOST_FIXTURE_TEST_CASE(burn_sums_calls_by_failure_domain, fixture) {
    auto response = [](int long_bad) {
        return R"({"failure_domain": "d1", "services": [{"service": "station",
            "workspace": "north", "availability": 0.99, "windows": [{"seconds": 300, "calls": 100, "bad": 5},
            {"seconds": 3600, "calls": 1000, "bad": )" +
               std::to_string(long_bad) + "}]}]}";
    };
    BOOST_TEST(this->run({"burn"}, {response(5), response(7)}) == 0);
    BOOST_TEST(this->out ==
               "FAILURE DOMAIN  SERVICE  WORKSPACE  WINDOW  CALLS  BAD  BURN RATE\n"
               "d1              station  north      300 s   200    10   5.00\n"
               "d1              station  north      3600 s  2000   12   0.60\n");
    BOOST_TEST(this->run({"burn"}, {response(5), response(20)}) == 1);
}

// Guards against a client that waits for a silent endpoint beyond its timeout, assigns responses to
// the wrong addresses, or accepts an error or truncated response.
BOOST_AUTO_TEST_CASE(curl_client_keeps_order_and_times_out) {
    one_connection_listener good("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    one_connection_listener failing("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    one_connection_listener cut_short("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}");
    one_connection_listener silent("");
    curl_admin_client client({.timeout = std::chrono::milliseconds(500)});
    auto outcomes =
        client.fetch({silent.address, failing.address, good.address, cut_short.address}, "/status");
    BOOST_TEST_REQUIRE(outcomes.size() == 4U);
    BOOST_TEST(std::holds_alternative<unreachable_endpoint>(outcomes[0]));
    BOOST_TEST((outcomes[1] == admin_outcome(unexpected_status{503})));
    BOOST_TEST((outcomes[2] == admin_outcome("{}")));
    BOOST_TEST(std::holds_alternative<unreachable_endpoint>(outcomes[3]));
}

}  // namespace trefoil::ctl
