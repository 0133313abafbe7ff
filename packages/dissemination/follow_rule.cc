// Implements the rule of following.

#include "dissemination/follow_rule.h"

#include <utility>

namespace trefoil::dissemination {

follow_rule::follow_rule(const core_options& settings, random_source& source, mono_time start)
    : options(settings), random(source), since(start), due_at(start) {}

bool follow_rule::update(mono_time now, const follow_facts& facts) {
    bool missed = facts.vouched_at == mono_time::min() ||
                  now - facts.vouched_at > this->options.fallback_after;
    bool wanted = facts.reader || !facts.ready || missed;
    if (wanted && !std::exchange(this->needed, wanted)) {
        // All daemons of a domain miss their readers at once.
        mono_duration spread(this->options.fallback_spread);
        auto ticks = static_cast<double>(spread.count()) * this->random.uniform();
        this->due_at = now + mono_duration(static_cast<mono_duration::rep>(ticks));
    }
    this->needed = wanted;
    if (!this->follows && wanted && (facts.reader || now >= this->due_at)) {
        this->follows = true;
        this->since = now;
    } else if (this->follows && !wanted && now - this->since >= this->options.shortest_following) {
        this->follows = false;
    }
    return this->follows;
}

}  // namespace trefoil::dissemination
