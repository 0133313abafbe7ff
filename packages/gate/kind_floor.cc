// Implements the floor with counts of offered and started calls that decay over time.

#include "gate/kind_floor.h"

#include <cmath>

namespace trefoil::gate {

namespace {

// Shortest interval of the decay, which visits every kind.
constexpr std::chrono::milliseconds decay_interval{500};
// Kinds with fewer calls are forgotten.
constexpr double min_kept = 0.5;

}  // namespace

bool kind_floor::offer(const std::string& kind, mono_time now) {
    this->decay(now);
    counts& own = this->kinds[kind];
    bool below = own.offered >= min_offered &&
                 own.started * this->all.offered < part_of_all * this->all.started * own.offered;
    own.offered += 1;
    this->all.offered += 1;
    this->promoted_total += below ? 1 : 0;
    return below;
}

void kind_floor::on_started(const std::string& kind) {
    auto found = this->kinds.find(kind);
    if (found != this->kinds.end()) {
        found->second.started += 1;
        this->all.started += 1;
    }
}

void kind_floor::decay(mono_time now) {
    std::chrono::duration<double> since = now - this->decayed_at.value_or(now);
    if (this->decayed_at.has_value() && since < decay_interval) {
        return;
    }
    this->decayed_at = now;
    double factor = std::exp2(-since / half_life);
    this->all = {};
    for (auto& [kind, each] : this->kinds) {
        each.offered *= factor;
        each.started *= factor;
        this->all.offered += each.offered;
        this->all.started += each.started;
    }
    absl::erase_if(this->kinds, [](const auto& each) { return each.second.offered < min_kept; });
}

}  // namespace trefoil::gate
