// Implements the smooth weighted round robin.

#include "routing/traffic_split.h"

#include <algorithm>

namespace trefoil::routing {

std::string traffic_split::choose(const config::route& route) {
    if (route.split.empty()) {
        return route.service;
    }
    return this->states.update(route.name, [&route](state& current) {
        if (current.parts != route.split) {
            current = {.parts = route.split, .credit = std::vector<double>(route.split.size(), 0)};
        }
        double total = 0;
        for (std::size_t i = 0; i < current.parts.size(); ++i) {
            current.credit[i] += current.parts[i].weight;
            total += current.parts[i].weight;
        }
        auto richest = std::max_element(current.credit.begin(), current.credit.end());
        *richest -= total;
        return current.parts[static_cast<std::size_t>(richest - current.credit.begin())].service;
    });
}

}  // namespace trefoil::routing
