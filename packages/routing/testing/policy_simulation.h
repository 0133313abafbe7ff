// Discrete-event simulation of ingresses, gates and model upstreams, for the policy benchmark.
//
// Example:
//
//     routing::simulation run(where, rules, {.failure = routing::domain_failure::killed}, 1);
//     run.run();
//     double served = run.by_second[5].share(run.by_second[5].served);

#ifndef TREFOIL_ROUTING_TESTING_POLICY_SIMULATION_H_
#define TREFOIL_ROUTING_TESTING_POLICY_SIMULATION_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gate/testing/model_upstream.h"
#include "gate/upstream_gate.h"
#include "routing/retry_policy.h"
#include "routing/testing/policy_scenario.h"
#include "routing/upstream_picker.h"

namespace trefoil::routing {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct bench_call {
    std::size_t ingress = 0;
    std::size_t workspace = 0;
    mono_time arrived;
    call_attempts attempts;
    std::vector<std::string> tried;
};
using call_pointer = std::shared_ptr<bench_call>;

struct instance {
    candidate self;
    std::unique_ptr<gate::upstream_gate> gate;
    std::unique_ptr<gate::model_upstream> upstream;
    std::unique_ptr<upstream_picker> picker;
    load_table loads;
    retry_budget budget{{}};
    std::size_t next = 0;  // Next index for round robin.
    bool alive = true;
    bool upstream_down = false;
    std::uint64_t starts = 0;                      // Incremented when the instance is killed.
    std::map<std::uint64_t, call_pointer> served;  // Calls at this egress, by sequence.
};

class simulation {
public:
    simulation(site where, rules with, scenario what, std::uint64_t seed)
        : place(std::move(where)), rule(std::move(with)), plan(what), random(seed) {
        for (std::size_t index = 0; index < this->place.upstreams; ++index) {
            auto& each = *this->instances.emplace_back(std::make_unique<instance>());
            each.self.instance = std::to_string(index);
            each.self.failure_domain = "d" + std::to_string(index % this->place.domains);
            each.picker = std::make_unique<upstream_picker>(
                upstream_picker_options{.failure_domain = each.self.failure_domain});
            each.upstream = std::make_unique<gate::model_upstream>(
                gate::model_upstream_options{.slots = this->place.slots});
            this->new_gate(each);
        }
    }

    void run() {
        this->schedule_arrival(this->now);
        if (this->plan.failure != domain_failure::none) {
            this->at(origin + seconds(5), [this] { this->fail_domain(); });
            this->at(origin + seconds(8), [this] { this->list_state(candidate_state::suspected); });
            this->at(origin + seconds(15), [this] { this->restore_domain(); });
            this->at(origin + seconds(16), [this] { this->list_state(candidate_state::live); });
        }
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
    }

    std::array<tally, measured_seconds> by_second{};
    std::array<tally, workspaces> by_workspace{};
    std::uint64_t retries = 0;
    std::uint64_t above_capacity() const {
        std::uint64_t total = 0;
        for (const auto& each : this->instances) {
            total += each->upstream->calls_above_capacity();
        }
        return total;
    }

private:
    void at(mono_time time, std::function<void()> event) {
        this->events.emplace(time, std::move(event));
    }

    void new_gate(instance& each) {
        gate::upstream_gate_options options{.limit = {.slots = this->place.slots}};
        each.gate = this->rule.fixed_limit
                        ? std::make_unique<gate::upstream_gate>(
                              options, std::make_unique<gate::fixed_limit>(this->place.slots))
                        : std::make_unique<gate::upstream_gate>(options);
    }

    microseconds hop(std::size_t from, std::size_t to) const {
        bool near = from % this->place.domains == to % this->place.domains;
        return near ? microseconds(50) : this->place.one_way;
    }

    // Arrivals begin 20 s before the first measured second, so that the limits of the gates have
    // grown to the number of slots by then.
    void schedule_arrival(mono_time time) {
        if (time >= origin + seconds(measured_seconds)) {
            return;
        }
        double weights = 15 + this->workspace_weight(0);
        // The mean of the model's service time between half and double is 1.08 times its median.
        double rate = this->place.load * static_cast<double>(this->place.upstreams) *
                      this->place.slots / (0.020 * 1.08) * weights / 21;
        std::chrono::duration<double> gap(-std::log(1.0 - this->random.uniform()) / rate);
        this->at(time, [this, next = time + duration_cast<mono_duration>(gap)] {
            this->arrive();
            this->schedule_arrival(next);
        });
    }

    double workspace_weight(std::size_t index) const {
        return workspace_weights[index] * (index == 0 ? this->plan.noise : 1);
    }

    std::size_t random_workspace() {
        double point = this->random.uniform() * (15 + this->workspace_weight(0));
        std::size_t index = 0;
        while (index + 1 < workspaces && point >= this->workspace_weight(index)) {
            point -= this->workspace_weight(index++);
        }
        return index;
    }

    void arrive() {
        auto call = std::make_shared<bench_call>();
        do {
            call->ingress = this->random.below(this->instances.size());
        } while (!this->instances[call->ingress]->alive);
        call->workspace = this->random_workspace();
        call->arrived = this->now;
        call->attempts = {.idempotent = this->random.below(10) < 8,
                          .deadline = this->now + milliseconds(1000)};
        this->instances[call->ingress]->budget.count_call(this->now);
        this->send(call);
    }

    std::optional<std::size_t> choose(const bench_call& call) {
        instance& from = *this->instances[call.ingress];
        std::vector<candidate> usable;
        for (const auto& each : this->instances) {
            instance_load load = from.loads.find(each->self.instance);
            bool failed = load.connection_failed_at.has_value() &&
                          this->now < *load.connection_failed_at + seconds(1);
            bool tried = std::find(call.tried.begin(), call.tried.end(), each->self.instance) !=
                         call.tried.end();
            if (each->self.accepts_work() && !failed && !tried) {
                usable.push_back(each->self);
            }
        }
        if (usable.empty()) {
            return std::nullopt;
        }
        const candidate* chosen = &usable[from.next++ % usable.size()];
        if (this->rule.choice == choice_rule::least_in_flight) {
            for (const candidate& each : usable) {
                bool less = from.loads.find(each.instance).in_flight <
                            from.loads.find(chosen->instance).in_flight;
                chosen = less ? &each : chosen;
            }
        } else if (this->rule.choice != choice_rule::round_robin) {
            auto result = from.picker->pick(usable, {}, from.loads, this->now, this->random);
            return std::stoul(std::get<picked_upstream>(result).chosen.instance);
        }
        return std::stoul(chosen->instance);
    }

    void send(const call_pointer& call) {
        std::optional<std::size_t> target = this->choose(*call);
        if (!target.has_value()) {
            return this->count(*call, &tally::refused);
        }
        std::string name = std::to_string(*target);
        call->tried.push_back(name);
        this->instances[call->ingress]->loads.on_call_sent(name, this->now);
        this->at(this->now + this->hop(call->ingress, *target),
                 [this, call, target] { this->offer(call, *target); });
    }

    void offer(const call_pointer& call, std::size_t target) {
        instance& egress = *this->instances[target];
        mono_time detected = origin + seconds(7);
        if (!egress.alive && this->plan.failure == domain_failure::silent && this->now < detected) {
            return this->at(detected,
                            [=, this] { this->reply(call, target, attempt_end::no_reply, true); });
        }
        if (!egress.alive) {
            return this->reply(call, target, attempt_end::not_sent, true);
        }
        std::uint64_t sequence = ++this->sequences;
        std::string workspace = this->rule.fifo ? "all" : std::to_string(call->workspace);
        gate::call_id id{"ingress", 1, sequence};
        egress.served[sequence] = call;
        auto offered = egress.gate->offer({id, workspace, call->attempts.deadline}, this->now);
        if (std::holds_alternative<gate::start_now>(offered.decision)) {
            this->start(target, sequence);
        } else if (std::holds_alternative<gate::refusal>(offered.decision)) {
            egress.served.erase(sequence);
            this->reply(call, target, attempt_end::not_run_reply, false);
        }
        this->apply(target, offered.changes);
        if (auto wakeup = egress.gate->next_wakeup()) {
            this->at(std::max(*wakeup, this->now), [this, target, starts = egress.starts] {
                if (this->instances[target]->starts == starts) {
                    this->apply(target, this->instances[target]->gate->expire(this->now));
                }
            });
        }
    }

    void apply(std::size_t target, const gate::gate_changes& changes) {
        for (const gate::call_id& id : changes.start) {
            this->start(target, id.sequence);
        }
        for (const gate::refused_call& each : changes.refused) {
            auto call = this->instances[target]->served.extract(each.id.sequence);
            this->reply(call.mapped(), target, attempt_end::not_run_reply, false);
        }
    }

    void start(std::size_t target, std::uint64_t sequence) {
        instance& egress = *this->instances[target];
        gate::model_response response = egress.upstream->begin(this->now, this->random);
        if (egress.upstream_down) {
            response = {gate::call_result_kind::connection_refused, milliseconds(1)};
        }
        this->at(this->now + response.latency, [=, this, starts = egress.starts] {
            instance& again = *this->instances[target];
            again.upstream->end();
            if (again.starts != starts) {
                return;
            }
            auto call = again.served.extract(sequence).mapped();
            gate::gate_changes changes = again.gate->finish({"ingress", 1, sequence}, response.kind,
                                                            response.latency, this->now);
            std::optional<attempt_end> end;
            if (response.kind == gate::call_result_kind::connection_refused) {
                end = attempt_end::not_run_reply;
            } else if (response.kind != gate::call_result_kind::good) {
                end = attempt_end::unknown_reply;
            }
            this->reply(call, target, end, false);
            this->apply(target, changes);
        });
    }

    // Reports the end of an attempt to the ingress; without `end` it is a good response.
    void reply(const call_pointer& call, std::size_t target, std::optional<attempt_end> end,
               bool connection_failed) {
        messages::load_report load = this->instances[target]->gate->load();
        if (this->rule.choice == choice_rule::two_without_reports) {
            load = {.running = 0, .queued = 0, .limit = this->place.slots};
        }
        this->at(this->now + this->hop(call->ingress, target), [=, this] {
            instance& from = *this->instances[call->ingress];
            std::string name = std::to_string(target);
            from.loads.on_call_ended(name);
            if (connection_failed) {
                from.loads.on_connection_failed(name, this->now);
            } else {
                from.loads.on_report(name, load, this->now);
            }
            if (end == attempt_end::not_run_reply) {
                from.loads.on_refused(name, this->now);
            } else if (!end.has_value()) {
                from.loads.on_accepted(name);
            }
            if (!end.has_value()) {
                bool late = this->now > call->arrived + milliseconds(250);
                return this->count(*call, late ? &tally::late : &tally::served);
            }
            retry_policy policy({});
            auto decision = policy.decide(call->attempts, *end, from.budget, this->now);
            if (std::holds_alternative<give_up>(decision)) {
                return this->count(*call, &tally::refused);
            }
            this->retries += this->now >= origin ? 1 : 0;
            this->send(call);
        });
    }

    void count(const bench_call& call, std::uint64_t tally::*outcome) {
        if (call.arrived < origin) {
            return;
        }
        auto second = duration_cast<seconds>(call.arrived - origin).count();
        for (tally* each : {&this->by_second.at(static_cast<std::size_t>(second)),
                            &this->by_workspace.at(call.workspace)}) {
            ++each->calls;
            ++(each->*outcome);
        }
    }

    void fail_domain() {
        for (std::size_t index = 0; index < this->instances.size(); index += this->place.domains) {
            instance& each = *this->instances[index];
            if (this->plan.failure == domain_failure::upstream_down) {
                each.upstream_down = true;
                continue;
            }
            each.alive = false;
            ++each.starts;
            bool silent = this->plan.failure == domain_failure::silent;
            for (auto& [sequence, lost] : std::exchange(each.served, {})) {
                this->at(this->now + (silent ? seconds(2) : seconds(0)),
                         [this, call = lost, index] {
                             this->reply(call, index, attempt_end::no_reply, true);
                         });
            }
        }
    }
    void restore_domain() {
        for (std::size_t index = 0; index < this->instances.size(); index += this->place.domains) {
            instance& each = *this->instances[index];
            if (!each.alive) {
                this->new_gate(each);
            }
            each.upstream->restart(this->now);
            each.upstream_down = false;
            each.alive = true;
        }
    }
    void list_state(candidate_state state) {
        if (this->plan.failure == domain_failure::upstream_down) {
            return;
        }
        for (std::size_t index = 0; index < this->instances.size(); index += this->place.domains) {
            this->instances[index]->self.state = state;
        }
    }

    site place;
    rules rule;
    scenario plan;
    seeded_random random;
    mono_time now = origin - seconds(20);
    std::multimap<mono_time, std::function<void()>> events;
    std::vector<std::unique_ptr<instance>> instances;
    std::uint64_t sequences = 0;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_TESTING_POLICY_SIMULATION_H_
