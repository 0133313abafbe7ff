// Tests of the decision at which rate calls may start at an upstream that is cold, or may be.

#define BOOST_TEST_MODULE gate_upstream_warmth
#include "gate/upstream_warmth.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::gate {

namespace {

using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};
constexpr restart_period restart{.duration = seconds(3), .rate = 11};

upstream_warmth make_unknown() {
    upstream_warmth warmth(upstream_warmth::unknown);
    warmth.set_restart_period(restart);
    return warmth;
}

bool is_limited(const upstream_warmth& warmth, mono_time now, double rate) {
    return warmth.max_start_rate(now) == rate;
}

bool is_warm(const upstream_warmth& warmth, mono_time now) {
    return !warmth.max_start_rate(now).has_value();
}

}  // namespace

// Guards against a full load at an upstream that has just joined, whose daemon takes calls before
// the platform has described the upstream.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_not_described_counts_as_cold) {
    upstream_warmth warmth = make_unknown();
    BOOST_TEST(!warmth.known());
    BOOST_TEST(is_limited(warmth, start, restart.rate));
    BOOST_TEST(is_limited(warmth, start + std::chrono::hours(1), restart.rate));
    BOOST_TEST((warmth.warm_at() == mono_time::max()));
}

// Guards against a restarted daemon that goes on limiting the calls at a warm upstream.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_described_as_warm_is_not_limited) {
    upstream_warmth warmth = make_unknown();
    warmth.on_report({.until = start, .rate = restart.rate});
    BOOST_TEST(warmth.known());
    BOOST_TEST(is_warm(warmth, start));
}

// Guards against a gap between the two reasons of a limit: unknown, then cold.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_described_as_cold_is_limited_until_the_end) {
    upstream_warmth warmth = make_unknown();
    mono_time warm = start + seconds(2);
    warmth.on_report({.until = warm, .rate = 6.2});
    BOOST_TEST(is_limited(warmth, start, 6.2));
    BOOST_TEST(is_limited(warmth, warm - mono_duration(1), 6.2));
    BOOST_TEST(is_warm(warmth, warm));
    BOOST_TEST((warmth.warm_at() == warm));
}

// Guards against a late report about the upstream's previous process that ends the limit of the
// current one.
BOOST_AUTO_TEST_CASE(a_report_does_not_shorten_the_period_after_a_refused_connection) {
    upstream_warmth warmth = make_unknown();
    warmth.on_report({.until = start, .rate = restart.rate});
    warmth.on_connection_refused(start);
    warmth.on_report({.until = start + seconds(1), .rate = 20});
    BOOST_TEST(is_limited(warmth, start, restart.rate));
    BOOST_TEST(is_limited(warmth, start + seconds(2), restart.rate));
    BOOST_TEST(is_warm(warmth, start + restart.duration));
}

// Guards against limits at services that have no cold starts.
BOOST_AUTO_TEST_CASE(without_a_restart_period_nothing_is_limited) {
    upstream_warmth warmth(upstream_warmth::unknown);
    BOOST_TEST(is_warm(warmth, start));
    warmth.on_connection_refused(start);
    BOOST_TEST(is_warm(warmth, start));
}

}  // namespace trefoil::gate
