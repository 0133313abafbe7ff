// Map key for a route at an instance.
//
// Example:
//
//     std::string key = routing::instance_route("station-1", "readings");

#ifndef TREFOIL_ROUTING_INSTANCE_ROUTE_H_
#define TREFOIL_ROUTING_INSTANCE_ROUTE_H_

#include <string>

namespace trefoil::routing {

// Instance names contain no line break, which therefore separates the two.
inline std::string instance_route(const std::string& instance, const std::string& route) {
    return instance + "\n" + route;
}

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_INSTANCE_ROUTE_H_
