// Implements the choice of an upstream.

#include "routing/upstream_picker.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trefoil::routing {

double upstream_picker::score(const instance_load& load, mono_time now) const {
    auto own = static_cast<double>(load.in_flight);
    auto limit = static_cast<double>(std::max<std::uint32_t>(1, load.report.limit));
    double penalty = this->silence_penalty(load, now);
    if (!load.reported_at.has_value()) {
        return penalty + own / limit;
    }
    std::chrono::duration<double> age = now - *load.reported_at;
    std::chrono::duration<double> half_life = this->options.report_half_life;
    double weight = std::exp2(-std::max(0.0, age / half_life));
    auto reported = static_cast<double>(load.report.running + load.report.queued);
    return penalty + (own + weight * reported) / limit;
}

double upstream_picker::silence_penalty(const instance_load& load, mono_time now) const {
    if (load.in_flight == 0 || now <= load.waiting_since) {
        return 0;
    }
    std::chrono::duration<double> silent = now - load.waiting_since;
    std::chrono::duration<double> full = this->options.full_after_silence;
    return this->options.full_score * (silent / full);
}

bool upstream_picker::recently_failed(const instance_load& load, mono_time now) const {
    return load.connection_failed_at.has_value() &&
           now < *load.connection_failed_at + this->options.connection_failure_backoff;
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
    std::vector<scored> avoided;
    std::vector<scored> stopping;
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
        if (now < load.avoid_until) {
            avoided.push_back({&each, this->score(load, now)});
            continue;
        }
        if (each.state == candidate_state::stopping) {
            stopping.push_back({&each, this->score(load, now)});
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
    if (best.chosen == nullptr) {
        best = this->better_of_two(stopping, random);
    }
    // If all candidates are in a backoff after a refusal, one of them is tried anyway.
    if (best.chosen == nullptr) {
        best = this->better_of_two(avoided, random);
    }
    if (best.chosen != nullptr) {
        return picked_upstream{.chosen = *best.chosen, .score = best.score};
    }
    if (any_tried) {
        return every_upstream_tried{};
    }
    return no_upstream_available{};
}

bool upstream_picker::take_one(std::size_t& wanted) {
    if (wanted == 0) {
        return false;
    }
    --wanted;
    return true;
}

// Visits the candidates in random order until enough are found. Candidates without a connection are
// used only if there are not enough others.
upstream_picker::usable_candidates upstream_picker::usable(const std::vector<candidate>& candidates,
                                                           const std::vector<std::string>& tried,
                                                           const load_table& loads, mono_time now,
                                                           random_source& random) const {
    usable_candidates result;
    bool all = this->compares_all(candidates.size());
    std::size_t local = all ? candidates.size() : this->options.compared_local;
    std::size_t remote = all ? candidates.size() : this->options.compared_remote;
    std::vector<const candidate*> unconnected;
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    auto wanted_of = [&](const candidate& each) -> std::size_t& {
        return each.failure_domain == this->options.failure_domain ? local : remote;
    };
    for (std::size_t visited = 0; visited < order.size() && local + remote > 0; ++visited) {
        if (!all) {
            std::swap(order[visited], order[visited + random.below(order.size() - visited)]);
        }
        const candidate& each = candidates[order[visited]];
        if (!each.accepts_work()) {
            continue;
        }
        if (std::find(tried.begin(), tried.end(), each.instance) != tried.end()) {
            result.any_tried = true;
            continue;
        }
        bool stops = each.state == candidate_state::stopping;
        if (!stops && wanted_of(each) == 0) {
            continue;
        }
        instance_load load = loads.find(each.instance);
        if (this->recently_failed(load, now)) {
            continue;
        }
        if (now < load.avoid_until) {
            result.avoided.push_back(&each);
        } else if (stops) {
            result.stopping.push_back(&each);
        } else if (!all && !load.connected) {
            unconnected.push_back(&each);
        } else if (take_one(wanted_of(each))) {
            result.fresh.push_back(&each);
        }
    }
    for (const candidate* each : unconnected) {
        if (take_one(wanted_of(*each))) {
            result.fresh.push_back(each);
        }
    }
    if (all || result.fresh.empty()) {
        result.fresh.insert(result.fresh.end(), result.stopping.begin(), result.stopping.end());
    }
    return result;
}

// The latest reported share of failures, decayed over time: an instance that gets no calls sends no
// new report.
double upstream_picker::failing_share(const instance_load& load, mono_time now) const {
    using seconds = std::chrono::duration<double>;
    if (!load.reported_at.has_value()) {
        return 0;
    }
    double age = seconds(now - *load.reported_at) / seconds(this->options.failing_half_life);
    return load.report.failing_share * std::exp2(-std::max(0.0, age));
}

mono_duration upstream_picker::expected_time(const candidate& target, const load_table& loads,
                                             const pick_context& context, mono_time now) const {
    using seconds = std::chrono::duration<double>;
    instance_load load = loads.find(target.instance);
    double service = seconds(loads.service_time(target.instance, context.route)).count();
    double mean = load.report.mean_service_us * 1e-6;
    if (service <= 0) {
        service = mean;
    }
    double others = 0;
    if (load.reported_at.has_value()) {
        double reported = load.report.running + load.report.queued;
        double age = seconds(now - *load.reported_at) / seconds(this->options.report_half_life);
        others =
            std::max(0.0, reported - load.in_flight_at_report) * std::exp2(-std::max(0.0, age));
    }
    double slots = std::max<std::uint32_t>(1, load.report.limit);
    double wait = std::max(0.0, load.in_flight + others + 1 - slots) / slots * mean;
    if (load.in_flight > 0 && now > load.waiting_since && mean > 0) {
        double silent = seconds(now - load.waiting_since).count();
        if (silent > mean * this->options.silent_service_times) {
            wait += silent;
        }
    }
    double cross_domain = 0;
    if (target.failure_domain != this->options.failure_domain) {
        cross_domain = seconds(context.objective).count() *
                       (this->options.cross_domain_penalty +
                        this->options.cross_domain_penalty_per_kib * context.payload_kib);
    }
    double connecting = load.connected ? 0 : seconds(this->options.connect_time).count();
    double stopping = 0;
    if (target.state == candidate_state::stopping) {
        stopping = seconds(std::max(context.objective, this->options.min_stopping_penalty)).count();
    }
    double failing = this->failing_share(load, now) * seconds(context.objective).count();
    double total = failing + service + wait + cross_domain + connecting + stopping +
                   seconds(load.transit_time).count();
    return std::chrono::duration_cast<mono_duration>(seconds(total));
}

const candidate* upstream_picker::fastest(const std::vector<const candidate*>& from,
                                          const load_table& loads, const pick_context& context,
                                          mono_time now, random_source& random) const {
    const candidate* best = nullptr;
    double best_time = 0;
    for (const candidate* each : from) {
        auto time = static_cast<double>(this->expected_time(*each, loads, context, now).count());
        time *= 1 + this->options.time_noise * random.uniform();
        if (best == nullptr || time < best_time) {
            best = each;
            best_time = time;
        }
    }
    return best;
}

pick_result upstream_picker::pick(const std::vector<candidate>& candidates,
                                  const std::vector<std::string>& tried, const load_table& loads,
                                  const pick_context& context, mono_time now,
                                  random_source& random) const {
    usable_candidates found = this->usable(candidates, tried, loads, now, random);
    const candidate* best = this->fastest(found.fresh, loads, context, now, random);
    // If all candidates are in a backoff after a refusal, one of them is tried anyway.
    if (best == nullptr) {
        best = this->fastest(found.avoided, loads, context, now, random);
    }
    if (best != nullptr) {
        return picked_upstream{.chosen = *best,
                               .score = this->score(loads.find(best->instance), now)};
    }
    if (found.any_tried) {
        return every_upstream_tried{};
    }
    return no_upstream_available{};
}

bool upstream_picker::is_fresh(const candidate& each, const std::vector<std::string>& tried,
                               const instance_load& load, mono_time now) const {
    return each.state == candidate_state::live && !each.taken_out &&
           !this->recently_failed(load, now) && now >= load.avoid_until &&
           std::find(tried.begin(), tried.end(), each.instance) == tried.end();
}

pick_result upstream_picker::pick_among(const std::vector<candidate>& candidates,
                                        const std::vector<std::uint32_t>& positions,
                                        const std::vector<std::string>& tried,
                                        const load_table& loads, const pick_context& context,
                                        mono_time now, random_source& random) const {
    constexpr std::size_t draws_per_compared = 4;
    bool all = this->compares_all(candidates.size());
    std::size_t wanted = all ? positions.size() : this->options.compared_local;
    std::vector<const candidate*> found;
    std::vector<const candidate*> unconnected;
    auto consider = [&](const candidate& each) {
        instance_load load = loads.find(each.instance);
        bool known = std::find(found.begin(), found.end(), &each) != found.end() ||
                     std::find(unconnected.begin(), unconnected.end(), &each) != unconnected.end();
        if (!known && this->is_fresh(each, tried, load, now)) {
            (all || load.connected ? found : unconnected).push_back(&each);
        }
    };
    if (!all) {
        for (std::size_t draw = 0; draw < wanted * draws_per_compared && found.size() < wanted;
             ++draw) {
            consider(candidates[positions[random.below(positions.size())]]);
        }
    }
    if (found.empty() && unconnected.empty() && !positions.empty()) {
        std::size_t offset = random.below(positions.size());
        for (std::size_t index = 0; index < positions.size() && found.size() < wanted; ++index) {
            consider(candidates[positions[(index + offset) % positions.size()]]);
        }
    }
    for (const candidate* each : unconnected) {
        if (found.size() < wanted) {
            found.push_back(each);
        }
    }
    const candidate* best = this->fastest(found, loads, context, now, random);
    if (best == nullptr) {
        return no_upstream_available{};
    }
    return picked_upstream{.chosen = *best, .score = this->score(loads.find(best->instance), now)};
}

}  // namespace trefoil::routing
