// The value types of a snapshot's entries. The instance list that some comments mention is a
// document of its own, which lists the instances of the fleet (see membership/instance_list.h).
//
// Example:
//
//     config::route readings{.name = "readings", .path_prefix = "/station/", .service = "station"};
//     bool retry_allowed = readings.idempotent_for("GET");

#ifndef TREFOIL_CONFIG_VALUES_H_
#define TREFOIL_CONFIG_VALUES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/hash.h"

namespace trefoil::config {

// Priority of a request when capacity is short; 0 is the highest.
constexpr std::uint32_t default_priority = 1;

struct fleet {
    std::uint32_t max_instances = 1;  // Number of shares of each rate limit; at least 1.
    // True: the entries of the instance list are counted and `max_instances` is ignored.
    bool max_instances_from_list = false;

    friend bool operator==(const fleet&, const fleet&) = default;
};

// The service-level objective of a service.
struct objective {
    double availability = 0;  // Between 0 and 1, both excluded.
    std::chrono::milliseconds latency{0};

    friend bool operator==(const objective&, const objective&) = default;
};

// Limits on requests from callers, for all listeners of the daemon.
struct caller_limits {
    std::uint32_t max_header_bytes = 16U << 10U;  // All header fields of one request.
    std::uint32_t max_body_bytes = 1U << 20U;
    std::chrono::milliseconds header_timeout{75'000};  // From the first byte to the header's end.
    std::chrono::milliseconds idle_timeout{75'000};    // Between two requests on a connection.

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// The reduced load that an upstream receives after its start.
struct cold_start {
    std::chrono::milliseconds duration{0};
    double rate = 0;  // Requests per second that a cold upstream can serve.

    friend bool operator==(const cold_start&, const cold_start&) = default;
};

struct service {
    std::string name{};
    std::uint32_t slots = 1;                  // Concurrent requests at one upstream; at least 1.
    bool slots_from_list = false;             // True: taken from the instance list if stated there.
    std::chrono::milliseconds timeout{2000};  // For calls without a deadline of their own.
    std::uint32_t queue = 64;  // Limit on requests waiting in one gate, all workspaces together.
    std::optional<config::objective> objective{};
    std::string health_path{};                       // Empty: no health check.
    std::optional<std::uint32_t> max_connections{};  // At one upstream, from all callers.
    std::optional<config::cold_start> cold_start{};

    friend bool operator==(const service&, const service&) = default;
};

// A service of a route that is split over several services.
struct weighted_service {
    std::string service{};  // Always names a service of the same snapshot.
    double weight = 0;      // Share of the requests relative to the other services; above 0.

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// What a daemon does with the requests of a route while it is unconfirmed: while neither the
// platform nor peers have confirmed recently that its documents are the newest (see
// dissemination/confirmation.h).
enum class unconfirmed_policy { refuse, serve };

struct route {
    std::string name{};
    std::string host{};                  // In lower case; empty matches every host.
    std::string path_prefix{};           // Starts with "/".
    std::vector<std::string> methods{};  // Sorted and unique; empty accepts every method.
    std::string service{};  // Always names a service of the same snapshot; empty if split.
    std::vector<weighted_service> split{};  // Empty unless the route has several services.
    std::optional<bool> idempotent{};       // Absent: depends on the method.
    bool open = false;                      // True: no API key is required.
    unconfirmed_policy when_unconfirmed = unconfirmed_policy::refuse;
    // Timeout of a request; absent: the timeout of its service.
    std::optional<std::chrono::milliseconds> timeout{};
    // Latency within which a response has its full value for the caller; absent: that of the
    // service's objective.
    std::optional<std::chrono::milliseconds> latency_objective{};
    std::uint32_t priority = default_priority;
    std::optional<std::uint32_t> attempts{};  // Limit on the upstreams that one request is sent to.
    std::vector<std::string> regions{};       // Allowed regions, sorted; empty: all.

    bool accepts(std::string_view method) const;

    // Whether a call with `method` may be retried: the route's setting, or true for GET and HEAD if
    // it has none.
    bool idempotent_for(std::string_view method) const;

    // Returns the services that requests may be routed to: one unless the route is split.
    std::vector<weighted_service> targets() const;

    friend bool operator==(const route&, const route&) = default;
};

struct workspace {
    std::string name{};
    double rate = 0;      // Requests per second, for the whole fleet.
    double burst = 0;     // Requests, for the whole fleet.
    bool limited = true;  // False: no rate limit; `rate` and `burst` are ignored.
    // Overrides the priority of the route; absent: the route's priority applies.
    std::optional<std::uint32_t> priority{};
    std::vector<std::string> regions{};  // Allowed regions, sorted; empty: all.
    // Digests of the API keys that have no id, sorted and unique; never printed. No other workspace
    // of the same snapshot has one of them.
    std::vector<sha256_digest> key_digests{};

    friend bool operator==(const workspace&, const workspace&) = default;
};

// An API key with an id, by which operators refer to it.
struct access_key {
    std::string id{};
    std::string workspace{};  // Always names a workspace of the same snapshot.
    std::string sha256{};     // 64 lower-case hex digits; unique in a snapshot; never printed.

    friend bool operator==(const access_key&, const access_key&) = default;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_VALUES_H_
