// Implements the policy of following the platform.

#include "dissemination/follow_policy.h"

#include <algorithm>
#include <utility>

namespace trefoil::dissemination {

follow_policy::follow_policy(const core_options& settings, random_source& source, mono_time start)
    : options(settings), random(source), followed_since(start), follow_at(start) {}

mono_duration follow_policy::jitter(milliseconds limit) {
    auto ticks = static_cast<double>(mono_duration(limit).count()) * this->random.uniform();
    return mono_duration(static_cast<mono_duration::rep>(ticks));
}

bool follow_policy::update(mono_time now, const follow_inputs& inputs) {
    bool unreported = inputs.peer_platform_confirmed_at == mono_time::min() ||
                      now - inputs.peer_platform_confirmed_at > this->options.fallback_after;
    bool wanted = inputs.reader || !inputs.ready || unreported || inputs.large_document;
    if (wanted && !std::exchange(this->needed, wanted)) {
        // Spreads the start, because all daemons of a failure domain lose their readers at once.
        this->follow_at = now + this->jitter(this->options.fallback_jitter);
    }
    this->needed = wanted;
    if (!this->follows && wanted &&
        (inputs.reader || inputs.large_document || now >= this->follow_at)) {
        this->follows = true;
        this->followed_since = now;
    } else if (this->follows && !wanted &&
               now - this->followed_since >= this->options.min_follow_time) {
        this->follows = false;
    }
    bool trying = this->follows && wanted && !inputs.reader && inputs.ready;
    if (trying && now - std::max(this->followed_since, inputs.answered_at) >=
                      this->options.fallback_timeout) {
        milliseconds mean = this->options.fallback_retry_interval * inputs.domain_size;
        this->follows = false;
        this->follow_at = now + mean / 2 + this->jitter(mean);
    }
    return this->follows;
}

}  // namespace trefoil::dissemination
