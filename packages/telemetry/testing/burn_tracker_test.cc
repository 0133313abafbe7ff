// Tests of the burn rates of error budgets.

#define BOOST_TEST_MODULE burn_tracker
#include "telemetry/burn_tracker.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::telemetry {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr mono_time start = mono_time(std::chrono::hours(5));

burn_tracker::objective_map objectives() {
    return {{"station", {.availability = 0.99, .latency = milliseconds(250)}}};
}

}  // namespace

// Guards against late or failed calls that count as good, and against a wrong burn rate.
BOOST_AUTO_TEST_CASE(late_and_failed_calls_spend_the_error_budget) {
    burn_tracker burn;
    burn.set_objectives(objectives());
    for (int i = 0; i < 98; ++i) {
        burn.record("station", "north", {.latency = milliseconds(250)}, start);
    }
    burn.record("station", "north", {.latency = milliseconds(251)}, start);
    burn.record("station", "north", {.latency = milliseconds(1), .error = true}, start);
    burn.record("unknown", "north", {}, start);
    std::vector<burn_row> rows = burn.rows(start);
    BOOST_TEST_REQUIRE(rows.size() == 2U);
    for (const burn_row& row : rows) {
        BOOST_TEST(row.good == 98U);
        BOOST_TEST(row.bad == 2U);
        BOOST_TEST(std::abs(row.burn_rate - 2) < 1e-9);
    }
    BOOST_TEST((rows[0].window == minutes(5) && rows[1].window == minutes(60)));
}

// Guards against calls that are counted after the end of the window or dropped before it.
BOOST_AUTO_TEST_CASE(calls_are_counted_until_the_window_ends) {
    burn_tracker burn;
    burn.set_objectives(objectives());
    burn.record("station", "north", {.error = true}, start);
    BOOST_TEST(burn.rows(start + seconds(299))[0].bad == 1U);
    BOOST_TEST(burn.rows(start + seconds(300))[0].bad == 0U);
    BOOST_TEST(burn.rows(start + seconds(3599))[1].bad == 1U);
    BOOST_TEST(burn.rows(start + seconds(3600)).empty());
    burn.record("station", "north", {}, start + seconds(3600));
    BOOST_TEST(burn.rows(start + seconds(3600))[1].bad == 0U);
    BOOST_TEST(burn.rows(start + seconds(3600))[1].good == 1U);
}

// Guards against unbounded memory with many workspaces, against calls that are not counted once a
// shard is full, and against idle pairs that are not evicted.
BOOST_AUTO_TEST_CASE(tracked_pairs_are_bounded_and_idle_ones_are_evicted) {
    burn_tracker burn;
    burn.set_objectives(objectives());
    constexpr std::uint64_t calls = 3000;
    for (std::uint64_t i = 0; i < calls; ++i) {
        burn.record("station", std::to_string(i), {}, start);
    }
    std::uint64_t counted = 0;
    std::vector<burn_row> rows = burn.rows(start);
    BOOST_TEST(rows.size() <= 2 * (16 * burn_tracker::max_pairs_per_shard + 1));
    for (const burn_row& row : rows) {
        counted += row.window == minutes(5) ? row.good : 0;
    }
    BOOST_TEST(counted == calls);
    burn.record("station", "new", {}, start + seconds(3700));
    BOOST_TEST(burn.rows(start + seconds(3700))[0].workspace == "new");
}

}  // namespace trefoil::telemetry
