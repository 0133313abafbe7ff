// Implements route look-up with a hash map of path prefixes per host. The cost depends on the
// number of different prefix lengths, not on the number of routes.

#include "config/route_table.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include "base/text.h"

namespace trefoil::config {

namespace {

std::optional<unsigned> hex_value(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

std::string percent_decoded(std::string_view path) {
    std::string decoded;
    decoded.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        bool has_digits = path[i] == '%' && i + 2 < path.size();
        auto high = has_digits ? hex_value(path[i + 1]) : std::nullopt;
        auto low = has_digits ? hex_value(path[i + 2]) : std::nullopt;
        if (high && low) {
            decoded.push_back(static_cast<char>(*high * 16 + *low));
            i += 2;
        } else {
            decoded.push_back(path[i]);
        }
    }
    return decoded;
}

// Whether a segment of the path is "." or "..", also percent-encoded. The backslash counts as a
// separator because some servers treat it as one.
bool has_dot_segment(std::string_view path) {
    std::string decoded = percent_decoded(path);
    std::size_t start = 0;
    while (start <= decoded.size()) {
        std::size_t end = std::min(decoded.find_first_of("/\\", start), decoded.size());
        std::string_view segment = std::string_view(decoded).substr(start, end - start);
        if (segment == "." || segment == "..") {
            return true;
        }
        start = end + 1;
    }
    return false;
}

// Returns the host in lower case. An IPv6 address keeps its brackets.
std::string host_without_port(std::string_view host) {
    std::size_t bracket = host.rfind(']');
    std::size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
    return lower_case(host.substr(0, colon));
}

}  // namespace

route_table::route_table(std::vector<route> routes) : entries(std::move(routes)) {
    auto by_name = [](const route& left, const route& right) { return left.name < right.name; };
    if (!std::is_sorted(this->entries.begin(), this->entries.end(), by_name)) {
        std::sort(this->entries.begin(), this->entries.end(), by_name);
    }
    std::unordered_map<std::string, std::set<std::size_t, std::greater<>>> lengths;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const route& each = this->entries[i];
        this->by_host[each.host].by_prefix[each.path_prefix].push_back(i);
        lengths[each.host].insert(each.path_prefix.size());
    }
    for (const auto& [host, sizes] : lengths) {
        this->by_host[host].prefix_lengths.assign(sizes.begin(), sizes.end());
    }
}

// Returns the route with the longest matching prefix that accepts the method. If there is none,
// adds the methods of all routes that match the path to `allowed` and returns null.
const route* route_table::find_for_host(const host_routes& host, std::string_view method,
                                        std::string_view path,
                                        std::set<std::string>& allowed) const {
    for (std::size_t length : host.prefix_lengths) {
        auto found = length <= path.size() ? host.by_prefix.find(path.substr(0, length))
                                           : host.by_prefix.end();
        if (found == host.by_prefix.end()) {
            continue;
        }
        for (std::size_t index : found->second) {
            const route& candidate = this->entries[index];
            if (candidate.accepts(method)) {
                return &candidate;
            }
            allowed.insert(candidate.methods.begin(), candidate.methods.end());
        }
    }
    return nullptr;
}

route_lookup route_table::find(std::string_view host, std::string_view method,
                               std::string_view target) const {
    std::string_view path = target.substr(0, target.find('?'));
    if (has_dot_segment(path)) {
        return no_route{};
    }
    std::set<std::string> allowed;
    std::string host_name = host_without_port(host);
    for (std::string_view key : {std::string_view(host_name), std::string_view()}) {
        auto routes = this->by_host.find(key);
        if (routes == this->by_host.end()) {
            continue;
        }
        if (const route* found = this->find_for_host(routes->second, method, path, allowed)) {
            return found;
        }
    }
    if (allowed.empty()) {
        return no_route{};
    }
    return method_not_allowed{{allowed.begin(), allowed.end()}};
}

}  // namespace trefoil::config
