// Error budget burn rates per service and workspace. A service's error budget is the fraction of
// calls that its objective allows to be bad. The burn rate is the fraction of bad calls in a time
// window divided by the error budget.
//
// Example:
//
//     telemetry::burn_tracker burn;
//     burn.set_objectives({{"station", {.availability = 0.999, .latency = milliseconds(250)}}});
//     burn.record("station", "north", {.latency = milliseconds(31)}, clock.now());
//     for (const telemetry::burn_row& row : burn.rows(clock.now())) { ... }

#ifndef TREFOIL_TELEMETRY_BURN_TRACKER_H_
#define TREFOIL_TELEMETRY_BURN_TRACKER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/published_value.h"
#include "base/time.h"
#include "telemetry/burn_window.h"

namespace trefoil::telemetry {

// A service level objective. A call is good when it succeeds within `latency`.
struct service_objective {
    double availability = 0.999;  // Fraction of calls that must be good; below 1.
    std::chrono::milliseconds latency{250};

    friend bool operator==(const service_objective&, const service_objective&) = default;
};

// The latency and result of one call.
struct served_call {
    mono_duration latency{0};
    bool error = false;

    friend bool operator==(const served_call&, const served_call&) = default;
};

// The calls of one service and workspace in one window. A burn rate of 1 spends the error budget
// exactly as fast as the objective allows; it is infinite for bad calls when the objective allows
// none.
struct burn_row {
    std::string service;
    std::string workspace;
    std::chrono::seconds window{0};
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double burn_rate = 0;

    friend bool operator==(const burn_row&, const burn_row&) = default;
};

// Safe for concurrent use. Pairs of service and workspace are distributed over shards, each with
// its own lock, by a hash; a shard tracks at most `max_pairs_per_shard` pairs. When it is full,
// its pairs without calls for an hour are evicted; if there are none, calls of further pairs are
// counted under their service and the workspace `other_workspace`.
class burn_tracker {
public:
    static constexpr std::size_t max_pairs_per_shard = 64;
    static constexpr std::string_view other_workspace = "(other)";

    using objective_map = std::map<std::string, service_objective, std::less<>>;

    // Replaces all objectives. Calls of services without an objective are not counted.
    void set_objectives(objective_map objectives);

    void record(std::string_view service, std::string_view workspace, const served_call& call,
                mono_time now);

    // Returns the windows of 5 minutes and of 1 hour for every pair with calls in the last hour,
    // sorted by service, workspace and window.
    std::vector<burn_row> rows(mono_time now) const;

private:
    static constexpr std::size_t shard_count = 16;

    using pair = std::pair<std::string, std::string>;  // Service and workspace.
    struct shard {
        mutable std::mutex mutex;
        std::map<pair, burn_window> windows;  // Guarded by mutex.
    };

    // Returns false when the pair is not tracked yet and its shard has `max_pairs` pairs.
    bool record_pair(pair pair_id, bool good, mono_time now, std::size_t max_pairs);

    published_value<objective_map> objectives;
    std::array<shard, shard_count> shards;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_BURN_TRACKER_H_
