// Implements the rule of following.

#include "dissemination/follow_rule.h"

#include <algorithm>
#include <utility>

namespace trefoil::dissemination {

follow_rule::follow_rule(const core_options& settings, random_source& source, mono_time start)
    : options(settings), random(source), since(start), due_at(start) {}

mono_duration follow_rule::spread(milliseconds limit) {
    auto ticks = static_cast<double>(mono_duration(limit).count()) * this->random.uniform();
    return mono_duration(static_cast<mono_duration::rep>(ticks));
}

bool follow_rule::update(mono_time now, const follow_facts& facts) {
    bool missed = facts.vouched_at == mono_time::min() ||
                  now - facts.vouched_at > this->options.fallback_after;
    bool wanted = facts.reader || !facts.ready || missed;
    if (wanted && !std::exchange(this->needed, wanted)) {
        // All daemons of a domain miss their readers at once.
        this->due_at = now + this->spread(this->options.fallback_spread);
    }
    this->needed = wanted;
    if (!this->follows && wanted && (facts.reader || now >= this->due_at)) {
        this->follows = true;
        this->since = now;
    } else if (this->follows && !wanted && now - this->since >= this->options.shortest_following) {
        this->follows = false;
    }
    bool tries = this->follows && wanted && !facts.reader && facts.ready;
    if (tries && now - std::max(this->since, facts.reached_at) >= this->options.fallback_attempt) {
        milliseconds mean = this->options.fallback_pause * facts.domain_size;
        this->follows = false;
        this->due_at = now + mean / 2 + this->spread(mean);
    }
    return this->follows;
}

}  // namespace trefoil::dissemination
