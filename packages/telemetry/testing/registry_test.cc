// Tests of the metrics registry and the Prometheus text format.

#define BOOST_TEST_MODULE registry
#include "telemetry/registry.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "telemetry/prometheus_text.h"

namespace trefoil::telemetry {

// Guards against text that Prometheus cannot parse and against buckets that are not cumulative.
BOOST_AUTO_TEST_CASE(text_has_types_labels_and_cumulative_buckets) {
    registry metrics;
    metrics.describe("calls_total", "Calls.\nAll of them.");
    metrics.get_or_create_counter("calls_total", {{"route", "a\"b\\c\n"}}).add(3);
    metrics.get_or_create_gauge("running", {}).add(-2);
    metrics.get_or_create_histogram("took_microseconds", {{"r", "x"}})
        .observe(std::chrono::microseconds(50));
    metrics.get_or_create_histogram("took_microseconds", {{"r", "x"}})
        .observe(std::chrono::seconds(60));
    std::string text = prometheus_text(metrics.read());
    for (const char* line :
         {"# HELP calls_total Calls.\\nAll of them.\n# TYPE calls_total counter\n",
          "calls_total{route=\"a\\\"b\\\\c\\n\"} 3\n", "# TYPE running gauge\nrunning -2\n",
          "took_microseconds_bucket{r=\"x\",le=\"50\"} 1\n",
          "took_microseconds_bucket{r=\"x\",le=\"10000000\"} 1\n",
          "took_microseconds_bucket{r=\"x\",le=\"+Inf\"} 2\n",
          "took_microseconds_sum{r=\"x\"} 60000050\n", "took_microseconds_count{r=\"x\"} 2\n",
          "trefoil_telemetry_dropped_total 0\n"}) {
        BOOST_TEST(text.find(line) != std::string::npos, "missing: " << line);
    }
}

// Guards against lost updates when threads look up and update a metric at the same time.
BOOST_AUTO_TEST_CASE(threads_share_one_counter) {
    registry metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 10000; ++n) {
                metrics.get_or_create_counter("calls_total", {{"route", "x"}}).add();
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(metrics.get_or_create_counter("calls_total", {{"route", "x"}}).value() == 40000U);
}

// Guards against unbounded memory with label values from outside the process, and against one name
// for two types of metric.
BOOST_AUTO_TEST_CASE(series_are_bounded_and_a_name_has_one_type) {
    registry metrics;
    for (int i = 0; i < 20000; ++i) {
        metrics.get_or_create_counter("calls_total", {{"route", std::to_string(i)}}).add();
    }
    BOOST_TEST(metrics.read().size() <= 16 * registry::max_series_per_shard + 1);
    registry other;
    other.get_or_create_counter("name", {}).add();
    other.get_or_create_gauge("name", {}).set(7);
    other.get_or_create_gauge("name", {{"a", "b"}}).set(7);
    BOOST_TEST(other.read().size() == 2U);
    BOOST_TEST(std::get<std::uint64_t>(other.read().at(1).value) == 2U);
}

}  // namespace trefoil::telemetry
