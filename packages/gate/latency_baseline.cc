// Implements the baseline over windows of responses. Only the low percentile of a window is
// compared with it: overload delays every response, while a mix of cheap and expensive requests
// leaves the low percentile as it is.

#include "gate/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace trefoil::gate {

namespace {

mono_duration scaled(mono_duration duration, double factor) {
    return mono_duration(
        static_cast<mono_duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

bool latency_baseline::observe(mono_duration latency, upstream_use use, mono_time now) {
    this->window_use = this->window.empty() ? use : std::max(this->window_use, use);
    this->window.push_back(latency);
    return this->window.size() >= this->options.window_responses && this->complete_window(now);
}

bool latency_baseline::observe_unfinished(mono_duration elapsed, upstream_use use, mono_time now) {
    bool informative =
        this->baseline.has_value() && elapsed > scaled(*this->baseline, this->options.jump_factor);
    return informative && this->observe(elapsed, use, now);
}

bool latency_baseline::complete_window(mono_time now) {
    std::size_t position = this->window.size() > 1 ? 1 : 0;
    std::nth_element(this->window.begin(),
                     this->window.begin() + static_cast<std::ptrdiff_t>(position),
                     this->window.end());
    mono_duration low = this->window[position];
    this->window.clear();
    if (!this->baseline.has_value()) {
        this->baseline = low;
        this->changed_at = now;
        return false;
    }
    bool jump = low > scaled(*this->baseline, this->options.jump_factor);
    if (low < *this->baseline) {
        this->baseline = (low + *this->baseline) / 2;
    } else {
        this->raise(low, now);
    }
    this->changed_at = now;
    return jump && this->window_use != upstream_use::single;
}

void latency_baseline::raise(mono_duration low, mono_time now) {
    double factor = 1.0;
    if (this->window_use == upstream_use::single) {
        factor = this->options.single_growth;
    } else if (this->window_use == upstream_use::partial) {
        std::chrono::duration<double> elapsed = now - this->changed_at;
        std::chrono::duration<double> doubling = this->options.doubling_time;
        factor = std::exp2(std::min(1.0, elapsed / doubling));
    }
    this->baseline = std::min(low, scaled(*this->baseline, factor));
}

}  // namespace trefoil::gate
