// Tests the counters and histograms of requests.

#define BOOST_TEST_MODULE daemon_request_metrics
#include "daemon/request_metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "telemetry/prometheus_text.h"

namespace trefoil::daemon {

namespace {

using std::chrono::milliseconds;

struct metrics_fixture {
    manual_time_source clock;
    request_metrics metrics{clock};

    std::uint64_t counted(const std::string& name, const telemetry::label_list& labels) const {
        for (const telemetry::series& each : this->metrics.read()) {
            if (each.name != name || each.labels != labels) {
                continue;
            }
            if (const auto* count = std::get_if<std::uint64_t>(&each.value)) {
                return *count;
            }
            std::uint64_t sum = 0;
            for (std::uint64_t bucket : std::get<telemetry::histogram_values>(each.value).counts) {
                sum += bucket;
            }
            return sum;
        }
        return 0;
    }
};

}  // namespace

// Guards against a histogram that mixes the latencies of refusals with those of responses.
BOOST_FIXTURE_TEST_CASE(latency_is_recorded_by_route_and_outcome, metrics_fixture) {
    this->metrics.on_finished({.service = "station",
                               .route = "readings",
                               .workspace = "north",
                               .status = 200,
                               .admitted = true,
                               .duration = milliseconds(12)});
    for (int i = 0; i < 2; ++i) {
        this->metrics.on_finished({.service = "station",
                                   .route = "orders",
                                   .workspace = "north",
                                   .status = 503,
                                   .reason = "overloaded",
                                   .admitted = true,
                                   .duration = milliseconds(1)});
    }
    BOOST_TEST(this->counted("trefoil_request_microseconds", {{"service", "station"},
                                                              {"route", "readings"},
                                                              {"outcome", "delivered"}}) == 1U);
    BOOST_TEST(this->counted(
                   "trefoil_request_microseconds",
                   {{"service", "station"}, {"route", "orders"}, {"outcome", "overloaded"}}) == 2U);
}

// Guards against counters and histograms that do not tell refused calls from answered ones, and
// against upstream latencies of calls that were not started.
BOOST_FIXTURE_TEST_CASE(attempts_and_calls_are_counted_by_outcome_and_reason, metrics_fixture) {
    this->metrics.on_attempt_ended({.outcome = "not_run", .reason = "overloaded"});
    this->metrics.on_attempt_ended({.outcome = "answered"});
    BOOST_TEST(this->counted("trefoil_attempts_total",
                             {{"outcome", "not_run"}, {"reason", "overloaded"}}) == 1U);
    BOOST_TEST(this->counted("trefoil_attempts_total", {{"outcome", "answered"}, {"reason", ""}}) ==
               1U);
    this->metrics.on_call_ended(
        {.outcome = "not_run", .reason = "overloaded", .waited = milliseconds(40)});
    this->metrics.on_call_ended({.outcome = "answered",
                                 .started = true,
                                 .waited = milliseconds(1),
                                 .took = milliseconds(90)});
    telemetry::label_list refused = {{"outcome", "not_run"}, {"reason", "overloaded"}};
    telemetry::label_list answered = {{"outcome", "answered"}, {"reason", ""}};
    BOOST_TEST(this->counted("trefoil_gate_wait_microseconds", refused) == 1U);
    BOOST_TEST(this->counted("trefoil_upstream_microseconds", refused) == 0U);
    BOOST_TEST(this->counted("trefoil_upstream_microseconds", answered) == 1U);
}

// Guards against exposition text that a metrics collector would reject.
BOOST_FIXTURE_TEST_CASE(metrics_are_exported_as_prometheus_text, metrics_fixture) {
    this->metrics.on_call_ended({.outcome = "answered", .started = true, .took = milliseconds(5)});
    std::string text = telemetry::prometheus_text(this->metrics.read());
    BOOST_TEST(text.find("trefoil_upstream_microseconds_bucket{") != std::string::npos);
    BOOST_TEST(text.find("trefoil_calls_total{") != std::string::npos);
}

}  // namespace trefoil::daemon
