// Bounds retries to a share of calls and a slack, so that retries do not multiply the load of an
// upstream that is already overloaded. The bound holds for the sum over many budgets and in any
// window: a budget earns the share of each call when it comes, starts with nothing, and saves no
// more than its part of the slack, which comes back when it was not used for the window.
//
// Example:
//
//     routing::retry_budget budget({});
//     budget.count_call(now);
//     if (budget.take(now) != routing::retry_allowance::none) { ... retry ... }

#ifndef TREFOIL_ROUTING_RETRY_BUDGET_H_
#define TREFOIL_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil::routing {

// What lets a retry go.
enum class retry_allowance : std::uint8_t {
    none,  // Nothing: the budget is used up.
    share,
    slack,
    minimum,
};

std::string_view to_string(retry_allowance allowance);

// What counts at one moment, for logs and metrics.
struct retry_window {
    double calls = 0;     // Of the last ten seconds.
    double retries = 0;   // Likewise.
    double saved = 0;     // Retries that were earned and not used; negative after debts.
    double capacity = 0;  // The most that is saved.
    double covered = 0;   // What the share of `calls` and the slack leave.
    double left = 0;      // Retries that take() would allow.

    friend bool operator==(const retry_window&, const retry_window&) = default;
};

// Since the start. `refused` counts the retries that were not allowed.
struct retry_totals {
    std::uint64_t share = 0;
    std::uint64_t slack = 0;
    std::uint64_t minimum = 0;
    std::uint64_t refused = 0;
    double nested = 0;  // Nested calls of repeats, as far as they are likely to be.

    friend bool operator==(const retry_totals&, const retry_totals&) = default;
};

struct retry_budget_options {
    double share = 0.1;  // Of the calls of the last ten seconds.
    // Of the share, what may be used in every ten seconds, one after the other.
    double sustained_fraction = 1;
    std::uint32_t minimum_per_second = 3;  // Allowed whatever the share.
    double slack = 0;                      // Retries in ten seconds beyond the share.
};

// Safe for concurrent use.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options initial) : options(initial) {}

    // Replaces the slack, which a fleet divides by its size.
    void set_slack(double slack, mono_time now);

    // Counts a call (not a retry). `retry_probability` is the likelihood that a repeated run makes
    // it: so far it is a retry, which is used even if the budget has nothing left.
    void count_call(mono_time now, double retry_probability = 0);

    // Returns a retry that was taken and that no upstream will see.
    void refund(mono_time now);

    // Takes a retry from the budget, unless it is used up. Returns what allows the retry.
    retry_allowance take(mono_time now);

    // Retries that take() would allow at this moment.
    double left(mono_time now) const;

    retry_window window(mono_time now) const;
    retry_totals totals() const;

private:
    static constexpr std::int64_t window_seconds = 10;
    // One more, so that whatever began in the window counts.
    static constexpr std::size_t ring_size = window_seconds + 1;

    struct second_count {
        std::int64_t second = 0;  // Since the epoch of the clock.
        double calls = 0;
        double retries = 0;
        std::uint32_t taken = 0;  // By take().
    };

    static std::size_t index_of(std::int64_t second);

    second_count& count_of(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double capacity() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double saved_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void settle(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    retry_window counted(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double allowed_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double left_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    retry_allowance allowance_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void count(retry_allowance used) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    retry_budget_options options;  // Guarded by mutex.
    std::array<second_count, ring_size> seconds{};
    // At most capacity(). 0 at the start, because the process before may have used its part.
    double saved = 0;
    retry_totals total;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RETRY_BUDGET_H_
