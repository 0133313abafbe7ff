// Tests of the floor that a less urgent kind of requests keeps.

#define BOOST_TEST_MODULE gate_kind_floor
#include "gate/kind_floor.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "gate/testing/shared_upstream.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};

struct competing_kinds {
    call_kind urgent{.route = "lookup",
                     .priority = 1002,
                     .per_second = 90,
                     .service_time = milliseconds(270),
                     .objective = milliseconds(800),
                     .time_limit = milliseconds(2000),
                     .has_workspace = false};
    call_kind patient{.route = "filing",
                      .priority = 1003,
                      .per_second = 15,
                      .service_time = milliseconds(350),
                      .objective = milliseconds(1200),
                      .time_limit = milliseconds(3000),
                      .has_workspace = false};

    double all_share() const {
        return static_cast<double>(this->urgent.served + this->patient.served) /
               (this->urgent.offered + this->patient.offered);
    }
};

competing_kinds play(bool floor, double load, std::uint64_t seed) {
    competing_kinds kinds;
    for (call_kind* each : {&kinds.urgent, &kinds.patient}) {
        each->keeps_floor = floor;
        each->per_second *= load;
    }
    shared_upstream upstream(seed, 18);
    upstream.run({&kinds.urgent, &kinds.patient}, seconds(40));
    BOOST_TEST_MESSAGE((floor ? "floor" : "no floor")
                       << ", load " << load << ", seed " << seed << ": served urgent "
                       << kinds.urgent.served_share() << ", patient "
                       << kinds.patient.served_share() << "; in time "
                       << kinds.urgent.in_time_share() << ", " << kinds.patient.in_time_share());
    return kinds;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_kind_below_the_floor_is_promoted_until_it_is_served) {
    kind_floor floor;
    auto offer = [&](const std::string& kind, int count) {
        int promoted = 0;
        for (int i = 0; i < count; ++i) {
            promoted += floor.offer(kind, start) ? 1 : 0;
        }
        return promoted;
    };
    BOOST_TEST(offer("lookup", 100) == 0);
    for (int i = 0; i < 100; ++i) {
        floor.on_started("lookup");
    }
    BOOST_TEST(offer("filing", 8) == 0);  // Too few to tell.
    BOOST_TEST(offer("filing", 2) == 2);
    for (int i = 0; i < 5; ++i) {
        floor.on_started("filing");
    }
    BOOST_TEST(offer("filing", 1) == 0);
    // Old calls are forgotten.
    BOOST_TEST(!floor.offer("filing", start + seconds(100)));
    BOOST_TEST(floor.promoted() == 2U);
}

// Load pattern: urgent requests alone exceed the capacity of a service by a third, and by more, for
// as long as the day lasts, while less urgent ones go to the same service.
BOOST_AUTO_TEST_CASE(urgent_requests_do_not_starve_others) {
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        for (double load : {1.0, 1.5}) {
            competing_kinds before = play(false, load, seed);
            competing_kinds after = play(true, load, seed);
            BOOST_TEST(before.patient.served_share() < before.all_share() / 4);
            BOOST_TEST(after.patient.served_share() > after.all_share() / 4);
            // No kind is served less than a less urgent one, and few starts move.
            BOOST_TEST(after.urgent.served_share() > after.patient.served_share());
            BOOST_TEST(after.urgent.in_time_share() > before.urgent.in_time_share() - 0.1);
        }
        // With enough room for the urgent requests the floor changes nothing.
        BOOST_TEST(play(true, 0.5, seed).patient.served == play(false, 0.5, seed).patient.served);
    }
}

BOOST_AUTO_TEST_CASE(a_decision_takes_microseconds_at_most) {
    for (int routes : {5, 100, 1000}) {
        kind_floor floor;
        constexpr int calls = 500'000;
        auto began = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            std::string route = "route" + std::to_string(i % routes);
            floor.offer(route, start + std::chrono::microseconds(100) * i);
            floor.on_started(route);
        }
        std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
        BOOST_TEST_MESSAGE(routes << " routes: " << took.count() / calls << " ns a call");
        BOOST_TEST(took.count() / calls < 50'000);
    }
}

}  // namespace trefoil::gate
