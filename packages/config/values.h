// The entries of a snapshot as immutable values.
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

namespace trefoil::config {

struct fleet {
    std::uint32_t max_instances = 1;  // Divides every limit into shares; at least 1.

    friend bool operator==(const fleet&, const fleet&) = default;
};

// The service-level objective of a service.
struct objective {
    double availability = 0;  // Between 0 and 1, both excluded.
    std::chrono::milliseconds latency{0};

    friend bool operator==(const objective&, const objective&) = default;
};

struct service {
    std::string name{};
    std::uint32_t slots = 1;                  // Concurrent requests at one upstream; at least 1.
    std::chrono::milliseconds timeout{2000};  // Deadline of a call that brings none.
    std::uint32_t queue = 64;                 // Waiting requests in the gate, all workspaces.
    std::optional<config::objective> objective{};

    friend bool operator==(const service&, const service&) = default;
};

// What an unconfirmed daemon does with the requests of a route.
enum class unconfirmed_policy { refuse, serve };

struct route {
    std::string name{};
    std::string path_prefix{};           // Starts with "/".
    std::vector<std::string> methods{};  // Sorted and unique; empty accepts every method.
    std::string service{};               // Always names a service of the same snapshot.
    std::optional<bool> idempotent{};    // Absent: decided by the method.
    bool open = false;                   // True: no key needed.
    unconfirmed_policy when_unconfirmed = unconfirmed_policy::refuse;

    bool accepts(std::string_view method) const;

    // Whether a call with `method` may be repeated: the route's setting, or GET and HEAD without
    // one.
    bool idempotent_for(std::string_view method) const;

    friend bool operator==(const route&, const route&) = default;
};

struct workspace {
    std::string name{};
    double rate = 0;   // Requests per second over the whole fleet.
    double burst = 0;  // Requests over the whole fleet.

    friend bool operator==(const workspace&, const workspace&) = default;
};

struct access_key {
    std::string id{};
    std::string workspace{};  // Always names a workspace of the same snapshot.
    std::string sha256{};     // 64 lower-case hex digits; unique in a snapshot; never printed.

    friend bool operator==(const access_key&, const access_key&) = default;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_VALUES_H_
