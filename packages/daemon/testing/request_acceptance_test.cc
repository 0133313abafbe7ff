// Tests of the acceptance of requests that wait on their connection for earlier responses.

#define BOOST_TEST_MODULE daemon_request_acceptance
#include "daemon/request_acceptance.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <variant>

#include "config/build_snapshot.h"
#include "config/document.h"

namespace trefoil::daemon {

namespace {

using std::chrono::milliseconds;

constexpr mono_time now{std::chrono::hours(1)};
constexpr const char* base = R"(
fleet: {max_instances: 4}
services: {station: {slots: 1, timeout_ms: 1000}}
routes:
  read: {path_prefix: /read/, service: station, open: true, idempotent: true}
  order: {path_prefix: /order/, service: station, open: true, idempotent: false}
  plain: {path_prefix: /plain/, service: station, open: true}
)";

struct fixture {
    fixture() {
        auto built = config::build_snapshot(config::make_document("base", 7, base),
                                            config::empty_overlay("north"));
        BOOST_REQUIRE(std::holds_alternative<config::snapshot>(built));
        this->shared.snapshot.publish(
            std::make_shared<const config::snapshot>(std::move(std::get<config::snapshot>(built))));
        this->publish_control(now);
    }

    void publish_control(mono_time confirmed_at) {
        this->shared.control.publish(std::make_shared<const control_state>(
            control_state{.ready = true, .confirmed_at = confirmed_at}));
    }

    bool runs_ahead(const std::string& method, const std::string& path,
                    const std::string& marker = "") const {
        edge::http_request request{.method = method, .path = path};
        if (!marker.empty()) {
            request.headers.push_back({.name = "Trefoil-Idempotent", .value = marker});
        }
        return this->acceptance.may_run_ahead(request);
    }

    shared_state shared;
    admission::context_table contexts;
    routing::traffic_split splits{1};
    request_acceptance acceptance{{}, this->shared, this->contexts, this->splits};
};

}  // namespace

// Guards against a request that gets its whole time limit although it has waited for earlier
// responses of its connection, or passes a check of a time that is over.
BOOST_FIXTURE_TEST_CASE(time_on_the_connection_counts_toward_the_deadline, fixture) {
    edge::http_request request{.method = "GET", .path = "/read/x", .waited = milliseconds(300)};
    accepted_request accepted;
    BOOST_TEST(!this->acceptance.accept(request, now, accepted).has_value());
    BOOST_TEST((accepted.history.deadline == now + milliseconds(700)));
    this->publish_control(now - confirmation_limit - milliseconds(100));
    accepted_request late;
    auto refusal = this->acceptance.accept(request, now, late);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->reason == reasons::unconfirmed);
}

// Guards against a request that must run once, or that changes something, and runs while an earlier
// response may still make its caller send it again.
BOOST_FIXTURE_TEST_CASE(only_requests_of_idempotent_routes_run_ahead, fixture) {
    BOOST_TEST(this->runs_ahead("POST", "/read/x"));
    BOOST_TEST(!this->runs_ahead("GET", "/read/x", "false"));
    BOOST_TEST(!this->runs_ahead("GET", "/order/x"));
    BOOST_TEST(!this->runs_ahead("GET", "/order/x", "true"));
    BOOST_TEST(this->runs_ahead("GET", "/plain/x"));
    BOOST_TEST(!this->runs_ahead("POST", "/plain/x"));
    BOOST_TEST(!this->runs_ahead("POST", "/plain/x", "true"));
    BOOST_TEST(!this->runs_ahead("GET", "/nowhere/x"));
}

}  // namespace trefoil::daemon
