// Model of one upstream behind its gate that several kinds of calls share.
//
// Example:
//
//     shared_upstream upstream(seed, 9);
//     upstream.run({&requests, &nested}, std::chrono::seconds(30));
//     double share = nested.served_share();

#ifndef TREFOIL_GATE_TESTING_SHARED_UPSTREAM_H_
#define TREFOIL_GATE_TESTING_SHARED_UPSTREAM_H_

#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.h"
#include "gate/slot_limit.h"
#include "gate/upstream_gate.h"

namespace trefoil::gate {

// A kind of calls with random arrivals.
struct call_kind {
    std::string route;
    std::uint32_t priority = 0;
    double per_second = 0;
    std::chrono::milliseconds service_time{0};
    std::chrono::milliseconds objective{0};
    std::chrono::milliseconds time_limit{0};
    bool has_workspace = true;
    bool precedes = false;
    bool keeps_floor = false;
    // Decides instead of `precedes`, if set.
    std::function<bool(mono_time now, random_source& random)> decide_precedence = nullptr;
    // The arrival rate as a multiple of per_second, by time since the start; 1 if not set.
    std::function<double(mono_duration since_start)> load = nullptr;
    // The time after which a refused caller returns, once; it does not return if 0. A third of what
    // it has left at the most.
    std::chrono::milliseconds return_after{0};
    // How long the gate is told that a caller has waited that returns after `waited`; 0 if not set.
    std::function<std::chrono::milliseconds(std::chrono::milliseconds waited)> known_wait = nullptr;
    int offered = 0;
    int served = 0;
    int in_time = 0;
    int returned = 0;

    double served_share() const { return static_cast<double>(this->served) / this->offered; }
    double in_time_share() const { return static_cast<double>(this->in_time) / this->offered; }
};

// One upstream. A call that was refused because it cannot meet its objective is offered a second
// time with `may_be_late` set, as an ingress does.
class shared_upstream {
public:
    shared_upstream(std::uint64_t seed, std::uint32_t slots)
        : random(seed),
          gate({.queue = std::size_t{4} * slots},
               std::make_unique<slot_limit>(slot_limit_options{.slots = slots})) {}

    void run(const std::vector<call_kind*>& kinds, std::chrono::seconds length) {
        for (call_kind* each : kinds) {
            this->arrive(*each);
        }
        mono_time end = this->now + length;
        while (this->now < end) {
            this->now += std::chrono::milliseconds(1);
            while (!this->events.empty() && this->events.begin()->first <= this->now) {
                auto next = this->events.extract(this->events.begin());
                next.mapped()();
            }
            this->apply(this->gate.expire(this->now));
        }
    }

private:
    struct offered_entry {
        call_kind* kind = nullptr;
        mono_time arrived;
        bool precedes = false;
        bool late = false;
        std::optional<mono_time> objective_at = std::nullopt;  // As the gate is told.
        bool returned = false;
    };

    void after(double wait_s, std::function<void()> event) {
        auto wait =
            std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(wait_s));
        this->events.emplace(this->now + wait, std::move(event));
    }

    void arrive(call_kind& kind) {
        double load = kind.load ? kind.load(this->now - first_moment) : 1;
        double gap_s = -std::log(1.0 - this->random.uniform()) / (kind.per_second * load);
        this->after(gap_s, [this, &kind] {
            ++kind.offered;
            bool precedes = kind.decide_precedence ? kind.decide_precedence(this->now, this->random)
                                                   : kind.precedes;
            this->offer({.kind = &kind, .arrived = this->now, .precedes = precedes});
            this->arrive(kind);
        });
    }

    void offer(const offered_entry& entry) {
        const call_kind& kind = *entry.kind;
        call_id id{.instance = "i", .incarnation = 1, .sequence = ++this->last_sequence};
        this->entries[id.sequence] = entry;
        std::string workspace =
            kind.has_workspace ? "w" + std::to_string(this->random.below(this->workspaces)) : "";
        offer_result offered = this->gate.offer(
            {.id = id,
             .workspace = workspace,
             .deadline = entry.arrived + kind.time_limit,
             .route = kind.route,
             .priority = kind.priority,
             .objective_at = entry.objective_at.value_or(entry.arrived + kind.objective),
             .may_be_late = entry.late,
             .precedes = entry.precedes,
             .keeps_floor = kind.keeps_floor},
            this->now);
        if (std::holds_alternative<start_now>(offered.decision)) {
            this->start(id);
        } else if (std::holds_alternative<refusal>(offered.decision)) {
            this->refuse(id);
        }
        this->apply(offered.changes);
    }

    void start(const call_id& id) {
        const offered_entry entry = this->entries.at(id.sequence);
        call_kind& kind = *entry.kind;
        double spread = std::exp2(2.0 * this->random.uniform() - 1.0);
        double service_s = spread * std::chrono::duration<double>(kind.service_time).count();
        mono_time started = this->now;
        this->after(service_s, [this, id, started, entry, &kind] {
            ++kind.served;
            kind.in_time += this->now <= entry.arrived + kind.objective ? 1 : 0;
            this->apply(
                this->gate.finish(id, call_result_kind::good, this->now - started, this->now));
        });
    }

    void refuse(const call_id& id) {
        offered_entry entry = this->entries.at(id.sequence);
        const call_kind& kind = *entry.kind;
        if (!entry.late) {
            entry.late = true;
            this->offer(entry);
        } else if (!entry.returned && kind.return_after.count() > 0) {
            mono_duration left = entry.arrived + kind.time_limit - this->now;
            auto pause = std::min<mono_duration>(left / 3, kind.return_after);
            this->after(std::chrono::duration<double>(pause).count(),
                        [this, entry] { this->come_back(entry); });
        }
    }

    void come_back(offered_entry entry) {
        call_kind& kind = *entry.kind;
        ++kind.returned;
        auto waited = std::chrono::ceil<std::chrono::milliseconds>(this->now - entry.arrived);
        std::chrono::milliseconds known = kind.known_wait ? kind.known_wait(waited) : waited * 0;
        entry.objective_at = this->now + kind.objective - known;
        entry.late = known >= kind.objective;
        entry.returned = true;
        this->offer(entry);
    }

    void apply(const gate_changes& changes) {
        for (const call_id& id : changes.start) {
            this->start(id);
        }
        for (const refused_call& each : changes.refused) {
            this->refuse(each.id);
        }
    }

    const std::uint32_t workspaces = 8;
    seeded_random random;
    upstream_gate gate;
    static constexpr mono_time first_moment{std::chrono::hours(1)};
    mono_time now = first_moment;
    std::multimap<mono_time, std::function<void()>> events;
    std::map<std::uint64_t, offered_entry> entries;  // By sequence.
    std::uint64_t last_sequence = 0;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_TESTING_SHARED_UPSTREAM_H_
