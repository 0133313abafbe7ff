// A registry of all counters, gauges and histograms of a process, by name and labels. A series is
// the metric with one name and one list of labels.
//
// Example:
//
//     telemetry::registry registry;
//     registry.describe("trefoil_calls_total", "Calls by outcome.");
//     telemetry::counter& ok =
//         registry.get_or_create_counter("trefoil_calls_total", {{"outcome", "ok"}});
//     ok.add();  // Keep the reference, because the look-up takes a lock.
//     std::string text = telemetry::prometheus_text(registry.read());

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

// Label names and values, in output order.
using label_list = std::vector<std::pair<std::string, std::string>>;

// The value of one series (a counter, a gauge or a histogram) at the time of registry::read().
struct series {
    std::string name;
    label_list labels;
    std::string help;  // Empty when describe() was not called for the name.
    std::variant<std::uint64_t, std::int64_t, histogram_values> value;

    friend bool operator==(const series&, const series&) = default;
};

// Safe for concurrent use. Returned references stay valid for the registry's lifetime. Series are
// distributed over shards, each with its own lock, by a hash of name and label values; a shard
// keeps at most `max_series_per_shard` series. A look-up that would exceed this limit, or whose
// name is in use for another type of metric, returns an overflow metric of the type, which is not
// exported, and is counted in `trefoil_telemetry_dropped_total`.
class registry {
public:
    counter& get_or_create_counter(std::string_view name, const label_list& labels);
    gauge& get_or_create_gauge(std::string_view name, const label_list& labels);
    histogram& get_or_create_histogram(std::string_view name, const label_list& labels);

    // Sets the help text of all series with this name.
    void describe(std::string_view name, std::string_view help);

    // Returns all series, sorted by name and labels. Not a consistent snapshot.
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
    Metric& find(std::string_view name, const label_list& labels, Metric& overflow);
    // Returns false when `name` is in use for another type of metric.
    bool register_name(std::string_view name, std::size_t type_index);
    shard& shard_of(const key& series_id);

    std::array<shard, shard_count> shards;

    // Lock order: a shard's mutex may be held when this one is locked, but not the other way round.
    mutable std::mutex names_mutex;
    // Index of the metric's type in the variant `metric`, by name. Guarded by names_mutex.
    std::map<std::string, std::size_t, std::less<>> type_indexes;
    std::map<std::string, std::string, std::less<>> help_texts;  // Guarded by names_mutex.

    counter dropped_lookups;
    counter overflow_counter;
    gauge overflow_gauge;
    histogram overflow_histogram;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_REGISTRY_H_
