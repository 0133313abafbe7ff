// Implements the distribution by systematic sampling.

#include "routing/traffic_split.h"

#include "base/hash.h"
#include "base/random.h"

namespace trefoil::routing {

void traffic_split::restart(state& changed, const config::route& route) const {
    changed.parts = route.split;
    ++changed.changes;
    seeded_random random(this->seed ^
                         checksum64(route.name + '\n' + std::to_string(changed.changes)));
    changed.phases.assign(route.split.size() - 1, 0);
    for (double& phase : changed.phases) {
        phase = random.uniform();
    }
}

std::string traffic_split::choose(const config::route& route) {
    if (route.split.empty()) {
        return route.service;
    }
    return this->states.update(route.name, [this, &route](state& current) {
        if (current.parts != route.split) {
            this->restart(current, route);
        }
        double remaining = 0;
        for (const config::weighted_service& part : current.parts) {
            remaining += part.weight;
        }
        for (std::size_t i = 0; i < current.phases.size(); ++i) {
            double& phase = current.phases[i];
            phase += current.parts[i].weight / remaining;
            if (phase >= 1) {
                phase -= 1;
                return current.parts[i].service;
            }
            remaining -= current.parts[i].weight;
        }
        return current.parts.back().service;
    });
}

}  // namespace trefoil::routing
