// Rate limiters joined by an in-memory queue, for tests and for the benchmark. The queue delays,
// loses, duplicates and reorders; instances can pause, restart, be cut off and hold differing views
// of the members. All randomness comes from one seed.
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

// Largest number of admissions by which `times` (true time) exceed burst + rate * d in any interval
// d; 0 or less when there is no excess. A bucket that is full at first and goes below zero finds
// exactly the intervals with an excess.
double largest_excess(std::vector<mono_time> times, double rate, double burst);

struct fleet_options {
    int instances = 4;
    int max_instances = 4;
    std::vector<workspace_limit> limits;
    std::uint64_t seed = 1;
    limit_faults faults;
    mono_duration delay = std::chrono::milliseconds(1);  // One way, between two instances.
    mono_duration jitter = std::chrono::microseconds(200);
    double loss = 0;
    double duplication = 0;
    double late = 0;  // Probability that a message is delayed by up to `late_by`.
    mono_duration late_by = std::chrono::seconds(6);
    double max_clock_drift = 0;  // Clock rates are drawn from [1 - error, 1 + error].
    bool measure_bytes = false;  // Encodes every message.
};

// One thread only. Time moves in steps of 1 ms of true time; limiters see their own clocks.
class limiter_fleet {
public:
    explicit limiter_fleet(const fleet_options& settings);

    // Moves true time by one step, delivers messages and ticks each limiter every 10 ms.
    void step();

    admit_result call(int instance, const std::string& workspace);

    // The instance does nothing until `until`; messages to it wait. With `stale`, it handles the
    // first message after the pause with a clock reading from before.
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
        mono_time stale_clock;  // Clock reading to use once; epoch when none.
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
    void post(int from, int to, const messages::peer_message& message);
    void deliver_due();
    void finish(int from, limiter_output& out);

    fleet_options options;
    seeded_random random;
    std::vector<node> nodes;
    std::map<std::string, int> index;
    std::priority_queue<delivery> queue;
    std::map<std::uint64_t, std::string> waiting;  // Workspace of each waiting call.
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
