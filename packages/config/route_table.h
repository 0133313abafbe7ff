// Finds the route of a request: among the routes that accept the method, the one with the longest
// matching path prefix.
//
// Example:
//
//     config::route_table table(routes);
//     auto found = table.find("GET", "/station/7/level");
//     if (auto* route = std::get_if<const config::route*>(&found)) { ... }

#ifndef TREFOIL_CONFIG_ROUTE_TABLE_H_
#define TREFOIL_CONFIG_ROUTE_TABLE_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "config/string_hash.h"
#include "config/values.h"

namespace trefoil::config {

// No route's prefix matches the path.
struct no_route {
    friend bool operator==(const no_route&, const no_route&) = default;
};

// Routes match the path, but none of them accepts the method.
struct method_not_allowed {
    std::vector<std::string> allowed;  // Sorted and unique.

    friend bool operator==(const method_not_allowed&, const method_not_allowed&) = default;
};

// The route points into the table and is valid as long as the table.
using route_lookup = result<const route*, no_route, method_not_allowed>;

class route_table {
public:
    route_table() = default;
    explicit route_table(std::vector<route> entries);

    // Finds the route for a method and a request target; a query ("?...") is ignored. A path with
    // "." or ".." segments, also percent-encoded, has no route: the upstream could resolve it to a
    // path of another route, which would bypass the API key check.
    route_lookup find(std::string_view method, std::string_view target) const {
        return this->find("", method, target);
    }
    // Routes of the given host take precedence over routes without a host. A port in `host` is
    // ignored.
    route_lookup find(std::string_view host, std::string_view method,
                      std::string_view target) const;

    const std::vector<route>& routes() const { return this->entries; }

    friend bool operator==(const route_table& left, const route_table& right) {
        return left.entries == right.entries;
    }

private:
    template <class Value>
    using text_map = std::unordered_map<std::string, Value, detail::string_hash, std::equal_to<>>;

    struct host_routes {
        // Indices into `entries`, not pointers, so that a copied table is independent.
        text_map<std::vector<std::size_t>> by_prefix;
        std::vector<std::size_t> prefix_lengths;  // Unique and descending.
    };

    const route* find_for_host(const host_routes& host, std::string_view method,
                               std::string_view path, std::set<std::string>& allowed) const;

    std::vector<route> entries;  // Sorted by name.
    text_map<host_routes> by_host;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ROUTE_TABLE_H_
