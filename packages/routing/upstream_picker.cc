// Implements the choice of an upstream.

#include "routing/upstream_picker.h"

#include <algorithm>
#include <cmath>

namespace trefoil::routing {

double upstream_picker::score(const instance_load& load, mono_time now) const {
    auto own = static_cast<double>(load.in_flight);
    auto limit = static_cast<double>(std::max<std::uint32_t>(1, load.report.limit));
    // Counted as full, but not excluded: when all candidates refuse, the best of them is tried.
    double penalty = now < load.avoid_until ? this->options.full_score : 0.0;
    if (!load.reported_at.has_value()) {
        return penalty + own / limit;
    }
    std::chrono::duration<double> age = now - *load.reported_at;
    std::chrono::duration<double> half_life = this->options.report_half_life;
    double weight = std::exp2(-std::max(0.0, age / half_life));
    auto reported = static_cast<double>(load.report.running + load.report.queued);
    return penalty + (own + weight * reported) / limit;
}

bool upstream_picker::recently_failed(const instance_load& load, mono_time now) const {
    return load.connection_failed_at.has_value() &&
           now < *load.connection_failed_at + this->options.failure_memory;
}

upstream_picker::scored upstream_picker::better_of_two(const std::vector<scored>& from,
                                                       random_source& random) const {
    if (from.empty()) {
        return {};
    }
    std::size_t first = random.below(from.size());
    if (from.size() == 1) {
        return from[first];
    }
    std::size_t second = random.below(from.size() - 1);
    second += second >= first ? 1 : 0;
    return from[second].score < from[first].score ? from[second] : from[first];
}

pick_result upstream_picker::pick(const std::vector<candidate>& candidates,
                                  const std::vector<std::string>& tried, const load_table& loads,
                                  mono_time now, random_source& random) const {
    std::vector<scored> local;
    std::vector<scored> remote;
    bool any_tried = false;
    for (const candidate& each : candidates) {
        if (!each.accepts_work()) {
            continue;
        }
        if (std::find(tried.begin(), tried.end(), each.instance) != tried.end()) {
            any_tried = true;
            continue;
        }
        instance_load load = loads.find(each.instance);
        if (this->recently_failed(load, now)) {
            continue;
        }
        bool same_domain = each.failure_domain == this->options.failure_domain;
        (same_domain ? local : remote).push_back({&each, this->score(load, now)});
    }
    scored best = this->better_of_two(local, random);
    if (best.chosen == nullptr || best.score >= this->options.full_score) {
        scored other = this->better_of_two(remote, random);
        bool better = best.chosen == nullptr || other.score < best.score;
        if (other.chosen != nullptr && better) {
            best = other;
        }
    }
    if (best.chosen != nullptr) {
        return picked_upstream{.chosen = *best.chosen, .score = best.score};
    }
    if (any_tried) {
        return every_upstream_tried{};
    }
    return no_upstream_available{};
}

}  // namespace trefoil::routing
