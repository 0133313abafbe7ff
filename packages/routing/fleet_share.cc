// Implements the part of one daemon.

#include "routing/fleet_share.h"

#include <algorithm>

namespace trefoil::routing {

void fleet_share::observe(std::size_t daemons, mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->most = std::max(this->most, daemons);
    if (daemons > 0 && !this->first_known.has_value()) {
        this->first_known = now;
    }
}

double fleet_share::share_of(double total, mono_time now) const {
    absl::MutexLock lock(&this->mutex);
    if (!this->first_known.has_value() || now - *this->first_known < settling_time) {
        return 0;
    }
    return total * allotted_fraction / static_cast<double>(this->most);
}

}  // namespace trefoil::routing
