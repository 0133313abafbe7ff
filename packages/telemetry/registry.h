// All counters, gauges and histograms of a process, by name and labels.
//
// Example:
//
//     telemetry::registry registry;
//     registry.describe("trefoil_calls_total", "Calls by outcome.");
//     telemetry::counter& ok = registry.get_or_create_counter("trefoil_calls_total", {{"outcome",
//     "ok"}}); ok.add();  // Keep the reference; finding takes a lock and a look-up. std::string
//     text = telemetry::prometheus_text(registry.read());

#ifndef TREFOIL_TELEMETRY_REGISTRY_H_
#define TREFOIL_TELEMETRY_REGISTRY_H_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/histogram.h"

namespace trefoil::telemetry {

// Names and values, in the order in which they are printed.
using label_list = std::vector<std::pair<std::string, std::string>>;

// A reading of one metric: a counter, a gauge or a histogram.
struct series {
    std::string name;
    label_list labels;
    std::string help;  // Empty when the name was not described.
    std::variant<std::uint64_t, std::int64_t, histogram_values> value;

    friend bool operator==(const series&, const series&) = default;
};

// Safe for concurrent use. References stay valid for the registry's life. At most
// `max_series_per_shard` metrics exist per shard; further ones, and names that are in use for
// another kind of metric, share one metric per kind that is not printed, and are counted in
// `trefoil_telemetry_dropped_total`.
class registry {
public:
    counter& get_or_create_counter(std::string_view name, const label_list& labels);
    gauge& get_or_create_gauge(std::string_view name, const label_list& labels);
    histogram& get_or_create_histogram(std::string_view name, const label_list& labels);

    // Sets the help text of a name.
    void describe(std::string_view name, std::string_view help);

    // All metrics, sorted by name and labels. Not a consistent snapshot.
    std::vector<series> read() const;

    static constexpr std::size_t max_series_per_shard = 512;

private:
    static constexpr std::size_t shard_count = 16;

    using key = std::pair<std::string, label_list>;
    using metric =
        std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>, std::unique_ptr<histogram>>;
    struct shard {
        mutable std::mutex mutex;
        std::map<key, metric> metrics;  // Guarded by mutex.
    };

    template <class Metric>
    Metric& find(std::string_view name, const label_list& labels, Metric& spare);
    bool claim_name(std::string_view name, std::size_t kind);
    shard& shard_of(const key& wanted);

    std::array<shard, shard_count> shards;

    // Taken after a shard's mutex, never before one.
    mutable std::mutex names_mutex;
    std::map<std::string, std::size_t, std::less<>> kinds;  // Guarded by names_mutex.
    std::map<std::string, std::string, std::less<>> helps;  // Guarded by names_mutex.

    counter dropped;
    counter spare_counter;
    gauge spare_gauge;
    histogram spare_histogram;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_REGISTRY_H_
