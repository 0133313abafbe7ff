// Implements route look-up by hashing the path's prefixes. The cost depends on the number of
// different prefix lengths, not on the number of routes.

#include "config/route_table.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <utility>

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

// Whether a segment of the path is "." or "..", also percent-encoded. Some servers treat the
// backslash as a separator, so it counts as one here.
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

}  // namespace

route_table::route_table(std::vector<route> routes) : entries(std::move(routes)) {
    std::sort(this->entries.begin(), this->entries.end(),
              [](const route& left, const route& right) { return left.name < right.name; });
    std::set<std::size_t, std::greater<>> lengths;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const std::string& prefix = this->entries[i].path_prefix;
        this->by_prefix[prefix].push_back(i);
        lengths.insert(prefix.size());
    }
    this->prefix_lengths.assign(lengths.begin(), lengths.end());
}

route_lookup route_table::find(std::string_view method, std::string_view target) const {
    std::string_view path = target.substr(0, target.find('?'));
    if (has_dot_segment(path)) {
        return no_route{};
    }
    std::set<std::string> allowed;
    for (std::size_t length : this->prefix_lengths) {
        auto found = length <= path.size() ? this->by_prefix.find(path.substr(0, length))
                                           : this->by_prefix.end();
        if (found == this->by_prefix.end()) {
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
    if (allowed.empty()) {
        return no_route{};
    }
    return method_not_allowed{{allowed.begin(), allowed.end()}};
}

}  // namespace trefoil::config
