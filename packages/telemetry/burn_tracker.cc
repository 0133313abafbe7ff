// Implements the burn rates of error budgets.

#include "telemetry/burn_tracker.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <tuple>

#include "base/hash.h"

namespace trefoil::telemetry {

namespace {

constexpr std::chrono::seconds reported_windows[] = {std::chrono::minutes(5),
                                                     std::chrono::hours(1)};

double burn_rate_of(const call_totals& totals, double availability) {
    if (totals.bad == 0) {
        return 0;
    }
    double bad_ratio =
        static_cast<double>(totals.bad) / static_cast<double>(totals.good + totals.bad);
    double budget = 1 - availability;
    return budget > 0 ? bad_ratio / budget : std::numeric_limits<double>::infinity();
}

}  // namespace

void burn_tracker::set_objectives(objective_map next) {
    this->objectives.publish(std::make_shared<const objective_map>(std::move(next)));
}

void burn_tracker::record(std::string_view service, std::string_view workspace,
                          const served_call& call, mono_time now) {
    auto current = this->objectives.read();
    if (current == nullptr) {
        return;
    }
    auto objective = current->find(service);
    if (objective == current->end()) {
        return;
    }
    bool good = !call.error && call.latency <= objective->second.latency;
    bool counted = this->record_pair(pair(service, workspace), good, now, max_pairs_per_shard);
    if (!counted) {
        // The number of these pairs is bounded by the number of services with an objective.
        this->record_pair(pair(service, other_workspace), good, now,
                          std::numeric_limits<std::size_t>::max());
    }
}

bool burn_tracker::record_pair(pair pair_id, bool good, mono_time now, std::size_t max_pairs) {
    std::uint64_t hash = checksum64(pair_id.first) * 31 + checksum64(pair_id.second);
    shard& owner = this->shards[hash % shard_count];
    std::lock_guard lock(owner.mutex);
    auto found = owner.windows.find(pair_id);
    if (found == owner.windows.end()) {
        if (owner.windows.size() >= max_pairs) {
            std::erase_if(owner.windows, [&](const auto& item) { return item.second.idle(now); });
        }
        if (owner.windows.size() >= max_pairs) {
            return false;
        }
        found = owner.windows.try_emplace(std::move(pair_id)).first;
    }
    found->second.record(now, good);
    return true;
}

std::vector<burn_row> burn_tracker::rows(mono_time now) const {
    std::vector<burn_row> all;
    auto current = this->objectives.read();
    for (const shard& each : this->shards) {
        std::lock_guard lock(each.mutex);
        for (const auto& [names, window] : each.windows) {
            auto objective = current->find(names.first);
            if (objective == current->end() || window.idle(now)) {
                continue;
            }
            for (std::chrono::seconds length : reported_windows) {
                call_totals totals = window.sum(now, length);
                all.push_back({.service = names.first,
                               .workspace = names.second,
                               .window = length,
                               .good = totals.good,
                               .bad = totals.bad,
                               .burn_rate = burn_rate_of(totals, objective->second.availability)});
            }
        }
    }
    std::sort(all.begin(), all.end(), [](const burn_row& a, const burn_row& b) {
        return std::tie(a.service, a.workspace, a.window) <
               std::tie(b.service, b.workspace, b.window);
    });
    return all;
}

}  // namespace trefoil::telemetry
