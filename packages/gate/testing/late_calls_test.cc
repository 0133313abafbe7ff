// Tests of late calls, which can no longer meet their latency objective, among calls in time: they
// use the spare capacity of the upstream and are refused at once if there is none.

#define BOOST_TEST_MODULE gate_late_calls
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <vector>

#include "base/random.h"
#include "gate/slot_limit.h"
#include "gate/upstream_gate.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t slots = 12;
constexpr milliseconds service_time{90};
constexpr milliseconds objective{300};
constexpr milliseconds time_limit{1000};

struct late_results {
    int offered = 0;  // Requests, each counted once.
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int refused_late_offers = 0;
    // Late offers that waited in the queue for two service times or more and were then refused.
    int held_before_refusal = 0;
};

// One upstream with random arrivals. A request that was refused because it cannot meet its
// objective is offered a second time with `may_be_late` set, as an ingress does.
class late_load {
public:
    explicit late_load(std::uint64_t seed, std::size_t queue = 48)
        : random(seed),
          gate({.queue = queue}, std::make_unique<slot_limit>(slot_limit_options{.slots = slots})) {
    }

    // `load` returns the arrival rate at a time since the start of the run, as a multiple of
    // `slots / service_time`.
    late_results run(const std::function<double(mono_duration)>& load, seconds length) {
        mono_time begin = this->now;
        mono_time next_arrival = this->now;
        while (this->now < begin + length) {
            mono_time next = std::min(next_arrival, this->now + milliseconds(5));
            while (!this->running.empty() && this->running.top().first <= next) {
                auto [end, id] = this->running.top();
                this->running.pop();
                this->now = end;
                this->finish(id);
            }
            this->now = next;
            this->apply(this->gate.expire(this->now));
            if (this->now == next_arrival) {
                this->arrive();
                double rate = load(this->now - begin) * slots * 1000.0 / service_time.count();
                double gap = -std::log(1.0 - this->random.uniform()) / rate;
                next_arrival +=
                    std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(gap));
            }
        }
        return this->results;
    }

private:
    struct request {
        mono_time arrived;
        mono_time offered;
        bool late = false;
    };
    using running_end = std::pair<mono_time, std::uint64_t>;

    void arrive() {
        ++this->results.offered;
        this->offer({.arrived = this->now, .offered = this->now});
    }

    void offer(const request& given) {
        std::uint64_t sequence = ++this->last_sequence;
        this->requests[sequence] = given;
        offered_call call{.id = {.instance = "ingress", .incarnation = 1, .sequence = sequence},
                          .workspace = "north",
                          .deadline = given.arrived + time_limit,
                          .route = "read",
                          .objective_at = given.arrived + objective,
                          .may_be_late = given.late};
        offer_result offered = this->gate.offer(call, this->now);
        if (std::holds_alternative<start_now>(offered.decision)) {
            this->start(sequence);
        } else if (std::holds_alternative<refusal>(offered.decision)) {
            this->refuse(sequence);
        }
        this->apply(offered.changes);
    }

    void start(std::uint64_t sequence) {
        double spread = std::exp2(2.0 * this->random.uniform() - 1.0);
        auto latency = std::chrono::duration_cast<mono_duration>(
            spread * std::chrono::duration<double>(service_time));
        this->running.push({this->now + latency, sequence});
        this->started[sequence] = this->now;
    }

    void finish(std::uint64_t sequence) {
        request ended = this->requests.at(sequence);
        bool met = this->now - ended.arrived <= objective;
        ++(met ? this->results.in_time : this->results.late);
        mono_duration latency = this->now - this->started.at(sequence);
        call_id id{.instance = "ingress", .incarnation = 1, .sequence = sequence};
        this->apply(this->gate.finish(id, call_result_kind::good, latency, this->now));
    }

    void refuse(std::uint64_t sequence) {
        request refused = this->requests.at(sequence);
        if (!refused.late) {
            this->offer({.arrived = refused.arrived, .offered = this->now, .late = true});
            return;
        }
        ++this->results.refused;
        ++this->results.refused_late_offers;
        if (this->now - refused.offered >= 2 * service_time) {
            ++this->results.held_before_refusal;
        }
    }

    void apply(const gate_changes& changes) {
        for (const call_id& id : changes.start) {
            this->start(id.sequence);
        }
        for (const refused_call& each : changes.refused) {
            this->refuse(each.id.sequence);
        }
    }

    mono_time now{std::chrono::hours(1)};
    seeded_random random;
    upstream_gate gate;
    std::uint64_t last_sequence = 0;
    std::map<std::uint64_t, request> requests;
    std::map<std::uint64_t, mono_time> started;
    std::priority_queue<running_end, std::vector<running_end>, std::greater<>> running;
    late_results results;
};

void report(const late_results& results) {
    BOOST_TEST_MESSAGE("offered " << results.offered << ", in time " << results.in_time << ", late "
                                  << results.late << ", refused " << results.refused << ", of them "
                                  << results.held_before_refusal << " held");
}

}  // namespace

// Guards against late requests that wait until their deadline and are then refused, too late for a
// retry by the caller. It happens when a service has lost most of its upstreams and requests in
// time use all capacity that is left.
BOOST_AUTO_TEST_CASE(late_requests_are_refused_at_once_while_requests_in_time_use_all_capacity) {
    for (std::uint64_t seed : {1, 2, 3}) {
        late_results results = late_load(seed).run([](mono_duration) { return 1.8; }, seconds(30));
        report(results);
        BOOST_TEST(results.refused > results.offered / 4);
        BOOST_TEST(results.held_before_refusal * 20 <= results.refused_late_offers);
    }
}

// Guards against requests that start and then miss their objective under sustained overload. If the
// latest start is computed from the mean time, half of the requests that start then are late,
// although the upstream could serve as many requests in time.
BOOST_AUTO_TEST_CASE(requests_that_start_under_overload_meet_their_objective) {
    for (double load : {1.2, 1.8, 4.0}) {
        late_results results =
            late_load(4).run([load](mono_duration) { return load; }, seconds(30));
        report(results);
        BOOST_TEST(results.in_time * 100 >= 95 * (results.in_time + results.late));
        // The upstream must be busy: 12 slots of 97 ms each are 123 requests per second.
        BOOST_TEST(results.in_time + results.late >= 30 * 123 * 9 / 10);
    }
}

// Guards against late requests that are refused after a short burst although there is spare
// capacity until the next one.
BOOST_AUTO_TEST_CASE(late_requests_use_spare_capacity_after_a_burst) {
    for (std::uint64_t seed : {1, 2, 3}) {
        auto bursts = [](mono_duration passed) {
            return passed % seconds(2) < milliseconds(300) ? 2.0 : 0.4;
        };
        late_results results = late_load(seed).run(bursts, seconds(60));
        report(results);
        BOOST_TEST(results.late > 0);
        BOOST_TEST(results.refused * 50 <= results.offered);
    }
}

// Guards against refusals of late requests, in a queue of the default size, because none has
// started since the burst began. After such a burst they use the spare capacity for most of their
// time limit.
BOOST_AUTO_TEST_CASE(late_requests_wait_for_spare_capacity_after_a_burst) {
    for (std::uint64_t seed : {1, 2, 3}) {
        auto bursts = [](mono_duration passed) {
            return passed % seconds(2) < milliseconds(400) ? 2.0 : 0.4;
        };
        std::size_t queue = upstream_gate_options{}.queue;
        late_results results = late_load(seed, queue).run(bursts, seconds(60));
        report(results);
        BOOST_TEST(results.refused * 50 <= results.offered);
    }
}

// Guards against refusals of late requests after longer bursts than in the tests above. The mean
// load is 0.87 of the capacity, because the mean service time is 97 ms.
BOOST_AUTO_TEST_CASE(late_requests_use_spare_capacity_after_a_long_burst) {
    for (std::uint64_t seed : {1, 2, 3}) {
        auto bursts = [](mono_duration passed) {
            return passed % seconds(2) < milliseconds(500) ? 2.0 : 0.4;
        };
        late_results results = late_load(seed).run(bursts, seconds(60));
        report(results);
        BOOST_TEST(results.refused * 50 <= results.offered);
    }
}

}  // namespace trefoil::gate
