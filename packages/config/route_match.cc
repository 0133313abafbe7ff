// Implements the checks of hosts and path prefixes.

#include "config/route_match.h"

#include <algorithm>
#include <string>

#include "config/value_limits.h"

namespace trefoil::config {

namespace {

// Bytes of multi-byte UTF-8 characters are above 0x7f.
bool is_graphic(unsigned char c) {
    return c > ' ' && c != 0x7f;
}

bool has_dot_segment(std::string_view path) {
    std::string closed = std::string(path) + "/";
    return closed.find("/./") != std::string::npos || closed.find("/../") != std::string::npos;
}

}  // namespace

bool is_route_host(std::string_view host) {
    bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return host.size() <= host_bytes_max && std::all_of(host.begin(), host.end(), is_graphic) &&
           host.find('/') == std::string_view::npos &&
           (bracketed || host.find(':') == std::string_view::npos);
}

bool is_path_prefix(std::string_view prefix) {
    return prefix.starts_with('/') && prefix.size() <= path_prefix_bytes_max &&
           std::all_of(prefix.begin(), prefix.end(), is_graphic) &&
           prefix.find_first_of("?#") == std::string_view::npos && !has_dot_segment(prefix);
}

}  // namespace trefoil::config
