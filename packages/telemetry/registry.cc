// Implements the metrics registry.

#include "telemetry/registry.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace trefoil::telemetry {

namespace {

constexpr std::string_view dropped_name = "trefoil_telemetry_dropped_total";

std::variant<std::uint64_t, std::int64_t, histogram_values> value_of(
    const std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                       std::unique_ptr<histogram>>& metric) {
    if (const auto* count = std::get_if<std::unique_ptr<counter>>(&metric)) {
        return (*count)->value();
    }
    if (const auto* level = std::get_if<std::unique_ptr<gauge>>(&metric)) {
        return (*level)->value();
    }
    return std::get<std::unique_ptr<histogram>>(metric)->values();
}

}  // namespace

counter& registry::get_or_create_counter(std::string_view name, const label_list& labels) {
    return this->find(name, labels, this->overflow_counter);
}

gauge& registry::get_or_create_gauge(std::string_view name, const label_list& labels) {
    return this->find(name, labels, this->overflow_gauge);
}

histogram& registry::get_or_create_histogram(std::string_view name, const label_list& labels) {
    return this->find(name, labels, this->overflow_histogram);
}

template <class Metric>
Metric& registry::find(std::string_view name, const label_list& labels, Metric& overflow) {
    using owner_type = std::unique_ptr<Metric>;
    key series_id(name, labels);
    shard& owner = this->shard_of(series_id);
    std::lock_guard lock(owner.mutex);
    auto found = owner.metrics.find(series_id);
    if (found != owner.metrics.end()) {
        auto* same_type = std::get_if<owner_type>(&found->second);
        if (same_type != nullptr) {
            return **same_type;
        }
        this->dropped_lookups.add();
        return overflow;
    }
    metric created = std::make_unique<Metric>();
    bool full = owner.metrics.size() >= max_series_per_shard;
    if (full || !this->register_name(name, created.index())) {
        this->dropped_lookups.add();
        return overflow;
    }
    auto added = owner.metrics.emplace(std::move(series_id), std::move(created)).first;
    return *std::get<owner_type>(added->second);
}

bool registry::register_name(std::string_view name, std::size_t type_index) {
    std::lock_guard lock(this->names_mutex);
    return this->type_indexes.try_emplace(std::string(name), type_index).first->second ==
           type_index;
}

registry::shard& registry::shard_of(const key& series_id) {
    std::uint64_t hash = checksum64(series_id.first);
    for (const auto& [name, value] : series_id.second) {
        hash = hash * 31 + checksum64(value);
    }
    return this->shards[hash % shard_count];
}

void registry::describe(std::string_view name, std::string_view help) {
    std::lock_guard lock(this->names_mutex);
    this->help_texts.insert_or_assign(std::string(name), std::string(help));
}

std::vector<series> registry::read() const {
    std::vector<series> all;
    for (const shard& each : this->shards) {
        std::lock_guard lock(each.mutex);
        for (const auto& [id, stored] : each.metrics) {
            all.push_back(
                {.name = id.first, .labels = id.second, .help = "", .value = value_of(stored)});
        }
    }
    all.push_back({.name = std::string(dropped_name),
                   .labels = {},
                   .help = "Look-ups of metrics that did not fit into the registry.",
                   .value = this->dropped_lookups.value()});
    std::lock_guard lock(this->names_mutex);
    for (series& each : all) {
        auto found = this->help_texts.find(each.name);
        if (found != this->help_texts.end()) {
            each.help = found->second;
        }
    }
    std::sort(all.begin(), all.end(), [](const series& a, const series& b) {
        return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
    });
    return all;
}

}  // namespace trefoil::telemetry
