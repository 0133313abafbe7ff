// Which hosts and path prefixes routes may have.
//
// Example:
//
//     bool usable = config::is_route_host("one.example") && config::is_path_prefix("/station/");

#ifndef TREFOIL_CONFIG_ROUTE_MATCH_H_
#define TREFOIL_CONFIG_ROUTE_MATCH_H_

#include <string_view>

namespace trefoil::config {

// Whether `host` is a host name or an address without a port; an IPv6 address has brackets. An
// empty host matches every request.
bool is_route_host(std::string_view host);

// Whether `prefix` starts with "/" and can match the path of a request: it has no spaces, control
// characters, "?", "#" or dot segments.
bool is_path_prefix(std::string_view prefix);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ROUTE_MATCH_H_
