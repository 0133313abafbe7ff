// A rate limit for log lines that decides which lines are dropped while more come than the limit
// allows. Lines about requests are sampled and dropped before lines about the daemon itself.
//
// Example:
//
//     log_budget budget;
//     budget.start({.lines_per_second = 400, .burst_lines = 2000}, clock.now());
//     if (budget.take_for_request(log_priority::failure, request_id, clock.now())) { ... }

#ifndef TREFOIL_BASE_LOG_BUDGET_H_
#define TREFOIL_BASE_LOG_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil {

struct log_budget_options {
    // Sustained rate and burst size. A line has about 250 bytes.
    double lines_per_second = 400;
    double burst_lines = 2000;

    friend bool operator==(const log_budget_options&, const log_budget_options&) = default;
};

// The priority of a line about a request. Lines about the daemon itself have precedence over both.
enum class log_priority { ordinary, failure };

// A token bucket with one token per line. Safe for concurrent use.
class log_budget {
public:
    // Shortest time between two reports of the number of dropped lines.
    static constexpr std::chrono::seconds report_interval{1};

    // Sets the limits and fills the bucket.
    void start(const log_budget_options& options, mono_time now);

    // Returns whether a line about the daemon may be written. It is dropped only when the bucket is
    // empty.
    bool take(mono_time now);

    // Returns whether a line about a request may be written. As the bucket empties, lines about
    // requests are first sampled and then dropped, ordinary ones before failures, so that tokens
    // remain for the lines about the daemon. While lines are sampled, `request_id` alone decides:
    // a request then has all its lines, in every daemon that samples, or none.
    bool take_for_request(log_priority priority, std::string_view request_id, mono_time now);

    // Returns the number of lines dropped since the last report and counts as a report. Returns 0
    // until report_interval has passed since the last report that was not 0.
    std::uint64_t take_unreported_drops(mono_time now);
    // Like take_unreported_drops(), but without the interval. For use at the end of the process.
    std::uint64_t take_remaining_drops(mono_time now);

    // Numbers of lines since the start of the process.
    std::uint64_t written() const;
    std::uint64_t dropped() const;

private:
    void refill(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    // Takes one token, or counts a dropped line when none is left.
    bool spend() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    // All members below are guarded by mutex.
    log_budget_options options;
    double tokens = options.burst_lines;
    mono_time refilled_at{};  // Never moves backwards.
    mono_time reported_at{};
    std::uint64_t written_lines = 0;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported_drops = 0;  // At most dropped_lines.
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOG_BUDGET_H_
