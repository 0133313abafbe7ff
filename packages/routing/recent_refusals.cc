// Implements the share as an exponential moving average over calls that also decays over time.

#include "routing/recent_refusals.h"

#include <algorithm>
#include <cmath>

namespace trefoil::routing {

namespace {

constexpr double min_share = 0.01;  // A smaller share does not change any decision.

}  // namespace

double recent_refusals::recent::at(mono_time now) const {
    std::chrono::duration<double> age = now - this->refused_at;
    std::chrono::duration<double> half = half_life;
    return this->share * std::exp2(-std::max(0.0, age / half));
}

void recent_refusals::on_refused(const std::string& route, mono_time now) {
    this->latest.update(route, [now](recent& slot) {
        double before = slot.at(now);
        slot = {.share = before + sample_weight * (1 - before), .refused_at = now};
    });
}

void recent_refusals::on_accepted(const std::string& route) {
    // Most routes have no refusals, so nothing is stored for them.
    if (this->latest.find(route).has_value()) {
        this->latest.update(route, [](recent& slot) { slot.share -= sample_weight * slot.share; });
    }
}

double recent_refusals::share(const std::string& route, mono_time now) const {
    auto found = this->latest.find(route);
    return found.has_value() ? found->at(now) : 0;
}

void recent_refusals::expire(mono_time now) {
    this->latest.erase_if([now](const std::string& /*route*/, const recent& each) {
        return each.at(now) < min_share;
    });
}

}  // namespace trefoil::routing
