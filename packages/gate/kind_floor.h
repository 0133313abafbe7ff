// Keeps a floor for each kind of calls at an overloaded gate, so that urgent kinds do not starve
// others. A kind is a route.
//
// A kind is below its floor while the share of its calls that start is less than a part of the
// share of all calls that start. Its calls then rank as the most urgent ones, until it is at the
// floor again.
//
// Example:
//
//     kind_floor floor;
//     bool promote = floor.offer("detail", now);
//     floor.on_started("detail", now);

#ifndef TREFOIL_GATE_KIND_FLOOR_H_
#define TREFOIL_GATE_KIND_FLOOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"

namespace trefoil::gate {

// Not synchronised; the owner holds a lock.
class kind_floor {
public:
    // The floor as a part of the share of all calls that start. Callers of a kind that is served a
    // few times less often than all others give it up.
    static constexpr double part_of_all = 0.4;
    // Calls that must have been offered lately before a kind can be below its floor.
    static constexpr double min_offered = 8;
    // Older calls count less.
    static constexpr std::chrono::seconds half_life{5};

    // A call is offered. Returns whether its kind is below the floor.
    bool offer(const std::string& kind, mono_time now);
    void on_started(const std::string& kind);

    // Number of calls whose kind was below the floor.
    std::uint64_t promoted() const { return this->promoted_total; }

private:
    struct counts {
        double offered = 0;
        double started = 0;
    };

    void decay(mono_time now);

    absl::flat_hash_map<std::string, counts> kinds;  // With recent calls.
    counts all;                                      // Sum over `kinds`.
    std::optional<mono_time> decayed_at;
    std::uint64_t promoted_total = 0;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_KIND_FLOOR_H_
