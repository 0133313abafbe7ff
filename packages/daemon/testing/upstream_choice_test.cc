// Tests of the choice of upstreams by many ingresses of a large service that is short of room: what
// calls get, and how often they are sent.

#define BOOST_TEST_MODULE daemon_upstream_choice
#include "daemon/upstream_choice.h"

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
using entry_pointer = std::shared_ptr<detail::entry_call>;

constexpr std::size_t domains = 4;
constexpr std::uint32_t slots = 12;
constexpr mono_time origin{std::chrono::hours(1)};
constexpr milliseconds one_way{10};
constexpr milliseconds objective{800};
constexpr seconds time_limit{3};
constexpr std::array<double, 3> mean_times_s = {0.18, 0.30, 0.42};  // Of upstreams, in turn.

struct fleet {
    std::size_t upstreams = 72;
    std::size_t daemons = 91;
    // Each message takes so long at the daemon that receives it, which handles one after the other.
    milliseconds message_time{0};
};

struct plan {
    // Arrivals as a multiple of what the upstreams can serve, by the time passed.
    std::function<double(mono_duration)> load;
    // Calls that arrive between these are counted. Arrivals go on until they are over.
    milliseconds counted_from{3000};
    milliseconds counted_to{8000};
};

struct outcome {
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t most_attempts = 0;  // For one call.
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;

    double share(std::uint64_t part) const {
        return static_cast<double>(part) / static_cast<double>(this->calls);
    }
    double served() const { return this->share(this->in_time + this->late); }
    double attempts_per_call() const { return this->share(this->attempts); }
};

// Calls arrive at random daemons, each of which chooses by what it learned itself.
class crowded_service {
public:
    crowded_service(const fleet& given, plan planned, std::uint64_t seed)
        : size(given), schedule(std::move(planned)), random(seed) {
        routing::candidate_list::services services;
        for (std::size_t i = 0; i < given.upstreams; ++i) {
            services["station"].push_back({.instance = std::to_string(i),
                                           .address = std::to_string(i),
                                           .failure_domain = domain_of(i)});
            this->gates.push_back(std::make_unique<gate::upstream_gate>(
                gate::upstream_gate_options{},
                std::make_unique<gate::slot_limit>(gate::slot_limit_options{.slots = slots})));
            this->capacity += slots / mean_times_s[i % mean_times_s.size()];
        }
        this->shared.candidates.publish(
            std::make_shared<const routing::candidate_list>(std::move(services)));
        for (std::size_t i = 0; i < given.daemons; ++i) {
            this->choices.push_back(std::make_unique<upstream_choice>(domain_of(i), this->shared));
            for (std::size_t j = 0; j < given.upstreams; ++j) {
                this->choices.back()->set_connected(std::to_string(j), true);
            }
        }
        this->free_at.resize(given.daemons, origin);
    }

    outcome run() {
        this->arrive();
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        return this->counted;
    }

private:
    struct held_call {
        std::size_t ingress = 0;
        std::shared_ptr<detail::attempt> attempt;
        mono_time came;
        mono_time started = {};
    };

    static std::string domain_of(std::size_t index) {
        return "d" + std::to_string(index % domains);
    }

    void at(mono_time time, std::function<void()> event) {
        this->events.emplace(time, std::move(event));
    }

    mono_duration exponential(double mean_s) {
        std::chrono::duration<double> time(-std::log(1.0 - this->random.uniform()) * mean_s);
        return duration_cast<mono_duration>(time);
    }

    void deliver(std::size_t to, std::function<void()> handle) {
        this->at(this->now + one_way, [this, to, handle = std::move(handle)]() mutable {
            this->free_at[to] = std::max(this->free_at[to], this->now) + this->size.message_time;
            this->at(this->free_at[to], std::move(handle));
        });
    }

    bool measured(const detail::entry_call& call) const {
        return call.arrived >= origin + this->schedule.counted_from &&
               call.arrived < origin + this->schedule.counted_to;
    }

    void arrive() {
        if (this->now >= origin + this->schedule.counted_to + time_limit) {
            return;
        }
        auto call = std::make_shared<detail::entry_call>();
        call->arrived = this->now;
        call->objective = objective;
        call->message.service = "station";
        call->message.route = "read";
        call->message.may_be_late = false;
        call->history.deadline = this->now + time_limit;
        this->counted.calls += this->measured(*call) ? 1 : 0;
        this->send(this->random.below(this->size.daemons), call);
        double rate = this->schedule.load(this->now - origin) * this->capacity;
        this->at(this->now + this->exponential(1 / rate), [this] { this->arrive(); });
    }

    void send(std::size_t ingress, const entry_pointer& call) {
        auto found = this->choices[ingress]->pick(*call, this->now, this->random);
        const auto* picked = std::get_if<routing::picked_upstream>(&found);
        if (picked == nullptr || this->now >= call->history.deadline) {
            return;
        }
        auto started = std::make_shared<detail::attempt>();
        started->call = call;
        started->instance = picked->chosen.instance;
        started->sent_at = this->now;
        call->tried.push_back(started->instance);
        ++call->sent;
        this->choices[ingress]->sent(started->instance, this->now);
        if (this->measured(*call)) {
            ++this->counted.attempts;
            this->counted.most_attempts = std::max(this->counted.most_attempts, call->sent);
        }
        std::size_t target = std::stoul(started->instance);
        this->deliver(target, [this, ingress, target, started] {
            this->offer(target, {.ingress = ingress, .attempt = started, .came = this->now});
        });
    }

    void offer(std::size_t target, held_call given) {
        const detail::entry_call& call = *given.attempt->call;
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
            this->start(target, id);
        } else if (const auto* refused = std::get_if<gate::refusal>(&result.decision)) {
            this->refuse(target, id, *refused);
        }
        this->apply(target, result.changes);
        this->wake(target);
    }

    void wake(std::size_t target) {
        if (auto wakeup = this->gates[target]->next_wakeup()) {
            this->at(std::max(*wakeup, this->now), [this, target] {
                this->apply(target, this->gates[target]->expire(this->now));
            });
        }
    }

    void apply(std::size_t target, const gate::gate_changes& changes) {
        for (const gate::call_id& id : changes.start) {
            this->start(target, id);
        }
        for (const gate::refused_call& each : changes.refused) {
            this->refuse(target, each.id, each.why);
        }
    }

    void start(std::size_t target, const gate::call_id& id) {
        double half_s = mean_times_s[target % mean_times_s.size()] / 2;
        mono_duration took = this->exponential(half_s) +
                             duration_cast<mono_duration>(std::chrono::duration<double>(half_s));
        this->at(this->now + took, [this, target, id, took] {
            auto changes =
                this->gates[target]->finish(id, gate::call_result_kind::good, took, this->now);
            this->reply(target, id, {.outcome = messages::call_outcome::answered});
            this->apply(target, changes);
        });
    }

    void refuse(std::size_t target, const gate::call_id& id, const gate::refusal& why) {
        this->reply(target, id,
                    {.outcome = why.outcome,
                     .reason = std::string(gate::reason_name(why.reason)),
                     .reached_upstream = false});
    }

    void reply(std::size_t target, const gate::call_id& id, messages::call_result result) {
        held_call ended = std::move(this->held.extract(id.sequence).mapped());
        const entry_pointer call = ended.attempt->call;
        result.held_us =
            static_cast<std::uint32_t>(duration_cast<microseconds>(this->now - ended.came).count());
        result.load = this->gates[target]->load_for(call->message.route, this->now);
        this->deliver(ended.ingress, [this, ended, call, result] {
            this->choices[ended.ingress]->result_came(*ended.attempt, result, this->now);
            if (result.outcome != messages::call_outcome::answered) {
                this->send(ended.ingress, call);
            } else if (this->measured(*call)) {
                bool met = this->now - call->arrived <= objective;
                ++(met ? this->counted.in_time : this->counted.late);
            }
        });
    }

    fleet size;
    plan schedule;
    seeded_random random;
    double capacity = 0;  // Calls a second.
    mono_time now = origin;
    std::multimap<mono_time, std::function<void()>> events;
    shared_state shared;
    std::vector<std::unique_ptr<gate::upstream_gate>> gates;
    std::vector<std::unique_ptr<upstream_choice>> choices;
    std::vector<mono_time> free_at;           // When the daemon has handled all messages that came.
    std::map<std::uint64_t, held_call> held;  // At the egresses.
    std::uint64_t sequences = 0;
    outcome counted;
};

// Of what the upstreams can serve, the part that they must serve while more is asked for.
constexpr double least_part_used = 0.95;

std::function<double(mono_duration)> steady(double load) {
    return [load](mono_duration) { return load; };
}

void report(const std::string& what, const outcome& counted) {
    BOOST_TEST_MESSAGE(what << ": " << counted.calls << " calls, " << counted.share(counted.in_time)
                            << " in time, " << counted.served() << " served, "
                            << counted.attempts_per_call() << " attempts for each, at most "
                            << counted.most_attempts);
}

}  // namespace

// Guards against storms of refusals: while a service is full, each call asks one instance after the
// other, which costs every time the time of two daemons and wins nothing on the whole.
BOOST_AUTO_TEST_CASE(calls_to_a_large_full_service_are_refused_after_few_attempts) {
    for (double load : {1.1, 1.5}) {
        outcome counted = crowded_service({}, {.load = steady(load)}, 1).run();
        report("load " + std::to_string(load), counted);
        BOOST_TEST(counted.attempts_per_call() <= 2.5);
        BOOST_TEST(counted.served() >= least_part_used / load);
    }
}

// Guards against what fewer attempts could break: calls that do not find the room that there is.
BOOST_AUTO_TEST_CASE(calls_to_a_large_service_with_little_room_find_it) {
    outcome counted = crowded_service({}, {.load = steady(0.9)}, 1).run();
    report("load 0.9", counted);
    BOOST_TEST(counted.in_time >= counted.calls * 9 / 10);
    BOOST_TEST(counted.served() >= 0.99);
}

// Guards against refusals that slow daemons have no time for: with a tenth more calls than the
// upstreams can serve, most come late because messages wait.
BOOST_AUTO_TEST_CASE(slow_daemons_serve_most_calls_in_time_when_a_few_are_too_many) {
    fleet slow{.message_time = milliseconds(4)};
    outcome counted = crowded_service(slow, {.load = steady(1.1)}, 1).run();
    report("slow daemons, load 1.1", counted);
    BOOST_TEST(counted.in_time * 2 >= counted.calls);
    BOOST_TEST(counted.served() >= least_part_used / 1.1);
}

// Guards against a service that counts as full for long after there is room again.
BOOST_AUTO_TEST_CASE(calls_are_served_in_time_soon_after_an_overload) {
    plan overload{.load = [](mono_duration passed) { return passed < seconds(5) ? 1.5 : 0.5; },
                  .counted_from = milliseconds(6500),
                  .counted_to = milliseconds(9000)};
    outcome counted = crowded_service({}, overload, 1).run();
    report("after an overload", counted);
    BOOST_TEST(counted.in_time >= counted.calls * 19 / 20);
    BOOST_TEST(counted.attempts_per_call() <= 1.1);
}

// Guards against an ingress that knows its few instances well and gives up early nevertheless.
BOOST_AUTO_TEST_CASE(calls_to_a_small_service_ask_all_its_instances) {
    fleet small{.upstreams = 6, .daemons = 10};
    outcome counted = crowded_service(small, {.load = steady(0.9)}, 1).run();
    report("six instances, load 0.9", counted);
    BOOST_TEST(counted.in_time >= counted.calls * 9 / 10);
    BOOST_TEST(counted.served() >= 0.99);
}

}  // namespace trefoil::daemon
