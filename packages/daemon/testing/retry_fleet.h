// A simulation of a fleet of daemons that retry calls of two services. Reads of "station" make
// nested calls to "dosing". Arrivals at upstreams are counted as the platform counts them: over all
// daemons and in any window of 10 s. Each arrival of a request after its first one is an extra
// arrival, and so is each nested call of a retried request.
//
// Example:
//
//     testing::retry_fleet fleet({.reads = 100}, seed);
//     testing::arrival_window worst = fleet.run().worst_window("dosing");
//     BOOST_TEST(worst.extra_arrivals <= worst.allowed);

#ifndef TREFOIL_DAEMON_TESTING_RETRY_FLEET_H_
#define TREFOIL_DAEMON_TESTING_RETRY_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "daemon/nested_retry_tracker.h"
#include "daemon/service_retry_budgets.h"
#include "daemon/shared_state.h"
#include "membership/view.h"
#include "routing/retry_policy.h"

namespace trefoil::daemon::testing {

// A call that arrives at an upstream.
struct upstream_arrival {
    std::string service;
    std::size_t instance = 0;  // Index of the upstream's daemon.
    mono_duration at{};        // Time since the start of the simulation.
};

// The processes of daemons `first` to `first + count - 1` end and start again 0.5 s later.
struct restart {
    mono_duration at{};
    std::size_t first = 0;
    std::size_t count = 1;
};

struct retry_scenario {
    std::size_t daemons = 91;
    // Number of daemons whose upstream serves "station"; those of the others serve "dosing".
    std::size_t stations = 72;
    double slack = 222;
    mono_duration length = std::chrono::seconds(30);
    // Calls of clients per second, over all daemons: two routes of "station" and one of "dosing".
    double reads = 690;
    double commands = 345;
    double doses = 242;
    // Load of a daemon as a multiple of the mean; 1 if absent.
    std::function<double(std::size_t daemon, mono_duration at)> load = {};
    // Probability that an upstream fails to run a call that reaches it; 0 if absent.
    std::function<double(const upstream_arrival&)> failure_probability = {};
    // True: failures are lost connections after which a call may have run. False: upstreams answer
    // that the call did not run.
    bool resets = false;
    std::vector<restart> restarts = {};
    // Number of instances in the instance list; all if absent.
    std::function<std::size_t(mono_duration at)> listed = {};
};

// Arrivals at the upstreams of a service in a window of 10 s.
struct arrival_window {
    double extra_arrivals = 0;
    double allowed = 0;  // Extra arrivals that the platform allows.
    // The highest number of requests in three windows: this one and those that end 5 s and 10 s
    // earlier.
    double requests = 0;
};

struct service_count {
    std::uint64_t calls = 0;   // Calls of clients.
    std::uint64_t served = 0;  // Calls of clients that succeeded.
    // By tick; includes nested calls of requests that are not retried.
    std::vector<std::uint32_t> requests = {};
    std::vector<std::uint32_t> extra_arrivals = {};  // By tick.
};

struct retry_outcome {
    std::map<std::string, service_count> services;
    double slack = 0;

    // The window with the most extra arrivals in proportion to the allowed number.
    arrival_window worst_window(const std::string& service) const;
    // Extra arrivals over the whole simulation.
    double extra_arrivals(const std::string& service) const;
    // The share of the calls of clients that succeeded.
    double served_share(const std::string& service) const;
};

class retry_fleet {
public:
    retry_fleet(retry_scenario given, std::uint64_t seed);
    ~retry_fleet();
    retry_fleet(const retry_fleet&) = delete;
    retry_fleet& operator=(const retry_fleet&) = delete;

    retry_outcome run();

private:
    struct model_call;
    struct model_daemon;
    using call_ptr = std::shared_ptr<model_call>;

    void schedule(mono_duration delay, std::function<void()> event);
    void create_calls();
    void create_call(std::size_t daemon, const std::string& service, const std::string& route,
                     bool idempotent);
    void handle_at_ingress(const call_ptr& call);
    void send_attempt(const call_ptr& call);
    void handle_at_egress(const call_ptr& call, std::size_t instance);
    void run_call(const call_ptr& call, std::size_t instance);
    void make_nested_calls(const call_ptr& call, std::size_t instance, mono_duration length);
    void handle_failure(const call_ptr& call, routing::attempt_end end);
    void apply_restarts();
    void publish_members();
    double failure_probability_of(const std::string& service, std::size_t instance) const;
    std::size_t pick(const call_ptr& call);
    service_count& counts_of(const std::string& service) { return this->result.services[service]; }
    std::size_t tick_index() const;

    const retry_scenario scenario;
    seeded_random random;
    mono_time now;
    routing::retry_policy policy{{}};
    std::vector<std::shared_ptr<model_daemon>> daemons;  // Null while a process is not running.
    std::multimap<mono_time, std::function<void()>> events;
    std::size_t listed_now = 0;
    std::shared_ptr<const membership::view> view;
    retry_outcome result;
};

}  // namespace trefoil::daemon::testing

#endif  // TREFOIL_DAEMON_TESTING_RETRY_FLEET_H_
