// Decides which log lines are written while they come faster than they may.
//
// Example:
//
//     log_budget budget;
//     budget.start({.lines_per_second = 400, .burst_lines = 2000}, clock.now());
//     if (budget.take_of_request(log_priority::failure, request_id, clock.now())) { ... }

#ifndef TREFOIL_BASE_LOG_BUDGET_H_
#define TREFOIL_BASE_LOG_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil {

struct log_budget_options {
    // Most lines a second in the long run, and at once. A line has about 250 bytes.
    double lines_per_second = 400;
    double burst_lines = 2000;

    friend bool operator==(const log_budget_options&, const log_budget_options&) = default;
};

// How much a line about a request matters. Lines about the daemon itself come before both.
enum class log_priority { ordinary, failure };

// Safe for concurrent use.
class log_budget {
public:
    // How often the count of missing lines is reported.
    static constexpr std::chrono::seconds report_interval{1};

    void start(const log_budget_options& options, mono_time now);

    // For lines about the daemon: dropped only when the budget is spent.
    bool take(mono_time now);

    // For lines about a request. They thin out before the budget is spent, ordinary ones first:
    // then only some requests are chosen, always the same, so that a request has all its lines or
    // none. They leave a part of the budget to the lines about the daemon.
    bool take_of_request(log_priority priority, std::string_view request_id, mono_time now);

    // Lines refused since the last report; 0 while the last report is too recent.
    std::uint64_t take_unreported(mono_time now);
    // The same at any time, for the end of the process.
    std::uint64_t take_last_unreported(mono_time now);

    std::uint64_t written() const;
    std::uint64_t refused() const;

private:
    void refill(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool spend() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    // Guarded by mutex.
    log_budget_options options;
    double tokens = options.burst_lines;
    mono_time counted_at{};
    mono_time reported_at{};
    std::uint64_t spent = 0;
    std::uint64_t missing = 0;
    std::uint64_t reported = 0;
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOG_BUDGET_H_
