// Tests of the origins of calls, and of what they change at an overloaded gate.

#define BOOST_TEST_MODULE routing_call_origins
#include "routing/call_origins.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "gate/testing/shared_upstream.h"

namespace trefoil::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t services = 3;
const std::vector<std::string> everywhere = {"listings", "filings", "matters"};

// Sends `calls` calls of the route, from each service in turn, and returns the last result.
call_origin send(call_origins& origins, const std::string& route,
                 const std::vector<std::string>& from, int calls, mono_time now) {
    call_origin last = call_origin::unknown;
    for (int i = 0; i < calls; ++i) {
        last = origins.record(route, from[static_cast<std::size_t>(i) % from.size()], services, now)
                   .origin;
    }
    return last;
}

// The kinds at one upstream, whose requests exceed its capacity by half.
struct competing_kinds {
    gate::call_kind urgent{.route = "filing",
                           .priority = 1002,
                           .per_second = 40,
                           .service_time = milliseconds(270),
                           .objective = milliseconds(800),
                           .time_limit = milliseconds(2000),
                           .has_workspace = false};
    gate::call_kind patient{.route = "detail",
                            .priority = 1003,
                            .per_second = 15,
                            .service_time = milliseconds(680),
                            .objective = milliseconds(4000),
                            .time_limit = milliseconds(5000),
                            .has_workspace = false};
    gate::call_kind nested{.route = "rooms",
                           .priority = 1003,
                           .per_second = 40,
                           .service_time = milliseconds(68),
                           .objective = milliseconds(250),
                           .time_limit = milliseconds(800),
                           .has_workspace = false};
};

// Plays them for 30 s. `learn`: calls precede by their origin. Otherwise every call precedes, as it
// does when each call without a workspace counts as nested.
competing_kinds play(bool learn, std::uint64_t seed) {
    competing_kinds kinds;
    call_origins origins;
    auto decide = [&](const std::string& route, const std::vector<std::string>& from) {
        return [&origins, route, from, learn](mono_time now, random_source& random) {
            const std::string& caller = from[random.below(from.size())];
            return !learn ||
                   origins.record(route, caller, services, now).origin == call_origin::upstreams;
        };
    };
    kinds.urgent.decide_precedence = decide("filing", everywhere);
    kinds.patient.decide_precedence = decide("detail", everywhere);
    kinds.nested.decide_precedence = decide("rooms", {"filings"});
    gate::shared_upstream upstream(seed, 18);
    upstream.run({&kinds.urgent, &kinds.patient, &kinds.nested}, seconds(30));
    BOOST_TEST_MESSAGE((learn ? "by origin" : "all precede")
                       << ", seed " << seed << ": in time urgent " << kinds.urgent.in_time_share()
                       << ", patient " << kinds.patient.in_time_share() << ", nested "
                       << kinds.nested.in_time_share());
    return kinds;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_route_that_a_service_never_calls_is_called_by_upstreams) {
    call_origins origins;
    mono_time now{std::chrono::hours(1)};
    BOOST_TEST((send(origins, "detail", everywhere, 90, now) == call_origin::callers));
    BOOST_TEST((send(origins, "rooms", {"filings"}, 20, now) == call_origin::unknown));
    BOOST_TEST(
        (send(origins, "rooms", {"filings", "listings"}, 60, now) == call_origin::upstreams));
    BOOST_TEST((send(origins, "detail", everywhere, 90, now) == call_origin::callers));
    // A call of an operator through another service changes nothing, many of them do.
    BOOST_TEST((send(origins, "rooms", {"matters"}, 1, now) == call_origin::upstreams));
    BOOST_TEST((send(origins, "rooms", everywhere, 300, now) == call_origin::callers));
}

// Callers that use the instances of some services only do not look like upstreams, also beside
// calls that come from the upstreams of the other service.
BOOST_AUTO_TEST_CASE(callers_of_some_services_are_in_doubt) {
    call_origins origins;
    mono_time now{std::chrono::hours(1)};
    send(origins, "rooms", {"matters"}, 200, now);
    BOOST_TEST(
        (send(origins, "detail", {"listings", "filings"}, 200, now) == call_origin::unknown));
    BOOST_TEST((send(origins, "rooms", {"matters"}, 200, now) == call_origin::unknown));
}

// What a changed configuration makes of a route is learned within a minute or two.
BOOST_AUTO_TEST_CASE(old_calls_are_forgotten) {
    call_origins origins;
    mono_time now{std::chrono::hours(1)};
    for (int second = 0; second < 150; ++second) {
        send(origins, "detail", everywhere, 30, now + seconds(second));
        bool nested = second < 30;
        send(origins, "rooms", nested ? std::vector<std::string>{"filings"} : everywhere, 9,
             now + seconds(second));
    }
    BOOST_TEST((origins.known().at("rooms") == call_origin::callers));
    send(origins, "detail", everywhere, 1, now + std::chrono::hours(1));
    BOOST_TEST(origins.known().size() <= 1U);
}

// Load pattern: a configuration without workspaces, callers of two priorities who together exceed
// the capacity of a service by half, and nested calls that share its slots.
BOOST_AUTO_TEST_CASE(urgent_requests_are_served_before_patient_ones_and_nested_calls_first) {
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        competing_kinds before = play(false, seed);
        competing_kinds after = play(true, seed);
        BOOST_TEST(after.urgent.served_share() >= after.patient.served_share());
        BOOST_TEST(after.nested.in_time_share() > 0.9);
        BOOST_TEST(after.urgent.in_time_share() > before.urgent.in_time_share() + 0.1);
    }
}

// Cost of a decision. It does not depend on the number of upstreams, but on that of the routes.
BOOST_AUTO_TEST_CASE(a_decision_takes_microseconds_at_most) {
    for (int routes : {5, 100, 1000}) {
        call_origins origins;
        mono_time now{std::chrono::hours(1)};
        constexpr int calls = 200'000;
        auto began = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            origins.record("route" + std::to_string(i % routes),
                           everywhere[static_cast<std::size_t>(i / routes) % services], services,
                           now + std::chrono::microseconds(50) * i);
        }
        std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
        BOOST_TEST_MESSAGE(routes << " routes: " << took.count() / calls << " ns a call");
        BOOST_TEST(took.count() / calls < 50'000);
    }
}

}  // namespace trefoil::routing
