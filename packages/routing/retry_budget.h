// Retry budget: bounds retries to a share of the calls plus a slack, a number of retries per ten
// seconds that does not depend on the calls. So retries do not multiply the load of an overloaded
// upstream.
//
// It works like a token bucket, whose balance is the number of saved retries. Each call earns
// `share` of a retry and each retry costs one. The balance starts at 0 and is capped at the slack
// (or at one retry or the minimum per second if they are more); slack that was not used for a
// window of ten seconds is available again. So the bound also holds for the sum over the budgets of
// many daemons, in every window. A minimum per second is allowed even when the balance is used up.
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

// The part of the budget that covers a retry.
enum class retry_allowance : std::uint8_t {
    none,     // The budget is used up.
    share,    // The share of the calls of the last ten seconds.
    slack,    // Beyond the share.
    minimum,  // The minimum per second.
};

std::string_view to_string(retry_allowance allowance);

// State of a budget at one moment, for logs and metrics.
struct retry_window {
    double calls = 0;     // In the last ten seconds.
    double retries = 0;   // In the last ten seconds.
    double saved = 0;     // Balance: retries earned and not used; negative when overdrawn.
    double capacity = 0;  // Maximum balance.
    double covered = 0;   // Share of `calls` plus slack, less `retries`.
    double left = 0;      // Number of retries that take() would allow.

    friend bool operator==(const retry_window&, const retry_window&) = default;
};

// Retries since the start, by the part of the budget that covered them.
struct retry_totals {
    std::uint64_t share = 0;
    std::uint64_t slack = 0;
    std::uint64_t minimum = 0;
    std::uint64_t refused = 0;  // Retries that were not allowed.
    double nested = 0;          // Sum of the retry probabilities of nested calls.

    friend bool operator==(const retry_totals&, const retry_totals&) = default;
};

struct retry_budget_options {
    double share = 0.1;  // Retries per call, over the last ten seconds.
    // Fraction of the share that may be used in consecutive windows of ten seconds.
    double sustained_fraction = 1;
    std::uint32_t minimum_per_second = 3;  // Retries that are allowed regardless of the share.
    double slack = 0;                      // Retries per ten seconds beyond the share.
};

// Safe for concurrent use.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options initial) : options(initial) {}

    // Replaces the slack. It is a share of the fleet's slack and depends on the size of the fleet.
    void set_slack(double slack, mono_time now);

    // Counts a call that is not a retry itself. `retry_probability` is the probability that a
    // retried attempt of another request makes it. To that extent it counts as a retry, even if the
    // budget is used up, so that the balance can become negative.
    void count_call(mono_time now, double retry_probability = 0);

    // Returns a retry that was taken and will not reach any upstream.
    void refund(mono_time now);

    // Takes a retry from the budget unless it is used up. Returns the part that covers the retry.
    retry_allowance take(mono_time now);

    // Number of retries that take() would allow at this moment.
    double left(mono_time now) const;

    retry_window window(mono_time now) const;
    retry_totals totals() const;

private:
    static constexpr std::int64_t window_seconds = 10;
    // One more second, so that the second in which the window begins is included.
    static constexpr std::size_t ring_size = window_seconds + 1;

    struct second_count {
        std::int64_t second = 0;  // Since the epoch of the clock.
        double calls = 0;
        double retries = 0;
        std::uint32_t taken = 0;  // Retries allowed by take().
    };

    static std::size_t ring_index(std::int64_t second);

    second_count& counter_of(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double capacity() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double saved_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void update_balance(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    retry_window window_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double allowed_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    double left_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    retry_allowance allowance_at(mono_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void count(retry_allowance used) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    retry_budget_options options;  // Guarded by mutex.
    std::array<second_count, ring_size> seconds{};
    // Balance, at most capacity(). 0 at the start, because the previous process may have used its
    // share just before.
    double saved = 0;
    retry_totals total;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_RETRY_BUDGET_H_
