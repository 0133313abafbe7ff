// Simulates the selection of upstreams by many ingresses for a service near or above its capacity.
// Checks how many calls are served, how many of them in time, and the attempts per call.

#define BOOST_TEST_MODULE daemon_upstream_selector
#include "daemon/upstream_selector.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.h"
#include "daemon/refusal.h"
#include "gate/slot_limit.h"
#include "gate/upstream_gate.h"

namespace trefoil::daemon {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ingress_call_ptr = std::shared_ptr<detail::ingress_call>;

constexpr std::size_t domains = 4;
constexpr std::uint32_t slots = 12;
constexpr mono_time origin{std::chrono::hours(1)};
constexpr milliseconds one_way{10};
constexpr milliseconds objective{800};
constexpr seconds time_limit{3};
// Mean service times in seconds; upstream i has that at index i % 3.
constexpr std::array<double, 3> mean_service_times_s = {0.18, 0.30, 0.42};

struct fleet {
    std::size_t upstreams = 72;
    std::size_t daemons = 91;
    // Processing time of a message at the daemon that receives it, which handles one at a time.
    milliseconds message_time{0};
};

struct load_plan {
    // Arrival rate as a multiple of the capacity of the upstreams, by time since the start.
    std::function<double(mono_duration)> load;
    // Calls that arrive in this interval are counted. Arrivals continue until all of them have
    // ended.
    milliseconds counted_from{3000};
    milliseconds counted_to{8000};
};

struct outcome {
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t most_attempts = 0;  // Highest number for a single call.
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;

    double share(std::uint64_t part) const {
        return static_cast<double>(part) / static_cast<double>(this->calls);
    }
    double served() const { return this->share(this->in_time + this->late); }
    double attempts_per_call() const { return this->share(this->attempts); }
};

// Calls arrive at random daemons. Each daemon selects upstreams from its own observations.
class service_simulation {
public:
    service_simulation(const fleet& given, load_plan planned, std::uint64_t seed)
        : size(given), planned_load(std::move(planned)), random(seed) {
        routing::candidate_list::services services;
        for (std::size_t i = 0; i < given.upstreams; ++i) {
            services["station"].push_back({.instance = std::to_string(i),
                                           .address = std::to_string(i),
                                           .failure_domain = domain_of(i)});
            this->gates.push_back(std::make_unique<gate::upstream_gate>(
                gate::upstream_gate_options{},
                std::make_unique<gate::slot_limit>(gate::slot_limit_options{.slots = slots})));
            this->capacity += slots / mean_service_times_s[i % mean_service_times_s.size()];
        }
        this->shared.candidates.publish(
            std::make_shared<const routing::candidate_list>(std::move(services)));
        for (std::size_t i = 0; i < given.daemons; ++i) {
            this->selectors.push_back(
                std::make_unique<upstream_selector>(domain_of(i), this->shared));
            for (std::size_t j = 0; j < given.upstreams; ++j) {
                this->selectors.back()->set_connected(std::to_string(j), true);
            }
        }
        this->free_at.resize(given.daemons, origin);
    }

    outcome run() {
        this->create_call();
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        return this->counted;
    }

private:
    struct call_at_egress {
        std::size_t ingress = 0;
        std::shared_ptr<detail::attempt> attempt;
        mono_time received_at;
        mono_time started = {};
    };

    static std::string domain_of(std::size_t index) {
        return "d" + std::to_string(index % domains);
    }

    void schedule(mono_time time, std::function<void()> event) {
        this->events.emplace(time, std::move(event));
    }

    mono_duration exponential(double mean_s) {
        std::chrono::duration<double> time(-std::log(1.0 - this->random.uniform()) * mean_s);
        return duration_cast<mono_duration>(time);
    }

    void deliver_message(std::size_t to, std::function<void()> handle) {
        this->schedule(this->now + one_way, [this, to, handle = std::move(handle)]() mutable {
            this->free_at[to] = std::max(this->free_at[to], this->now) + this->size.message_time;
            this->schedule(this->free_at[to], std::move(handle));
        });
    }

    bool is_counted(const detail::ingress_call& call) const {
        return call.arrived >= origin + this->planned_load.counted_from &&
               call.arrived < origin + this->planned_load.counted_to;
    }

    void create_call() {
        if (this->now >= origin + this->planned_load.counted_to + time_limit) {
            return;
        }
        auto call = std::make_shared<detail::ingress_call>();
        call->arrived = this->now;
        call->objective = objective;
        call->message.service = "station";
        call->message.route = "read";
        call->message.may_be_late = false;
        call->history.deadline = this->now + time_limit;
        this->counted.calls += this->is_counted(*call) ? 1 : 0;
        this->send_attempt(this->random.below(this->size.daemons), call);
        double rate = this->planned_load.load(this->now - origin) * this->capacity;
        this->schedule(this->now + this->exponential(1 / rate), [this] { this->create_call(); });
    }

    void send_attempt(std::size_t ingress, const ingress_call_ptr& call) {
        auto found = this->selectors[ingress]->pick(*call, this->now, this->random);
        const auto* picked = std::get_if<routing::picked_upstream>(&found);
        if (picked == nullptr || this->now >= call->history.deadline) {
            return;
        }
        auto started = std::make_shared<detail::attempt>();
        started->call = call;
        started->instance = picked->chosen.instance;
        started->sent_at = this->now;
        call->tried.push_back(started->instance);
        ++call->attempts_sent;
        this->selectors[ingress]->record_sent(started->instance, this->now);
        if (this->is_counted(*call)) {
            ++this->counted.attempts;
            this->counted.most_attempts =
                std::max(this->counted.most_attempts, call->attempts_sent);
        }
        std::size_t target = std::stoul(started->instance);
        this->deliver_message(target, [this, ingress, target, started] {
            this->handle_at_egress(
                target, {.ingress = ingress, .attempt = started, .received_at = this->now});
        });
    }

    void handle_at_egress(std::size_t target, call_at_egress given) {
        const detail::ingress_call& call = *given.attempt->call;
        gate::call_id id{.instance = "ingress", .incarnation = 1, .sequence = ++this->sequences};
        gate::offered_call offered{.id = id,
                                   .workspace = "north",
                                   .deadline = call.history.deadline,
                                   .route = call.message.route,
                                   .objective_at = call.objective_at(),
                                   .may_be_late = call.message.may_be_late};
        this->held[id.sequence] = std::move(given);
        gate::offer_result result = this->gates[target]->offer(offered, this->now);
        if (std::holds_alternative<gate::start_now>(result.decision)) {
            this->start_call(target, id);
        } else if (const auto* refused = std::get_if<gate::refusal>(&result.decision)) {
            this->refuse_call(target, id, *refused);
        }
        this->apply(target, result.changes);
        this->schedule_expiry(target);
    }

    void schedule_expiry(std::size_t target) {
        if (auto wakeup = this->gates[target]->next_wakeup()) {
            this->schedule(std::max(*wakeup, this->now), [this, target] {
                this->apply(target, this->gates[target]->expire(this->now));
            });
        }
    }

    void apply(std::size_t target, const gate::gate_changes& changes) {
        for (const gate::call_id& id : changes.start) {
            this->start_call(target, id);
        }
        for (const gate::refused_call& each : changes.refused) {
            this->refuse_call(target, each.id, each.why);
        }
    }

    void start_call(std::size_t target, const gate::call_id& id) {
        double half_s = mean_service_times_s[target % mean_service_times_s.size()] / 2;
        mono_duration took = this->exponential(half_s) +
                             duration_cast<mono_duration>(std::chrono::duration<double>(half_s));
        this->schedule(this->now + took, [this, target, id, took] {
            auto changes =
                this->gates[target]->finish(id, gate::call_result_kind::good, took, this->now);
            this->send_result(target, id, {.outcome = messages::call_outcome::answered});
            this->apply(target, changes);
        });
    }

    void refuse_call(std::size_t target, const gate::call_id& id, const gate::refusal& why) {
        this->send_result(target, id,
                          {.outcome = why.outcome,
                           .reason = std::string(gate::reason_name(why.reason)),
                           .reached_upstream = false});
    }

    void send_result(std::size_t target, const gate::call_id& id, messages::call_result result) {
        call_at_egress ended = std::move(this->held.extract(id.sequence).mapped());
        const ingress_call_ptr call = ended.attempt->call;
        result.held_us = static_cast<std::uint32_t>(
            duration_cast<microseconds>(this->now - ended.received_at).count());
        result.load = this->gates[target]->load_for_route(call->message.route, this->now);
        this->deliver_message(ended.ingress, [this, ended, call, result] {
            this->selectors[ended.ingress]->record_result(*ended.attempt, result, this->now);
            if (result.outcome != messages::call_outcome::answered) {
                this->send_attempt(ended.ingress, call);
            } else if (this->is_counted(*call)) {
                bool met = this->now - call->arrived <= objective;
                ++(met ? this->counted.in_time : this->counted.late);
            }
        });
    }

    fleet size;
    load_plan planned_load;
    seeded_random random;
    double capacity = 0;  // Calls per second.
    mono_time now = origin;
    std::multimap<mono_time, std::function<void()>> events;
    shared_state shared;
    std::vector<std::unique_ptr<gate::upstream_gate>> gates;
    std::vector<std::unique_ptr<upstream_selector>> selectors;
    std::vector<mono_time> free_at;  // When each daemon has handled all received messages.
    std::map<std::uint64_t, call_at_egress> held;  // By sequence number.
    std::uint64_t sequences = 0;
    outcome counted;
};

// Share of the capacity that must be used when the load exceeds it.
constexpr double min_utilization = 0.95;

std::function<double(mono_duration)> steady(double load) {
    return [load](mono_duration) { return load; };
}

void report(const std::string& what, const outcome& counted) {
    BOOST_TEST_MESSAGE(what << ": " << counted.calls << " calls, " << counted.share(counted.in_time)
                            << " in time, " << counted.served() << " served, "
                            << counted.attempts_per_call() << " attempts per call, at most "
                            << counted.most_attempts);
}

}  // namespace

// Guards against refusal storms: if each call to an overloaded service is offered to one instance
// after the other, each refusal costs processing time at two daemons and no more calls are served.
BOOST_AUTO_TEST_CASE(calls_to_a_large_full_service_are_refused_after_few_attempts) {
    for (double load : {1.1, 1.5}) {
        outcome counted = service_simulation({}, {.load = steady(load)}, 1).run();
        report("load " + std::to_string(load), counted);
        BOOST_TEST(counted.attempts_per_call() <= 2.5);
        BOOST_TEST(counted.served() >= min_utilization / load);
    }
}

// Guards against a limit on attempts that keeps calls from finding the free slots of a service just
// below its capacity.
BOOST_AUTO_TEST_CASE(calls_to_a_large_service_near_its_capacity_find_free_slots) {
    outcome counted = service_simulation({}, {.load = steady(0.9)}, 1).run();
    report("load 0.9", counted);
    BOOST_TEST(counted.in_time >= counted.calls * 9 / 10);
    BOOST_TEST(counted.served() >= 0.99);
}

// Guards against refusals that take so much of slow daemons' processing time that messages queue up
// and most calls are late at 1.1 times the capacity.
BOOST_AUTO_TEST_CASE(slow_daemons_serve_most_calls_in_time_slightly_above_capacity) {
    fleet slow{.message_time = milliseconds(4)};
    outcome counted = service_simulation(slow, {.load = steady(1.1)}, 1).run();
    report("slow daemons, load 1.1", counted);
    BOOST_TEST(counted.in_time * 2 >= counted.calls);
    BOOST_TEST(counted.served() >= min_utilization / 1.1);
}

// Guards against a service that counts as overloaded long after it has free slots again.
BOOST_AUTO_TEST_CASE(calls_are_served_in_time_soon_after_an_overload) {
    load_plan overload{.load = [](mono_duration passed) { return passed < seconds(5) ? 1.5 : 0.5; },
                       .counted_from = milliseconds(6500),
                       .counted_to = milliseconds(9000)};
    outcome counted = service_simulation({}, overload, 1).run();
    report("after an overload", counted);
    BOOST_TEST(counted.in_time >= counted.calls * 19 / 20);
    BOOST_TEST(counted.attempts_per_call() <= 1.1);
}

// Guards against an ingress that gives up calls to a small service after few refusals, although it
// has accurate load reports of all instances.
BOOST_AUTO_TEST_CASE(calls_to_a_small_service_are_offered_to_all_instances) {
    fleet small{.upstreams = 6, .daemons = 10};
    outcome counted = service_simulation(small, {.load = steady(0.9)}, 1).run();
    report("six instances, load 0.9", counted);
    BOOST_TEST(counted.in_time >= counted.calls * 9 / 10);
    BOOST_TEST(counted.served() >= 0.99);
}

// Load pattern: a failure domain is taken out. With a limit of 0 calls stay in it before.
BOOST_AUTO_TEST_CASE(calls_leave_a_domain_that_is_taken_out_whatever_the_limit_is) {
    shared_state shared;
    upstream_selector selector(
        "d1", shared, routing::domain_overflow_options{.failure_domain = "d1", .limit = 0});
    seeded_random random(1);
    for (bool out : {false, true}) {
        std::vector<routing::candidate> candidates;
        for (int index = 0; index < 20; ++index) {
            std::string domain = index % 2 == 0 ? "d1" : "d2";
            candidates.push_back({.instance = std::to_string(index),
                                  .failure_domain = domain,
                                  .taken_out = out && domain == "d1"});
        }
        shared.candidates.publish(std::make_shared<const routing::candidate_list>(
            routing::candidate_list::services{{"station", candidates}}));
        for (int index = 0; index < 50; ++index) {
            detail::ingress_call call;
            call.message.service = "station";
            auto found = selector.pick(call, origin + milliseconds(index), random);
            const auto& chosen = std::get<routing::picked_upstream>(found).chosen;
            BOOST_TEST(chosen.failure_domain == (out ? "d2" : "d1"));
        }
        selector.expire(origin);
        BOOST_TEST(selector.overflow_states().front().share == (out ? 1 : 0));
    }
}

}  // namespace trefoil::daemon
