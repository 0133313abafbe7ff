// Deployments, policies and failures that the policy benchmark combines, and its counters.
//
// Example:
//
//     routing::site hanbit{"hanbit", 4, 6, 12, std::chrono::microseconds(500), 0.55};
//     routing::scenario plan{.failure = routing::domain_failure::killed};

#ifndef TREFOIL_ROUTING_TESTING_POLICY_SCENARIO_H_
#define TREFOIL_ROUTING_TESTING_POLICY_SCENARIO_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace trefoil::routing {

using std::chrono::microseconds;

constexpr mono_time origin{std::chrono::hours(1)};
constexpr int measured_seconds = 30;
constexpr std::size_t workspaces = 8;
constexpr std::array<double, workspaces> workspace_weights = {6, 4, 1, 1, 1, 1, 1, 1};

struct site {
    std::string name;
    std::size_t domains;
    std::size_t upstreams;
    std::uint32_t slots;
    microseconds one_way;
    double load;  // Offered load as a share of the capacity of all upstreams.
};

enum class choice_rule { two_choices, round_robin, least_in_flight, two_without_reports };

struct rules {
    std::string name;
    choice_rule choice = choice_rule::two_choices;
    bool fixed_limit = false;
    bool fifo = false;
};

// Failure of one failure domain from 5 s to 15 s. Its upstreams are cold afterwards.
enum class domain_failure {
    none,
    killed,         // All processes are killed; connections are refused.
    silent,         // No replies are sent; heartbeats close the connections after 2 s.
    upstream_down,  // Only the upstreams are killed; their daemons run.
};

struct scenario {
    domain_failure failure = domain_failure::none;
    double noise = 1;  // Offered load of workspace 0 as a multiple of its usual rate.
};

struct tally {
    std::uint64_t calls = 0, served = 0, late = 0, refused = 0;
    double share(std::uint64_t part) const {
        return 100.0 * static_cast<double>(part) / static_cast<double>(calls == 0 ? 1 : calls);
    }
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_TESTING_POLICY_SCENARIO_H_
