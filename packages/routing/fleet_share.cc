// Implements the share of one daemon.

#include "routing/fleet_share.h"

#include <algorithm>

namespace trefoil::routing {

void fleet_share::observe(std::size_t daemons, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->max_daemons = std::max(this->max_daemons, daemons);
    if (daemons > 0 && !this->first_observed.has_value()) {
        this->first_observed = now;
    }
}

double fleet_share::share_of(double total, mono_time now) const {
    absl::MutexLock lock(&this->mutex);
    if (!this->first_observed.has_value() || now - *this->first_observed < settling_time) {
        return 0;
    }
    return total * allotted_fraction / static_cast<double>(this->max_daemons);
}

}  // namespace trefoil::routing
