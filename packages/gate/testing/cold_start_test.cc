// Tests of the concurrency limit with a model upstream that is cold after a start. Each run prints
// its number of calls above the capacity of the upstream.

#define BOOST_TEST_MODULE gate_cold_start
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <map>
#include <memory>

#include "gate/concurrency_limit.h"
#include "gate/testing/model_upstream.h"
#include "gate/upstream_gate.h"

namespace trefoil::gate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{std::chrono::hours(1)};
constexpr std::uint32_t slots = 12;

// Offers a call to the gate every millisecond, which saturates it, and runs the calls at a model
// upstream.
class saturated_upstream {
public:
    saturated_upstream(milliseconds warm_up, std::unique_ptr<start_limit> rule, std::uint64_t seed)
        : upstream({.slots = slots, .warm_up = warm_up}),
          gate({.queue = 8}, std::move(rule)),
          random(seed) {}

    void run(milliseconds length) {
        for (mono_time end = this->now + length; this->now < end; this->now += milliseconds(1)) {
            this->end_calls();
            call_id id{.instance = "i", .incarnation = 1, .sequence = ++this->sequence};
            offer_result offered = this->gate.offer({id, "w", this->now + seconds(1)}, this->now);
            if (std::holds_alternative<start_now>(offered.decision)) {
                this->begin(id);
            }
            this->apply(offered.changes);
        }
    }

    mono_time now = start;
    model_upstream upstream;
    upstream_gate gate;
    std::uint64_t good = 0;

private:
    struct running_call {
        call_id id;
        mono_time began;
        call_result_kind kind;
    };

    void begin(const call_id& id) {
        model_response response = this->upstream.begin(this->now, this->random);
        this->ends.emplace(this->now + response.latency,
                           running_call{id, this->now, response.kind});
    }
    void apply(const gate_changes& changes) {
        for (const call_id& id : changes.start) {
            this->begin(id);
        }
    }
    void end_calls() {
        while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
            running_call call = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            this->upstream.end();
            this->good += call.kind == call_result_kind::good ? 1 : 0;
            this->apply(this->gate.finish(call.id, call.kind, this->now - call.began, this->now));
        }
        this->apply(this->gate.expire(this->now));
    }

    seeded_random random;
    std::uint64_t sequence = 0;
    std::multimap<mono_time, running_call> ends;
};

std::unique_ptr<start_limit> adaptive() {
    return std::make_unique<concurrency_limit>(concurrency_limit_options{.slots = slots});
}

std::unique_ptr<start_limit> fixed() {
    return std::make_unique<fixed_limit>(slots);
}

// Calls above capacity during `warm_up` + 10 s after a start.
std::uint64_t cold_start(milliseconds warm_up, std::unique_ptr<start_limit> rule,
                         std::uint64_t seed) {
    saturated_upstream run(warm_up, std::move(rule), seed);
    run.upstream.restart(run.now);
    run.run(warm_up + seconds(10));
    std::cout << "cold start of " << warm_up.count() << " ms, seed " << seed
              << ": calls above capacity " << run.upstream.calls_above_capacity() << ", good "
              << run.good << ", limit at the end " << run.gate.load().limit << "\n";
    return run.upstream.calls_above_capacity();
}

// Calls above capacity after a warm upstream has become cold without notice.
std::uint64_t become_cold(std::unique_ptr<start_limit> rule, std::uint64_t seed) {
    saturated_upstream run(seconds(10), std::move(rule), seed);
    run.run(seconds(15));
    BOOST_TEST(run.gate.load().limit == slots);
    BOOST_TEST(run.upstream.calls_above_capacity() == 0U);
    run.upstream.restart(run.now);
    run.run(seconds(20));
    std::cout << "cold again, seed " << seed << ": calls above capacity "
              << run.upstream.calls_above_capacity() << ", limit at the end "
              << run.gate.load().limit << "\n";
    return run.upstream.calls_above_capacity();
}

}  // namespace

// Guards against load above the capacity of a starting upstream.
BOOST_AUTO_TEST_CASE(cold_start_gets_no_calls_above_capacity) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST(cold_start(seconds(10), adaptive(), seed) == 0U);
        BOOST_TEST(cold_start(seconds(5), adaptive(), seed) == 0U);
    }
}

// Shows that the test above detects the failure: a fixed limit overloads the starting upstream.
BOOST_AUTO_TEST_CASE(fixed_limit_fails_the_cold_start_check) {
    BOOST_TEST(cold_start(seconds(10), fixed(), 1) > 1000U);
}

// Guards against unbounded growth at an upstream that warms up more slowly than assumed.
BOOST_AUTO_TEST_CASE(slow_cold_start_gets_few_calls_above_capacity) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        BOOST_TEST(cold_start(seconds(30), adaptive(), seed) <= 20U);
    }
}

// Guards against lasting overload after an upstream became cold without notice. Calls that started
// before the first failure cannot be prevented.
BOOST_AUTO_TEST_CASE(upstream_that_becomes_cold_is_detected_at_once) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST(become_cold(adaptive(), seed) <= slots);
    }
    BOOST_TEST(become_cold(fixed(), 1) > 1000U);
}

}  // namespace trefoil::gate
