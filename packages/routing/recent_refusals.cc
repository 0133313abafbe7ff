// Implements the share as a mean that forgets by offers and by time.

#include "routing/recent_refusals.h"

#include <algorithm>
#include <cmath>

namespace trefoil::routing {

namespace {

constexpr double least_share = 0.01;  // Less than this changes no decision.

}  // namespace

double recent_refusals::recent::at(mono_time now) const {
    std::chrono::duration<double> age = now - this->refused_at;
    std::chrono::duration<double> half = half_life;
    return this->share * std::exp2(-std::max(0.0, age / half));
}

void recent_refusals::on_refused(const std::string& route, mono_time now) {
    this->latest.update(route, [now](recent& slot) {
        double before = slot.at(now);
        slot = {.share = before + latest_weight * (1 - before), .refused_at = now};
    });
}

void recent_refusals::on_accepted(const std::string& route) {
    // Most routes have no refusals; nothing is kept for them.
    if (this->latest.find(route).has_value()) {
        this->latest.update(route, [](recent& slot) { slot.share -= latest_weight * slot.share; });
    }
}

double recent_refusals::share(const std::string& route, mono_time now) const {
    auto found = this->latest.find(route);
    return found.has_value() ? found->at(now) : 0;
}

void recent_refusals::expire(mono_time now) {
    this->latest.erase_if([now](const std::string& /*route*/, const recent& each) {
        return each.at(now) < least_share;
    });
}

}  // namespace trefoil::routing
