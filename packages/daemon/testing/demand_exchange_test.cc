// Tests of the lenders of a failure domain: twelve listed daemons, of which the two with the
// highest rendezvous scores run and are connected over loopback.

#define BOOST_TEST_MODULE daemon_demand_exchange
#include "daemon/demand_exchange.h"

#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "base/hash.h"

namespace trefoil::daemon {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int listed_count = 12;

bool eventually(const std::function<bool()>& condition, milliseconds limit = milliseconds(5000)) {
    auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

// A daemon whose demand exchange uses the simulated time `now`.
class node final : public peer_event_handler {
public:
    node(const std::string& instance, int number)
        : port(static_cast<std::uint16_t>(31'000 + (getpid() * 4 + number) % 1'500)),
          connections({.endpoint = {.self = {.fleet_protocol = "trefoil/1",
                                             .instance = instance,
                                             .incarnation = 1,
                                             .address = this->address()},
                                    .fleet_secret = "a-shared-fleet-secret",
                                    .loop = &this->loop}},
                      *this, this->clock),
          exchange({.instance = instance,
                    .failure_domain = "d1",
                    .limiter = {.tolerance = {.overage = 0.25, .slack = 20}}}) {
        this->exchange.set_connections(this->connections);
        this->loop.start();
        BOOST_REQUIRE(succeeded(this->connections.start("127.0.0.1", this->port)));
    }
    ~node() override {
        this->loop.stop();
        this->connections.stop();
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    // Delivers empty reports of all other daemons, in case this one is the collector, lets it send
    // its report, and delivers totals of the whole fleet without other demand.
    void exchange_reports(const membership::view& view) {
        for (const membership::member& each : view.listed()) {
            if (each.record->address != this->address()) {
                this->exchange.on_report(each.record->id, {}, this->now);
            }
        }
        this->exchange.tick(view, this->now);
        this->exchange.on_totals("collector",
                                 {.round = ++this->round,
                                  .heard = listed_count,
                                  .demands = {{.workspace = "north", .rate = 0.2}}},
                                 this->now);
    }

    bool admits(const std::string& workspace) {
        auto admitted = std::make_shared<std::atomic<int>>(-1);
        this->exchange.admit(
            workspace, this->now, [admitted](const admission::demand_decision& decision) {
                *admitted = std::holds_alternative<admission::request_admitted>(decision) ? 1 : 0;
            });
        BOOST_TEST(eventually([&] { return *admitted != -1; }));
        return *admitted == 1;
    }

    void on_connection_open(const messages::hello&, bool) override {}
    void on_connection_silent(transport::connection_id, const messages::hello&, bool) override {}
    void on_connection_closed(transport::connection_id, const messages::hello&,
                              connection_end) override {}
    void on_dial_failed(const std::string&) override {}
    void on_call(const message_origin&, messages::call, mono_time) override {}
    void on_message(const message_origin& origin, messages::peer_message message) override {
        if (const auto* request = std::get_if<messages::token_request>(&message)) {
            this->exchange.on_token_request(origin.peer->instance, *request, this->now);
        } else if (const auto* grant = std::get_if<messages::token_grant>(&message)) {
            this->exchange.on_token_grant(*grant, this->now);
        }
    }

    const std::uint16_t port;
    machine_time_source clock;
    io::event_loop loop;
    peer_connections connections;
    demand_exchange exchange;
    std::atomic<mono_time> now{mono_time(seconds(1000))};
    std::uint64_t round = 0;
};

std::vector<std::string> names() {
    std::vector<std::string> list;
    list.reserve(listed_count);
    for (int i = 0; i < listed_count; ++i) {
        list.push_back("station-" + std::to_string(i));
    }
    return list;
}

std::string lender_without(const std::string& left_out) {
    std::vector<std::string> list = names();
    std::erase(list, left_out);
    return rendezvous_highest("lend/north", list).value_or("");
}

struct exchange_fixture {
    const std::string first_name = lender_without("");
    const std::string second_name = lender_without(this->first_name);
    node first{this->first_name, 0};
    node second{this->second_name, 1};

    exchange_fixture() {
        for (node* each : {&this->first, &this->second}) {
            each->exchange.set_fleet(this->view(false));
            each->exchange.set_limits({{.workspace = "north", .rate = 4, .burst = 4}}, each->now);
        }
        this->second.connections.dial(this->first.address());
        BOOST_REQUIRE(eventually([&] {
            return this->first.connections.is_open(this->second_name) &&
                   this->second.connections.is_open(this->first_name);
        }));
    }

    membership::view view(bool first_leaves) const {
        std::vector<membership::instance_record> records;
        for (const std::string& each : names()) {
            std::string address = each == this->first_name    ? this->first.address()
                                  : each == this->second_name ? this->second.address()
                                                              : "127.0.0.1:9";
            records.push_back({.id = each, .address = address, .failure_domain = "d1"});
        }
        auto list = std::make_shared<const membership::instance_list>(1, records);
        std::vector<membership::member> members;
        for (const membership::instance_record& each : list->records()) {
            bool leaves = first_leaves && each.id == this->first_name;
            members.push_back({.record = std::make_shared<const membership::instance_record>(each),
                               .state = leaves ? membership::instance_state::leaving
                                               : membership::instance_state::live,
                               .listed = true});
        }
        return {list, std::move(members), {}};
    }

    void advance(const membership::view& view, milliseconds time) {
        for (milliseconds elapsed{0}; elapsed < time; elapsed += milliseconds(250)) {
            for (node* each : {&this->first, &this->second}) {
                each->now = each->now.load() + milliseconds(250);
                each->exchange_reports(view);
            }
        }
    }
};

}  // namespace

// Guards against a lender whose bucket fills only from its first request on, so that the first
// requests after an idle period are refused.
BOOST_FIXTURE_TEST_CASE(a_lender_has_tokens_for_its_first_request, exchange_fixture) {
    this->advance(this->view(false), seconds(3));
    BOOST_TEST(this->first.admits("north"));
}

// Guards against a new lender that refuses its first requests although the previous one has tokens.
BOOST_FIXTURE_TEST_CASE(a_new_lender_obtains_tokens_of_the_previous_one, exchange_fixture) {
    this->advance(this->view(false), seconds(8));
    double before = this->first.exchange.inspect("north", this->first.now)->tokens;
    BOOST_TEST(before >= 4);
    this->advance(this->view(true), milliseconds(250));
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(this->second.admits("north"));
    }
    // The tokens are no longer at the previous lender.
    BOOST_TEST(this->first.exchange.inspect("north", this->first.now)->tokens <= before - 3);
}

}  // namespace trefoil::daemon
