// Simulates a fleet of rate limiters that are connected by an in-memory queue, for tests and for
// the benchmark. The queue delays, loses, duplicates and reorders messages. Instances can be
// paused, restarted, partitioned, and have differing views of the members. One seed determines all
// randomness.
//
// Example:
//
//     limiter_fleet fleet({.instances = 4, .max_instances = 4, .limits = limits, .seed = 1});
//     fleet.step();
//     fleet.call(0, "north");
//     BOOST_TEST(fleet.excess("north") <= 0);

#ifndef TREFOIL_ADMISSION_TESTING_LIMITER_FLEET_H_
#define TREFOIL_ADMISSION_TESTING_LIMITER_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "admission/rate_limiter.h"
#include "base/random.h"

namespace trefoil::admission {

// Maximum number of admissions by which `times` (true time) exceed burst + rate * d in any interval
// of length d; 0 without an excess. Simulates a bucket that starts full and whose level may become
// negative: the lowest level is the largest excess.
double largest_excess(std::vector<mono_time> times, double rate, double burst);

struct fleet_options {
    int instances = 4;
    int max_instances = 4;
    std::vector<workspace_limit> limits;
    std::uint64_t seed = 1;
    limit_faults faults;
    mono_duration delay = std::chrono::milliseconds(1);  // One-way, between two instances.
    mono_duration jitter = std::chrono::microseconds(200);
    double loss = 0;
    double duplication = 0;
    double extra_delay_probability = 0;  // Per message; the delay is at most `max_extra_delay`.
    mono_duration max_extra_delay = std::chrono::seconds(6);
    // Clock rates are drawn from [1 - max_clock_drift, 1 + max_clock_drift].
    double max_clock_drift = 0;
    bool measure_bytes = false;  // Encodes every message.
};

// Not safe for concurrent use. Each step advances true time by 1 ms; each limiter has its own
// clock.
class limiter_fleet {
public:
    explicit limiter_fleet(const fleet_options& settings);

    // Advances true time by one step, delivers messages, and ticks each limiter every 10 ms.
    void step();

    admit_result call(int instance, const std::string& workspace);

    // Suspends the instance until `until`; messages to it wait. With `stale`, it handles the first
    // message after the pause with a clock reading from before the pause.
    void pause(int instance, mono_time until, bool stale);
    void restart(int instance);
    void set_view(int instance, const std::vector<std::string>& live);
    void set_group(int instance, int group);  // Messages between groups are lost.

    mono_time now() const { return this->true_now; }
    bool paused(int instance) const;
    std::vector<std::string> names() const;
    rate_limiter& limiter(int instance) { return *this->nodes.at(instance).limiter; }
    const std::vector<mono_time>& admissions(const std::string& workspace);
    double excess(const std::string& workspace);

    // Called with the decision on each call that waited.
    std::function<void(const wait_decision&)> on_decision;

    struct totals {
        std::uint64_t calls = 0;
        std::uint64_t waited = 0;
        std::uint64_t refused = 0;
        std::uint64_t messages = 0;
    };
    const totals& counts() const { return this->total; }

    // Bytes sent and received by an instance.
    std::uint64_t traffic_bytes(int instance) const { return this->nodes.at(instance).bytes; }
    std::uint64_t last_call() const { return this->next_call - 1; }

private:
    struct node {
        std::string name;
        std::unique_ptr<rate_limiter> limiter;
        double clock_rate = 1;
        mono_time clock_base;
        mono_time paused_until;
        mono_time stale_clock;  // Clock reading to use once; epoch if there is none.
        int group = 0;
        std::vector<std::string> view;
        std::uint64_t bytes = 0;
    };
    struct delivery {
        mono_time time;
        std::uint64_t order = 0;
        int from = 0;
        int to = 0;
        messages::peer_message message;

        bool operator<(const delivery& other) const {
            return std::pair(this->time, this->order) > std::pair(other.time, other.order);
        }
    };

    mono_time clock(const node& item) const;
    void start(node& item);
    void send(int from, limiter_output& out);
    void enqueue(int from, int to, const messages::peer_message& message);
    void deliver_due();
    void apply_output(int from, limiter_output& out);

    fleet_options options;
    seeded_random random;
    std::vector<node> nodes;
    std::map<std::string, int> index;
    std::priority_queue<delivery> queue;
    std::map<std::uint64_t, std::string> waiting;  // Workspaces of waiting calls, by call.
    std::map<std::string, std::vector<mono_time>> admitted;
    mono_time true_now = mono_time(std::chrono::hours(1));
    std::uint64_t next_call = 1;
    std::uint64_t next_order = 0;
    std::uint64_t next_incarnation = 1;
    std::uint64_t steps = 0;
    totals total;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TESTING_LIMITER_FLEET_H_
