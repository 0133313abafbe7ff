// Learns at the gate of an upstream which routes are called by callers and which by other upstreams
// while they serve requests, for configurations in which neither keys nor context handles tell.
//
// Callers connect to the instances of every service, but only the upstreams of some services call
// a given route. So a route that the instances of a service never call, although they call another
// route here, is called by upstreams. A route that the instances of every service call is called by
// callers. In doubt the origin is unknown.
//
// Example:
//
//     routing::call_origins origins;
//     auto found = origins.record("rooms", "filings", snapshot.contents().services.size(), now);
//     call.precedes = found.origin == routing::call_origin::upstreams;

#ifndef TREFOIL_ROUTING_CALL_ORIGINS_H_
#define TREFOIL_ROUTING_CALL_ORIGINS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil::routing {

enum class call_origin : std::uint8_t { unknown, callers, upstreams };

// By this header of a result, an egress tells an ingress the origin of the route's calls.
inline constexpr std::string_view origin_header = "Trefoil-Call-Origin";

// "unknown", "callers" or "upstreams".
std::string_view to_string(call_origin origin);
// `unknown` for any other text.
call_origin call_origin_named(std::string_view name);

// Safe for concurrent use.
class call_origins {
public:
    // Older calls count less, so that a changed configuration is learned.
    static constexpr std::chrono::seconds half_life{20};
    // A service that makes fewer of a route's calls than a tenth of those to expect, when at least
    // this many are to be expected, does not call the route. Independent calls do so in less than
    // 1 of 100,000 cases.
    static constexpr double min_expected_calls = 16;
    // Number of calls from which a service counts as one that calls a route.
    static constexpr double min_calls = 3;
    // A route is compared with this many of the routes with most calls.
    static constexpr std::size_t max_references = 16;

    struct update {
        call_origin origin = call_origin::unknown;
        bool changed = false;  // Whether the origin differs from the one returned before.

        friend bool operator==(const update&, const update&) = default;
    };

    // Counts a call that was sent through an instance of `caller_service`. `services` is the number
    // of services in the configuration. Returns the origin of the route's calls.
    update record(const std::string& route, const std::string& caller_service, std::size_t services,
                  mono_time now);

    // The origins by route, without those that are unknown.
    std::map<std::string, call_origin> known() const;

private:
    struct route_calls {
        std::map<std::string, double> by_service;
        double total = 0;
        std::size_t until_review = 0;  // Calls until the origin is determined again.
        call_origin origin = call_origin::unknown;
    };

    static bool calls_at_least_from_all(const route_calls& other, const route_calls& route);
    static bool lacks_a_service_of(const route_calls& other, const route_calls& route);
    call_origin origin_of(const route_calls& route, std::size_t services) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void decay(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void choose_references() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::map<std::string, route_calls> routes ABSL_GUARDED_BY(mutex);  // With recent calls.
    // Routes with which others are compared; all of them are in `routes`.
    std::vector<std::string> references ABSL_GUARDED_BY(mutex);
    std::optional<mono_time> decayed_at ABSL_GUARDED_BY(mutex);
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_CALL_ORIGINS_H_
