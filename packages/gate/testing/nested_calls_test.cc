// Tests of nested calls at the gate of an upstream that is overloaded by other requests.

#define BOOST_TEST_MODULE gate_nested_calls
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "gate/slot_limit.h"
#include "gate/upstream_gate.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t slots = 9;
constexpr std::uint32_t workspaces = 8;
constexpr std::uint32_t request_priority = 1002;

// A kind of calls with random arrivals.
struct call_kind {
    std::string route;
    std::uint32_t priority = 0;
    double per_second = 0;
    milliseconds service_time{0};
    milliseconds objective{0};
    milliseconds time_limit{0};
    bool has_workspace = true;
    bool precedes = false;
    int offered = 0;
    int served = 0;

    double served_share() const { return static_cast<double>(this->served) / this->offered; }
};

// One upstream. A call that was refused because it cannot meet its objective is offered a second
// time with `may_be_late` set, as an ingress does.
class shared_upstream {
public:
    explicit shared_upstream(std::uint64_t seed)
        : random(seed),
          gate({.queue = 36}, std::make_unique<slot_limit>(slot_limit_options{.slots = slots})) {}

    void run(call_kind& requests, call_kind& nested, seconds length) {
        this->arrive(requests);
        this->arrive(nested);
        mono_time end = this->now + length;
        while (this->now < end) {
            this->now += milliseconds(1);
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
        bool late = false;
    };

    void after(double wait_s, std::function<void()> event) {
        auto wait =
            std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(wait_s));
        this->events.emplace(this->now + wait, std::move(event));
    }

    void arrive(call_kind& kind) {
        double gap_s = -std::log(1.0 - this->random.uniform()) / kind.per_second;
        this->after(gap_s, [this, &kind] {
            ++kind.offered;
            this->offer({.kind = &kind, .arrived = this->now});
            this->arrive(kind);
        });
    }

    void offer(const offered_entry& entry) {
        const call_kind& kind = *entry.kind;
        call_id id{.instance = "i", .incarnation = 1, .sequence = ++this->last_sequence};
        this->entries[id.sequence] = entry;
        std::string workspace =
            kind.has_workspace ? "w" + std::to_string(this->random.below(workspaces)) : "";
        offer_result offered = this->gate.offer({.id = id,
                                                 .workspace = workspace,
                                                 .deadline = entry.arrived + kind.time_limit,
                                                 .route = kind.route,
                                                 .priority = kind.priority,
                                                 .objective_at = entry.arrived + kind.objective,
                                                 .may_be_late = entry.late,
                                                 .precedes = kind.precedes},
                                                this->now);
        if (std::holds_alternative<start_now>(offered.decision)) {
            this->start(id);
        } else if (std::holds_alternative<refusal>(offered.decision)) {
            this->refuse(id);
        }
        this->apply(offered.changes);
    }

    void start(const call_id& id) {
        call_kind& kind = *this->entries.at(id.sequence).kind;
        double spread = std::exp2(2.0 * this->random.uniform() - 1.0);
        double service_s = spread * std::chrono::duration<double>(kind.service_time).count();
        mono_time started = this->now;
        this->after(service_s, [this, id, started, &kind] {
            ++kind.served;
            this->apply(
                this->gate.finish(id, call_result_kind::good, this->now - started, this->now));
        });
    }

    void refuse(const call_id& id) {
        offered_entry entry = this->entries.at(id.sequence);
        if (!entry.late) {
            entry.late = true;
            this->offer(entry);
        }
    }

    void apply(const gate_changes& changes) {
        for (const call_id& id : changes.start) {
            this->start(id);
        }
        for (const refused_call& each : changes.refused) {
            this->refuse(each.id);
        }
    }

    seeded_random random;
    upstream_gate gate;
    mono_time now{std::chrono::hours(1)};
    std::multimap<mono_time, std::function<void()>> events;
    std::map<std::uint64_t, offered_entry> entries;  // By sequence.
    std::uint64_t last_sequence = 0;
};

// Returns by how much the share of nested calls that are served exceeds that of the requests.
double advantage_of_nested_calls(bool precede, std::uint64_t seed) {
    call_kind requests{.route = "balance",
                       .priority = request_priority,
                       .per_second = 55,
                       .service_time = milliseconds(240),
                       .objective = milliseconds(600),
                       .time_limit = milliseconds(4000)};
    call_kind nested{.route = "peek",
                     .priority = request_priority,
                     .per_second = 90,
                     .service_time = milliseconds(15),
                     .objective = milliseconds(60),
                     .time_limit = milliseconds(200),
                     .has_workspace = false,
                     .precedes = precede};
    shared_upstream upstream(seed);
    upstream.run(requests, nested, seconds(30));
    BOOST_TEST_MESSAGE((precede ? "precede" : "do not precede")
                       << ": served " << nested.served_share() << " of the nested calls, "
                       << requests.served_share() << " of the requests");
    return nested.served_share() - requests.served_share();
}

}  // namespace

// Load pattern: eight workspaces overload an upstream with long requests of their own, while the
// requests that run elsewhere make short nested calls to it. The platform charges for a kind of
// calls that is served less often than a less urgent one by more than 5 in 100.
BOOST_AUTO_TEST_CASE(nested_calls_that_precede_are_served_as_often_as_the_requests) {
    for (std::uint64_t seed : {1U, 2U, 3U}) {
        BOOST_TEST(advantage_of_nested_calls(true, seed) > -0.05);
        // Without precedence they are one more workspace in the round robin.
        BOOST_TEST(advantage_of_nested_calls(false, seed) < -0.05);
    }
}

// Load pattern: all upstreams return cold after an outage. A nested call then takes as much of the
// start rate as a request, so it must not displace more urgent requests.
BOOST_AUTO_TEST_CASE(nested_calls_do_not_precede_at_a_cold_upstream) {
    mono_time now{std::chrono::hours(1)};
    upstream_gate gate({}, std::make_unique<slot_limit>(slot_limit_options{.slots = slots}));
    gate.set_cold({.until = now + seconds(3), .rate = 20}, now);
    auto call = [&](std::uint64_t sequence, std::uint32_t priority, bool precedes) {
        return offered_call{.id = {.instance = "i", .incarnation = 1, .sequence = sequence},
                            .deadline = now + seconds(2),
                            .priority = priority,
                            .precedes = precedes};
    };
    BOOST_TEST(std::holds_alternative<start_now>(gate.offer(call(1, 5, false), now).decision));
    BOOST_TEST(std::holds_alternative<queued>(gate.offer(call(2, 5, true), now).decision));
    BOOST_TEST(std::holds_alternative<queued>(gate.offer(call(3, 4, false), now).decision));
    gate_changes changes = gate.expire(now + milliseconds(50));
    BOOST_REQUIRE(changes.start.size() == 1U);
    BOOST_TEST(changes.start.front().sequence == 3U);
}

}  // namespace trefoil::gate
