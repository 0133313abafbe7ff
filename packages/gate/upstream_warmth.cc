// Implements the decision about upstreams that are cold, or may be.

#include "gate/upstream_warmth.h"

#include <algorithm>

namespace trefoil::gate {

void upstream_warmth::on_report(const cold_period& period) {
    this->described = true;
    this->reported = period;
}

void upstream_warmth::on_connection_refused(mono_time now) {
    if (this->restart.rate > 0) {
        this->expected = {.until = now + this->restart.duration, .rate = this->restart.rate};
    }
}

std::optional<double> upstream_warmth::max_start_rate(mono_time now) const {
    std::optional<double> rate;
    auto apply = [&rate](double limit) { rate = std::min(rate.value_or(limit), limit); };
    if (this->limits_unknown()) {
        apply(this->restart.rate);
    }
    for (const cold_period& each : {this->reported, this->expected}) {
        if (now < each.until) {
            apply(each.rate);
        }
    }
    return rate;
}

mono_time upstream_warmth::warm_at() const {
    return this->limits_unknown() ? mono_time::max()
                                  : std::max(this->reported.until, this->expected.until);
}

}  // namespace trefoil::gate
