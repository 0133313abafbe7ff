// Plays a change of a document that is undone after the readers of the store were lost, and counts
// what that costs.
//
// Example:
//
//     undone_change_result result = play({.daemons = 20, .domains = 2});

#ifndef TREFOIL_DISSEMINATION_TESTING_UNDONE_CHANGE_H_
#define TREFOIL_DISSEMINATION_TESTING_UNDONE_CHANGE_H_

#include <cstddef>
#include <cstdint>

namespace trefoil::dissemination {

struct undone_change {
    std::size_t daemons = 0;
    std::size_t domains = 0;
    // Other ways to find out that the change was undone.
    bool new_revision_at_each_load = false;
    bool every_daemon_follows = false;
};

// Of all daemons in 9 s.
struct undone_change_cost {
    std::uint64_t bytes = 0;   // Sent to other daemons.
    std::uint64_t calls = 0;   // To the store.
    std::uint64_t probes = 0;  // A tenth of a call each.
};

struct undone_change_result {
    std::int64_t time_ms = 0;  // Until all daemons hold what the store has.
    undone_change_cost calm;
    undone_change_cost lost;  // From the reversal on; another document changes twice a second.
    std::uint64_t regressions = 0;
};

undone_change_result play(const undone_change& given);

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_UNDONE_CHANGE_H_
