// Implements the share of calls that leave a failure domain.

#include "routing/domain_overflow.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoil::routing {

namespace {

using seconds = std::chrono::duration<double>;

// Weight of the latest call in the mean objective.
constexpr double objective_weight = 1.0 / 16;
// A slow start or end of a change is at least this share of the full step.
constexpr double min_step = 0.25;
// After a pause of the process, one step changes the share at most as in this time.
constexpr double max_elapsed_s = 1.0;
// Sum of the weights of reports below which a domain counts as unknown.
constexpr double min_report_weight = 0.25;
// Results below which the share of refusals is not trusted fully.
constexpr double min_results = 4;

bool is_usable(const candidate& each, const instance_load& load, mono_time now,
               mono_duration backoff) {
    bool failed =
        load.connection_failed_at.has_value() && now < *load.connection_failed_at + backoff;
    return each.state == candidate_state::live && !each.taken_out && !failed;
}

double step_size(double excess, double range) {
    return std::clamp(excess / std::max(range, min_step), min_step, 1.0);
}

}  // namespace

std::string_view overflow_reason_name(overflow_reason reason) {
    switch (reason) {
        case overflow_reason::own_domain_full:
            return "own_domain_full";
        case overflow_reason::own_domain_has_room:
            return "own_domain_has_room";
        case overflow_reason::other_domains_full:
            return "other_domains_full";
        case overflow_reason::own_domain_unusable:
            return "own_domain_unusable";
        case overflow_reason::above_limit:
            return "above_limit";
        case overflow_reason::none:
            break;
    }
    return "none";
}

overflow_target domain_overflow::choose(const overflow_call& call,
                                        const std::shared_ptr<const candidate_list>& list,
                                        const load_table& loads, mono_time now,
                                        random_source& random) {
    return this->services.update(call.service, [&](service_overflow& service) -> overflow_target {
        this->use_list(service, list, call.service);
        if (call.objective.count() > 0) {
            double objective = seconds(call.objective).count();
            service.objective_s =
                service.objective_s == 0
                    ? objective
                    : service.objective_s + objective_weight * (objective - service.objective_s);
        }
        if (now >= service.next_update) {
            this->update(service, list->of_service(call.service), loads, now, random);
        }
        const domain_pressure& own = service.domains.front();
        double drawn = random.uniform();
        if (own.usable == 0 || drawn < service.state.share) {
            return other_domain(service, random);
        }
        // A refused call has less time left, so it may go to any upstream that is expected to be
        // fast.
        if (call.refused_before && drawn < this->options.limit) {
            return {};
        }
        return {own.positions};
    });
}

void domain_overflow::on_sent(const std::string& service, const std::string& domain) {
    this->services.update(service, [&](service_overflow& each) {
        ++each.state.calls;
        each.state.sent_out += domain == this->options.failure_domain ? 0 : 1;
    });
}

void domain_overflow::on_result(const std::string& service, const std::string& domain, bool refused,
                                mono_time now) {
    this->services.update(service, [&](service_overflow& each) {
        for (domain_pressure& counted : each.domains) {
            if (counted.domain == domain) {
                this->decay(counted, now);
                (refused ? counted.refused : counted.accepted) += 1;
            }
        }
    });
}

std::vector<overflow_state> domain_overflow::states() const {
    std::vector<overflow_state> all;
    this->services.for_each([&](const std::string& name, const service_overflow& service) {
        all.push_back(service.state);
        all.back().service = name;
    });
    std::sort(all.begin(), all.end(), [](const overflow_state& left, const overflow_state& right) {
        return left.service < right.service;
    });
    return all;
}

// Groups the candidates by domain when the list was replaced, and keeps what is known of a domain.
void domain_overflow::use_list(service_overflow& service,
                               const std::shared_ptr<const candidate_list>& list,
                               const std::string& name) const {
    if (service.list == list) {
        return;
    }
    service.list = list;
    std::vector<domain_pressure> before = std::move(service.domains);
    std::vector<std::vector<std::uint32_t>> positions(1);
    service.domains = {domain_pressure{.domain = this->options.failure_domain, .pressure = -1}};
    const std::vector<candidate>& candidates = list->of_service(name);
    auto same_domain = [](const std::string& domain) {
        return [&domain](const domain_pressure& each) { return each.domain == domain; };
    };
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string& domain = candidates[index].failure_domain;
        auto found =
            std::find_if(service.domains.begin(), service.domains.end(), same_domain(domain));
        auto position = static_cast<std::size_t>(found - service.domains.begin());
        if (found == service.domains.end()) {
            service.domains.push_back({.domain = domain, .pressure = -1});
            positions.emplace_back();
        }
        positions[position].push_back(static_cast<std::uint32_t>(index));
    }
    for (std::size_t index = 0; index < service.domains.size(); ++index) {
        domain_pressure& each = service.domains[index];
        auto known = std::find_if(before.begin(), before.end(), same_domain(each.domain));
        if (known != before.end()) {
            each = *known;
        }
        each.positions =
            std::make_shared<const std::vector<std::uint32_t>>(std::move(positions[index]));
    }
    // Usable instances may have been lost or have returned.
    service.next_update = mono_time::min();
}

void domain_overflow::update(service_overflow& service, const std::vector<candidate>& candidates,
                             const load_table& loads, mono_time now, random_source& random) const {
    bool first = service.updated_at == mono_time{};
    double elapsed = first ? 0 : seconds(now - service.updated_at).count();
    elapsed = std::clamp(elapsed, 0.0, max_elapsed_s);
    service.updated_at = now;
    service.next_update = now + std::chrono::duration_cast<mono_duration>(
                                    this->options.update_interval * (0.5 + random.uniform()));
    for (domain_pressure& each : service.domains) {
        this->measure(each, candidates, loads, now, elapsed);
    }
    const domain_pressure& own = service.domains.front();
    service.state.own_pressure = this->pressure_of(own);
    const domain_pressure* emptiest = nullptr;
    for (std::size_t index = 1; index < service.domains.size(); ++index) {
        const domain_pressure& each = service.domains[index];
        if (each.usable > 0 &&
            (emptiest == nullptr || this->pressure_of(each) < this->pressure_of(*emptiest))) {
            emptiest = &each;
        }
    }
    service.state.other_pressure = emptiest == nullptr ? 1 : this->pressure_of(*emptiest);
    for (std::size_t index = 1; index < service.domains.size(); ++index) {
        domain_pressure& each = service.domains[index];
        double room = service.state.own_pressure - this->pressure_of(each) -
                      this->needed_difference(service, each) / 2;
        each.weight = std::max(0.0, room) * each.limit;
    }
    this->move_share(service,
                     emptiest == nullptr ? std::numeric_limits<double>::infinity()
                                         : this->needed_difference(service, *emptiest),
                     elapsed, random);
}

void domain_overflow::measure(domain_pressure& domain, const std::vector<candidate>& candidates,
                              const load_table& loads, mono_time now, double elapsed_s) const {
    double weights = 0;
    double load_sum = 0;
    double weighted_limit = 0;
    double ways = 0;
    double way_sum = 0;
    domain.usable = 0;
    domain.limit = 0;
    for (std::uint32_t position : *domain.positions) {
        const candidate& each = candidates[position];
        instance_load load = loads.find(each.instance);
        if (!is_usable(each, load, now, this->options.connection_failure_backoff)) {
            continue;
        }
        ++domain.usable;
        double limit = std::max<std::uint32_t>(1, load.report.limit);
        domain.limit += limit;
        if (load.transit_time > mono_duration(0)) {
            way_sum += seconds(load.transit_time).count();
            ++ways;
        }
        if (load.reported_at.has_value()) {
            double age = seconds(now - *load.reported_at) / seconds(this->options.report_half_life);
            double weight = std::exp2(-std::max(0.0, age));
            double calls =
                std::max(load.report.running + load.report.queued, load.in_flight_at_report);
            weights += weight;
            load_sum += weight * calls;
            weighted_limit += weight * limit;
        }
    }
    domain.way_s = ways > 0 ? way_sum / ways : 0;
    this->decay(domain, now);
    double refused_share = domain.refused / std::max(min_results, domain.refused + domain.accepted);
    if (weights < min_report_weight) {
        // Refusals by a domain that reports nothing still count.
        domain.pressure = refused_share > 0 ? this->options.unknown_pressure + refused_share : -1;
        return;
    }
    double measured = load_sum / weighted_limit + refused_share;
    double known = 1 - std::exp(-elapsed_s / seconds(this->options.smoothing).count());
    domain.pressure =
        domain.pressure < 0 ? measured : domain.pressure + known * (measured - domain.pressure);
}

void domain_overflow::move_share(service_overflow& service, double needed, double elapsed_s,
                                 random_source& random) const {
    overflow_state& state = service.state;
    if (service.domains.front().usable == 0) {
        state.share = 1;
        state.reason = overflow_reason::own_domain_unusable;
        return;
    }
    double own = state.own_pressure;
    double difference = own - state.other_pressure;
    double scale = elapsed_s * (0.5 + random.uniform());
    double change = 0;
    overflow_reason reason = state.reason;
    if (state.share > this->options.limit) {
        change = -this->options.fall_per_s * scale;
        reason = overflow_reason::above_limit;
    } else if (own >= this->options.raise_at && difference >= needed) {
        change = this->options.rise_per_s * scale *
                 step_size(own - this->options.raise_at, 1 - this->options.raise_at);
        reason = overflow_reason::own_domain_full;
    } else if (own < this->options.lower_at) {
        change = -this->options.fall_per_s * scale *
                 step_size(this->options.lower_at - own, this->options.lower_at);
        reason = overflow_reason::own_domain_has_room;
    } else if (difference < needed / 2) {
        change = -this->options.fall_per_s * scale;
        reason = overflow_reason::other_domains_full;
    }
    double upper = std::max(this->options.limit, state.share);
    double next = std::clamp(state.share + change, this->options.floor, upper);
    if (next != state.share) {
        state.share = next;
        state.reason = reason;
    }
}

double domain_overflow::needed_difference(const service_overflow& service,
                                          const domain_pressure& other) const {
    double way = std::max(0.0, other.way_s - service.domains.front().way_s);
    return this->options.min_difference + (service.objective_s > 0 ? way / service.objective_s : 0);
}

void domain_overflow::decay(domain_pressure& domain, mono_time now) const {
    double age = seconds(now - domain.counted_at) / seconds(this->options.report_half_life);
    double factor = std::exp2(-std::max(0.0, age));
    domain.accepted *= factor;
    domain.refused *= factor;
    domain.counted_at = now;
}

double domain_overflow::pressure_of(const domain_pressure& domain) const {
    return domain.pressure < 0 ? this->options.unknown_pressure : domain.pressure;
}

// Draws a domain by its room, or by its size if none has room. The target is empty if no other
// domain is usable.
overflow_target domain_overflow::other_domain(const service_overflow& service,
                                              random_source& random) {
    double total = 0;
    double sizes = 0;
    for (std::size_t index = 1; index < service.domains.size(); ++index) {
        total += service.domains[index].weight;
        sizes += service.domains[index].limit;
    }
    bool by_room = total > 0;
    double point = random.uniform() * (by_room ? total : sizes);
    overflow_target target;
    for (std::size_t index = 1; index < service.domains.size(); ++index) {
        const domain_pressure& each = service.domains[index];
        double size = by_room ? each.weight : each.limit;
        if (size > 0) {
            target.among = each.positions;
            if (point < size) {
                break;
            }
            point -= size;
        }
    }
    return target;
}

}  // namespace trefoil::routing
