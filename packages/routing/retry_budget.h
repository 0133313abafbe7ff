// Bounds retries to a share of calls, so that retries do not multiply the load of an upstream that
// is already overloaded.
//
// Example:
//
//     routing::retry_budget budget({});
//     budget.count_call(now);
//     if (budget.take(now)) { ... retry ... }

#ifndef TREFOIL_ROUTING_RETRY_BUDGET_H_
#define TREFOIL_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil::routing {

struct retry_budget_options {
    double share = 0.1;                    // Of the calls of the last ten seconds.
    std::uint32_t minimum_per_second = 3;  // Allowed whatever the share.
    double slack = 0;                      // Retries in ten seconds beyond the share.
};

// Safe for concurrent use.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options initial) : options(initial) {}

    // Replaces the slack, which a fleet divides by its size.
    void set_slack(double slack);

    // Counts a call (not a retry).
    void count_call(mono_time now);

    // Takes a retry from the budget. Returns false when the budget is used up.
    bool take(mono_time now);

    // Retries that take() would allow at this moment.
    double left(mono_time now) const;

private:
    static constexpr std::size_t ring_size = 10;  // Seconds that count.

    static std::size_t index_of(std::int64_t second);

    struct second_count {
        std::int64_t second = 0;  // Since the epoch of the clock.
        std::uint64_t calls = 0;
        std::uint64_t retries = 0;
    };

    second_count& count_of(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double left_of_share(std::int64_t second) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    retry_budget_options options;  // Guarded by mutex.
    std::array<second_count, ring_size> seconds{};
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RETRY_BUDGET_H_
