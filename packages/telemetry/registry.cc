// Implements the registry of metrics.

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
    return this->find(name, labels, this->spare_counter);
}

gauge& registry::get_or_create_gauge(std::string_view name, const label_list& labels) {
    return this->find(name, labels, this->spare_gauge);
}

histogram& registry::get_or_create_histogram(std::string_view name, const label_list& labels) {
    return this->find(name, labels, this->spare_histogram);
}

template <class Metric>
Metric& registry::find(std::string_view name, const label_list& labels, Metric& spare) {
    using owner_type = std::unique_ptr<Metric>;
    key wanted(name, labels);
    shard& owner = this->shard_of(wanted);
    std::lock_guard lock(owner.mutex);
    auto found = owner.metrics.find(wanted);
    if (found != owner.metrics.end()) {
        auto* same_kind = std::get_if<owner_type>(&found->second);
        if (same_kind != nullptr) {
            return **same_kind;
        }
        this->dropped.add();
        return spare;
    }
    metric fresh = std::make_unique<Metric>();
    bool full = owner.metrics.size() >= max_series_per_shard;
    if (full || !this->claim_name(name, fresh.index())) {
        this->dropped.add();
        return spare;
    }
    auto added = owner.metrics.emplace(std::move(wanted), std::move(fresh)).first;
    return *std::get<owner_type>(added->second);
}

bool registry::claim_name(std::string_view name, std::size_t kind) {
    std::lock_guard lock(this->names_mutex);
    return this->kinds.try_emplace(std::string(name), kind).first->second == kind;
}

registry::shard& registry::shard_of(const key& wanted) {
    std::uint64_t hash = checksum64(wanted.first);
    for (const auto& [name, value] : wanted.second) {
        hash = hash * 31 + checksum64(value);
    }
    return this->shards[hash % shard_count];
}

void registry::describe(std::string_view name, std::string_view help) {
    std::lock_guard lock(this->names_mutex);
    this->helps.insert_or_assign(std::string(name), std::string(help));
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
                   .value = this->dropped.value()});
    std::lock_guard lock(this->names_mutex);
    for (series& each : all) {
        auto found = this->helps.find(each.name);
        if (found != this->helps.end()) {
            each.help = found->second;
        }
    }
    std::sort(all.begin(), all.end(), [](const series& a, const series& b) {
        return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
    });
    return all;
}

}  // namespace trefoil::telemetry
