// Discrete-event simulation of one service in several failure domains, for the tests and the
// benchmark of domain_overflow.
//
// Example:
//
//     overflow_simulation run({.demand = [](std::size_t domain, double) {
//                                  return domain == 0 ? 1.4 : 0.5; }},
//                             domain_overflow_options{}, 1);
//     run.run();
//     double in_time = run.all().in_time_share();

#ifndef TREFOIL_ROUTING_TESTING_OVERFLOW_SIMULATION_H_
#define TREFOIL_ROUTING_TESTING_OVERFLOW_SIMULATION_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "routing/domain_overflow.h"
#include "routing/load_table.h"
#include "routing/upstream_picker.h"

namespace trefoil::routing {

struct call_kind {
    std::string route;
    double work_s;
    double objective_s;
    double share;  // Of all calls.
};

enum class domain_event : std::uint8_t { lost, taken_out, returns_cold };

struct overflow_load {
    std::vector<std::size_t> upstreams = {13, 13, 12};  // By domain.
    std::size_t daemons_per_domain = 27;
    std::uint32_t slots = 12;
    double one_way_s = 0.0044;  // Between domains.
    double seconds = 60;
    // Calls that arrive in a domain, as a multiple of the capacity of a mean domain.
    std::function<double(std::size_t domain, double second)> demand;
    std::vector<call_kind> kinds = {{"status", 0.079, 0.300, 0.4}, {"lookup", 0.200, 0.600, 0.6}};
    std::vector<double> time_factors = {0.6, 1.0, 1.4};  // Of the upstreams, round robin.
    struct timed_event {
        double second;
        std::size_t domain = 0;
        domain_event event;
    };
    std::vector<timed_event> events;
};

struct overflow_tally {
    std::uint64_t calls = 0, in_time = 0, refused = 0, attempts = 0, crossed = 0;
    double in_time_share() const { return share(this->in_time, this->calls); }
    double crossed_share() const { return share(this->crossed, this->attempts); }
    static double share(std::uint64_t part, std::uint64_t whole) {
        return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, whole));
    }
    void add(const overflow_tally& other) {
        this->calls += other.calls;
        this->in_time += other.in_time;
        this->refused += other.refused;
        this->attempts += other.attempts;
        this->crossed += other.crossed;
    }
};

// Calls arrive at random daemons of a domain. An upstream runs `slots` of them at once, or fewer
// while it is cold, and refuses a call that it expects to be late. A refused call is sent to up to
// three others.
class overflow_simulation {
public:
    using share_list = std::vector<double>;  // By daemon.

    // Without options the calls compare the upstreams of all domains.
    overflow_simulation(overflow_load what, const std::optional<domain_overflow_options>& with,
                        std::uint64_t seed)
        : plan(std::move(what)), random(seed) {
        double mean_work = 0;
        for (const call_kind& each : this->plan.kinds) {
            mean_work += each.share * each.work_s;
        }
        for (std::size_t domain = 0; domain < this->plan.upstreams.size(); ++domain) {
            for (std::size_t index = 0; index < this->plan.upstreams[domain]; ++index) {
                upstream each{.domain = domain, .work_s = mean_work};
                std::size_t position = this->upstreams.size();
                each.factor = this->plan.time_factors[position % this->plan.time_factors.size()];
                this->capacity += this->plan.slots / (mean_work * each.factor);
                this->candidates.push_back(
                    {.instance = std::to_string(position), .failure_domain = name_of(domain)});
                this->upstreams.push_back(std::move(each));
            }
            for (std::size_t index = 0; index < this->plan.daemons_per_domain; ++index) {
                this->daemons.push_back(std::make_unique<daemon>(name_of(domain), with));
                for (const candidate& each : this->candidates) {
                    this->daemons.back()->loads.set_connected(each.instance, true);
                }
            }
        }
        this->publish();
    }

    void run() {
        for (std::size_t domain = 0; domain < this->plan.upstreams.size(); ++domain) {
            this->after(0, [this, domain] { this->arrive(domain); });
        }
        for (const auto& each : this->plan.events) {
            this->after(each.second, [this, each] { this->change(each.domain, each.event); });
        }
        this->after(1, [this] { this->sample(); });
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
    }

    std::map<std::string, overflow_tally> by_kind;
    std::vector<std::map<std::size_t, overflow_tally>> by_second;  // By domain of the caller.
    std::vector<share_list> shares;  // Of each second, of daemons with overflow.

    overflow_tally all(std::size_t from = 0) const {
        overflow_tally sum;
        for (std::size_t second = from; second < this->by_second.size(); ++second) {
            for (const auto& [domain, each] : this->by_second[second]) {
                sum.add(each);
            }
        }
        return sum;
    }
    overflow_tally of_domain(std::size_t domain, std::size_t from, std::size_t until) const {
        overflow_tally sum;
        for (std::size_t second = from; second < std::min(until, this->by_second.size());
             ++second) {
            auto found = this->by_second[second].find(domain);
            sum.add(found == this->by_second[second].end() ? overflow_tally{} : found->second);
        }
        return sum;
    }
    // Mean share over the daemons of the domain.
    double share_of(std::size_t domain, std::size_t second) const {
        const share_list& each = this->shares.at(second);
        auto first = each.begin() + static_cast<std::ptrdiff_t>(domain * this->daemons_each());
        auto last = first + static_cast<std::ptrdiff_t>(this->daemons_each());
        double sum = 0;
        std::for_each(first, last, [&](double share) { sum += share; });
        return sum / static_cast<double>(this->daemons_each());
    }
    std::size_t daemons_each() const { return this->plan.daemons_per_domain; }

private:
    struct daemon {
        daemon(const std::string& domain, std::optional<domain_overflow_options> with)
            : picker({.failure_domain = domain}) {
            if (with.has_value()) {
                with->failure_domain = domain;
                this->overflow = std::make_unique<domain_overflow>(*with);
            }
        }
        upstream_picker picker;
        load_table loads;
        std::unique_ptr<domain_overflow> overflow;
    };
    struct call {
        std::size_t daemon = 0;
        const call_kind* kind = nullptr;
        mono_time arrived;
        std::vector<std::string> tried;
    };
    using call_pointer = std::shared_ptr<call>;
    struct upstream {
        std::size_t domain = 0;
        double factor = 1;
        double work_s = 0;  // Of all kinds, without the factor.
        std::uint32_t running = 0;
        std::deque<call_pointer> queue;
        bool alive = true;
        std::uint64_t starts = 0;
        std::optional<mono_time> cold_since;
    };

    static std::string name_of(std::size_t domain) { return "d" + std::to_string(domain); }
    double since_start() const { return std::chrono::duration<double>(this->now - origin).count(); }

    void after(double seconds, std::function<void()> event) {
        auto delay =
            std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(seconds));
        this->events.emplace(this->now + delay, std::move(event));
    }
    double exponential(double mean) { return -std::log(1.0 - this->random.uniform()) * mean; }
    void publish() {
        this->list = std::make_shared<const candidate_list>(
            candidate_list::services{{"service", this->candidates}});
    }
    overflow_tally& tally_of(const call& each) {
        auto second =
            static_cast<std::size_t>(std::chrono::duration<double>(each.arrived - origin).count());
        this->by_second.resize(std::max(this->by_second.size(), second + 1));
        return this->by_second[second][each.daemon / this->daemons_each()];
    }

    void arrive(std::size_t domain) {
        double second = this->since_start();
        if (second >= this->plan.seconds) {
            return;
        }
        double rate = this->plan.demand(domain, second) * this->capacity /
                      static_cast<double>(this->plan.upstreams.size());
        auto each = std::make_shared<call>();
        each->daemon = domain * this->daemons_each() + this->random.below(this->daemons_each());
        each->kind = &this->plan.kinds.front();
        double point = this->random.uniform();
        for (const call_kind& kind : this->plan.kinds) {
            each->kind = &kind;
            if (point < kind.share) {
                break;
            }
            point -= kind.share;
        }
        each->arrived = this->now;
        ++this->tally_of(*each).calls;
        ++this->by_kind[each->kind->route].calls;
        this->send(each);
        this->after(this->exponential(1 / rate), [this, domain] { this->arrive(domain); });
    }

    pick_result choose(const call& each) {
        daemon& from = *this->daemons[each.daemon];
        pick_context context{
            .route = each.kind->route,
            .objective = std::chrono::milliseconds(std::lround(each.kind->objective_s * 1000)),
            .payload_kib = 0.2};
        const auto& all = this->list->of_service("service");
        if (from.overflow != nullptr) {
            auto target = from.overflow->choose({.service = "service",
                                                 .objective = context.objective,
                                                 .attempted_before = !each.tried.empty()},
                                                this->list, from.loads, this->now, this->random);
            if (target.among != nullptr) {
                auto found = from.picker.pick_among(all, *target.among, each.tried, from.loads,
                                                    context, this->now, this->random);
                if (std::holds_alternative<picked_upstream>(found)) {
                    return found;
                }
            }
        }
        return from.picker.pick(all, each.tried, from.loads, context, this->now, this->random);
    }

    void send(const call_pointer& each) {
        auto found = this->choose(*each);
        const auto* picked = std::get_if<picked_upstream>(&found);
        constexpr std::size_t max_attempts = 4;
        if (picked == nullptr || each->tried.size() >= max_attempts) {
            ++this->tally_of(*each).refused;
            ++this->by_kind[each->kind->route].refused;
            return;
        }
        daemon& from = *this->daemons[each->daemon];
        const std::string& name = picked->chosen.instance;
        each->tried.push_back(name);
        from.loads.on_call_sent(name, this->now);
        std::size_t target = std::stoul(name);
        bool crosses = this->upstreams[target].domain != each->daemon / this->daemons_each();
        ++this->tally_of(*each).attempts;
        this->tally_of(*each).crossed += crosses ? 1 : 0;
        this->by_kind[each->kind->route].crossed += crosses ? 1 : 0;
        ++this->by_kind[each->kind->route].attempts;
        if (from.overflow != nullptr) {
            from.overflow->on_sent("service", picked->chosen.failure_domain);
        }
        this->after(this->way(*each, target), [this, each, target] { this->offer(each, target); });
    }

    double way(const call& each, std::size_t target) const {
        constexpr double within_domain_s = 0.0003;
        return this->upstreams[target].domain == each.daemon / this->daemons_each()
                   ? within_domain_s
                   : this->plan.one_way_s;
    }

    std::uint32_t limit_of(const upstream& each) const {
        constexpr double warm_up_s = 10;
        if (!each.cold_since.has_value()) {
            return this->plan.slots;
        }
        double warm =
            std::chrono::duration<double>(this->now - *each.cold_since).count() / warm_up_s;
        return std::min(this->plan.slots, 1 + static_cast<std::uint32_t>(warm * this->plan.slots));
    }

    void offer(const call_pointer& each, std::size_t target) {
        upstream& to = this->upstreams[target];
        if (!to.alive) {
            return this->reply(each, target, true, true);
        }
        double limit = this->limit_of(to);
        double wait = to.running < limit ? 0
                                         : static_cast<double>(to.queue.size() + 1) / limit *
                                               to.work_s * to.factor;
        double elapsed = std::chrono::duration<double>(this->now - each->arrived).count();
        constexpr double slow_factor = 1.6;  // High percentile of the service time.
        double expected = elapsed + wait + slow_factor * each->kind->work_s * to.factor;
        if (wait > 0 && expected > each->kind->objective_s) {
            return this->reply(each, target, true, false);
        }
        to.queue.push_back(each);
        this->start_next(target);
    }

    void start_next(std::size_t target) {
        upstream& to = this->upstreams[target];
        while (!to.queue.empty() && to.running < this->limit_of(to)) {
            call_pointer each = to.queue.front();
            to.queue.pop_front();
            ++to.running;
            double fixed = each->kind->work_s * to.factor / 2;
            this->after(fixed + this->exponential(fixed), [=, this, starts = to.starts] {
                if (this->upstreams[target].starts != starts) {
                    return;  // Lost with its upstream.
                }
                --this->upstreams[target].running;
                this->reply(each, target, false, false);
                this->start_next(target);
            });
        }
    }

    void reply(const call_pointer& each, std::size_t target, bool refused, bool failed) {
        const upstream& to = this->upstreams[target];
        auto us = [](double seconds) { return static_cast<std::uint32_t>(seconds * 1e6); };
        messages::load_report report{.running = to.running,
                                     .queued = static_cast<std::uint32_t>(to.queue.size()),
                                     .limit = this->limit_of(to),
                                     .service_us = us(each->kind->work_s * to.factor),
                                     .mean_service_us = us(to.work_s * to.factor)};
        double way_s = this->way(*each, target);
        this->after(way_s, [=, this] {
            daemon& from = *this->daemons[each->daemon];
            std::string name = std::to_string(target);
            from.loads.on_call_ended(name);
            if (failed) {
                from.loads.set_connected(name, false);
                from.loads.on_connection_failed(name, this->now);
                return this->send(each);
            }
            from.loads.on_report(name, report, this->now);
            from.loads.on_service_time(name, each->kind->route,
                                       std::chrono::microseconds(report.service_us),
                                       std::chrono::microseconds(us(2 * way_s)));
            if (from.overflow != nullptr) {
                from.overflow->on_result("service", name_of(this->upstreams[target].domain),
                                         refused, this->now);
            }
            if (refused) {
                return this->send(each);
            }
            bool in_time = std::chrono::duration<double>(this->now - each->arrived).count() <=
                           each->kind->objective_s;
            this->tally_of(*each).in_time += in_time ? 1 : 0;
            this->by_kind[each->kind->route].in_time += in_time ? 1 : 0;
        });
    }

    void change(std::size_t domain, domain_event event) {
        for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
            upstream& each = this->upstreams[index];
            if (each.domain != domain) {
                continue;
            }
            each.alive = event != domain_event::lost;
            this->candidates[index].taken_out = event == domain_event::taken_out;
            if (event == domain_event::lost) {
                ++each.starts;
                each.running = 0;
                each.queue.clear();
            } else if (event == domain_event::returns_cold) {
                each.cold_since = this->now;
                for (const auto& from : this->daemons) {
                    from->loads.set_connected(std::to_string(index), true);
                }
            }
        }
        this->publish();
    }

    void sample() {
        share_list each;
        for (const auto& from : this->daemons) {
            auto states = from->overflow == nullptr ? std::vector<overflow_state>{}
                                                    : from->overflow->states();
            each.push_back(states.empty() ? 0 : states.front().share);
        }
        this->shares.push_back(std::move(each));
        if (this->since_start() + 1 < this->plan.seconds) {
            this->after(1, [this] { this->sample(); });
        }
    }

    static constexpr mono_time origin{std::chrono::hours(1)};
    overflow_load plan;
    seeded_random random;
    mono_time now = origin;
    double capacity = 0;  // Calls a second of all upstreams.
    std::multimap<mono_time, std::function<void()>> events;
    std::vector<candidate> candidates;
    std::shared_ptr<const candidate_list> list;
    std::vector<upstream> upstreams;
    std::vector<std::unique_ptr<daemon>> daemons;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_TESTING_OVERFLOW_SIMULATION_H_
