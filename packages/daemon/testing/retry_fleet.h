// A model of many daemons that retry calls of two services, one of which calls the other. Arrivals
// at upstreams are counted as the platform counts them: over all daemons, in any window, with the
// nested calls of a repeated run as repeats.
//
// Example:
//
//     testing::retry_fleet fleet({.fails = [](const testing::offer& each) { return 0.3; }}, seed);
//     testing::retry_outcome outcome = fleet.run();
//     BOOST_TEST(outcome.worst("dosing").beyond <= outcome.worst("dosing").allowed);

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
#include "daemon/repeated_runs.h"
#include "daemon/service_budgets.h"
#include "daemon/shared_state.h"
#include "membership/view.h"
#include "routing/retry_policy.h"

namespace trefoil::daemon::testing {

// A call on its way to an upstream.
struct offer {
    std::string service;
    std::size_t instance = 0;  // The daemon beside the upstream.
    mono_duration at{};        // Since the start.
};

// All processes of these daemons end and start again half a second later.
struct restart {
    mono_duration at{};
    std::size_t first = 0;
    std::size_t count = 1;
};

struct retry_scenario {
    std::size_t daemons = 91;
    std::size_t stations =
        72;  // Daemons beside an upstream of "station"; the others have "dosing".
    double slack = 222;
    mono_duration length = std::chrono::seconds(30);
    // Calls of clients a second, over all daemons.
    double reads = 690;
    double commands = 345;
    double doses = 242;
    // Load of a daemon as a multiple of the mean.
    std::function<double(std::size_t daemon, mono_duration at)> load = {};
    // The likelihood that an upstream fails to run a call that reaches it.
    std::function<double(const offer&)> fails = {};
    // Failures are lost connections after which a call may have run. Otherwise upstreams answer
    // that the call did not run.
    bool resets = false;
    std::vector<restart> restarts = {};
    // Instances that the list names; absent: all.
    std::function<std::size_t(mono_duration at)> listed = {};
};

// The window of a service that has most arrivals for what is allowed.
struct retry_window_count {
    double beyond = 0;  // Arrivals beyond the first of each request.
    double allowed = 0;
    double requests = 0;
};

struct service_count {
    std::uint64_t calls = 0;  // Of clients.
    std::uint64_t served = 0;
    std::vector<std::uint32_t> requests = {};  // By tick, with nested calls of first runs.
    std::vector<std::uint32_t> beyond = {};    // By tick.
};

struct retry_outcome {
    std::map<std::string, service_count> services;
    double slack = 0;

    retry_window_count worst(const std::string& service) const;
    double beyond(const std::string& service) const;
    double served(const std::string& service) const;
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

    void at(mono_duration delay, std::function<void()> step);
    void create_calls();
    void create(std::size_t daemon, const std::string& service, const std::string& route,
                bool idempotent);
    void enter(const call_ptr& call);
    void attempt(const call_ptr& call);
    void arrive(const call_ptr& call, std::size_t instance);
    void start(const call_ptr& call, std::size_t instance);
    void make_nested_calls(const call_ptr& call, std::size_t instance, mono_duration length);
    void failed(const call_ptr& call, routing::attempt_end end);
    void apply_restarts();
    void publish_list();
    double likelihood_of_failure(const std::string& service, std::size_t instance) const;
    std::size_t pick(const call_ptr& call);
    service_count& count(const std::string& service) { return this->result.services[service]; }
    std::size_t tick() const;

    const retry_scenario scenario;
    seeded_random random;
    mono_time now;
    routing::retry_policy policy{{}};
    std::vector<std::shared_ptr<model_daemon>> daemons;  // Null while a process is not running.
    std::multimap<mono_time, std::function<void()>> steps;
    std::size_t listed_now = 0;
    std::shared_ptr<const membership::view> view;
    retry_outcome result;
};

}  // namespace trefoil::daemon::testing

#endif  // TREFOIL_DAEMON_TESTING_RETRY_FLEET_H_
