// Implements the rate of late starts.

#include "gate/late_start_rate.h"

namespace trefoil::gate {

std::optional<double> late_start_rate::per_second(mono_time now, mono_duration shortest) const {
    if (!this->since.has_value() || now - *this->since < shortest || now == *this->since) {
        return std::nullopt;
    }
    return this->starts / std::chrono::duration<double>(now - *this->since).count();
}

void late_start_rate::decay(mono_time now) {
    if (this->since.has_value() && now - *this->since > window) {
        this->since = *this->since + (now - *this->since) / 2;
        this->starts /= 2;
    }
}

}  // namespace trefoil::gate
