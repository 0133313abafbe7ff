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
// Lower bounds in the estimate of a share, so that it can leave 1 and an idle domain is no division
// by zero.
constexpr double min_staying = 0.05;
constexpr double min_pressure = 0.05;
// After a pause of the process, one step changes the share at most as in this time.
constexpr double max_elapsed_s = 1.0;
// Sum of the weights of reports below which a domain counts as unknown.
constexpr double min_report_weight = 0.25;
// Number of reports at which the pressure follows half as fast as with very many.
constexpr double few_reports = 2;
// Results below which the share of refusals is not trusted fully.
constexpr double min_results = 4;

bool is_usable(const candidate& each, const instance_load& load, mono_time now,
               const domain_overflow_options& options) {
    bool unreachable =
        load.connection_failed_at.has_value() &&
        now < *load.connection_failed_at +
                  (load.connected ? options.connection_failure_backoff : options.unreachable_time);
    return each.state == candidate_state::live && !each.taken_out && !unreachable;
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
    if (list->of_service(call.service).size() < this->options.min_upstreams) {
        return {};
    }
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
        if (own.usable == 0) {
            return other_domain(service, random);
        }
        // A call that would spend its objective on the way stays, whatever the others do.
        if (call.objective.count() > 0 && service.way_s >= seconds(call.objective).count()) {
            return {own.positions};
        }
        if (drawn < service.state.share) {
            return other_domain(service, random);
        }
        // A repeated call has less time left, so any upstream that is expected to be fast may be
        // chosen, before the share has grown to what is needed.
        if (call.attempted_before && service.others_have_room && drawn < this->options.limit) {
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

void domain_overflow::expire(const candidate_list& list) {
    this->services.erase_if([&](const std::string& name, const service_overflow&) {
        return list.of_service(name).empty();
    });
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
    double other_limit = 0;
    double other_load = 0;
    double needed = 0;
    double ways = 0;
    for (std::size_t index = 1; index < service.domains.size(); ++index) {
        domain_pressure& each = service.domains[index];
        double difference = this->needed_difference(service, each);
        double room = service.state.own_pressure - this->pressure_of(each) - difference / 2;
        each.weight = std::max(0.0, room) * each.limit;
        other_limit += each.limit;
        other_load += each.limit * this->pressure_of(each);
        needed += each.limit * difference;
        ways += each.limit * additional_way_s(service, each);
    }
    bool others = other_limit > 0;
    needed = others ? needed / other_limit : std::numeric_limits<double>::infinity();
    service.state.other_pressure = others ? other_load / other_limit : 1;
    service.way_s = others ? ways / other_limit : 0;
    service.others_have_room =
        service.state.own_pressure - service.state.other_pressure > needed / 2;
    this->move_share(service, needed, elapsed, random);
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
        if (!is_usable(each, load, now, this->options)) {
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
            mono_duration old = now - *load.reported_at - this->options.report_lifetime;
            double age = seconds(old) / seconds(this->options.report_half_life);
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
    double before = this->pressure_of(domain);
    if (weights < min_report_weight) {
        double forgotten = 1 - std::exp(-elapsed_s / seconds(this->options.forgetting).count());
        domain.pressure = before + forgotten * (this->options.unknown_pressure - before);
        return;
    }
    double measured = load_sum / weighted_limit + refused_share;
    // A few reports change the pressure more slowly than many.
    double known = (1 - std::exp(-elapsed_s / seconds(this->options.smoothing).count())) * weights /
                   (weights + few_reports);
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
    } else if (own > this->options.raise_at && difference > needed) {
        double aim = std::max(this->options.raise_at, own - (difference - needed) / 2);
        change = this->step_towards(state, aim, scale);
        reason = overflow_reason::own_domain_full;
    } else if (own < this->options.lower_at) {
        change = this->step_towards(state, this->options.lower_at, scale);
        reason = overflow_reason::own_domain_has_room;
    } else if (difference < needed / 2) {
        double missing = std::isinf(needed) ? 1 : needed / 2 - difference;
        change = this->step_towards(state, own + missing / 2, scale);
        reason = overflow_reason::other_domains_full;
    } else {
        change = -this->options.release_per_s * scale * state.share;
    }
    double upper = std::max(this->options.limit, state.share);
    double next = std::clamp(state.share + change, this->options.floor, upper);
    if (next != state.share) {
        state.share = next;
        state.reason = reason;
    }
}

// The share at which the own domain would have the pressure `aim` is approached with a time
// constant that exceeds the age of the reports, so that the change does not overshoot.
double domain_overflow::step_towards(const overflow_state& state, double aim, double scale) const {
    double staying = std::max(min_staying, 1 - state.share);
    double target = 1 - staying * aim / std::max(min_pressure, state.own_pressure);
    double step = scale * (target - state.share) / seconds(this->options.adjustment).count();
    return std::clamp(step, -this->options.fall_per_s * scale, this->options.rise_per_s * scale);
}

double domain_overflow::additional_way_s(const service_overflow& service,
                                         const domain_pressure& other) {
    return std::max(0.0, other.way_s - service.domains.front().way_s);
}

double domain_overflow::needed_difference(const service_overflow& service,
                                          const domain_pressure& other) const {
    double objective = service.objective_s;
    double cost = objective > 0 ? additional_way_s(service, other) / objective : 0;
    return this->options.min_difference + cost;
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
