// Enforces the rate limits of workspaces by one of two algorithms. If the configuration states the
// maximum number of instances, admission::rate_limiter lends shares of the rate between daemons. If
// it states that the instance list is counted, admission::demand_limiter divides the rate by
// demand.
//
// The home of a workspace is the daemon that collects the loaned shares of its rate and grants
// tokens to the others; only rate_limiter uses it.
//
// Example:
//
//     limits.admit("north", [](const daemon::admission_outcome& outcome) { ... });

#ifndef TREFOIL_DAEMON_LIMIT_SERVICE_H_
#define TREFOIL_DAEMON_LIMIT_SERVICE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "admission/rate_limiter.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/demand_exchange.h"
#include "daemon/peer_connections.h"
#include "daemon/shared_state.h"

namespace trefoil::daemon {

struct admission_outcome {
    bool admitted = false;
    // When a refused caller may retry; empty if that is not known.
    std::optional<std::chrono::milliseconds> retry_after{};

    friend bool operator==(const admission_outcome&, const admission_outcome&) = default;
};

using admission_callback = std::function<void(const admission_outcome&)>;

// Safe for concurrent use.
class limit_service {
public:
    limit_service(const admission::limit_options& options, const demand_exchange_options& self,
                  shared_state& shared, const time_source& clock);

    // To be called once, before any other member.
    void set_connections(peer_connections& target) {
        this->connections = &target;
        this->exchange.set_connections(target);
    }

    // Calls `on_decided` exactly once, from any thread: immediately if a token is available,
    // otherwise at most one tick after the limiter's maximum wait.
    void admit(const std::string& workspace, admission_callback on_decided);

    void on_message(const std::string& from, const messages::peer_message& message);

    // Applies new limits and members from the shared state and runs the timers of the limiter. To
    // be called about every 20 ms by one thread.
    void tick();

    std::optional<admission::rate_limiter::pool_state> inspect(const std::string& workspace) {
        return this->limiter.inspect(workspace);
    }
    // Returns the state of the division by demand; nothing if that algorithm is not selected.
    std::optional<admission::demand_state> inspect_demand(const std::string& workspace);

private:
    void execute(const admission::limiter_output& output);
    // Applies the limits of the snapshot in force.
    void apply_snapshot();
    void set_limits(const config::snapshot& snapshot) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void apply_members();
    std::vector<std::string> home_candidates(const membership::view& view) const;

    const std::string self;
    std::atomic<bool> divides_by_demand{false};  // Which of the two algorithms decides.
    demand_exchange exchange;
    shared_state& shared;
    const time_source& clock;
    peer_connections* connections = nullptr;
    admission::rate_limiter limiter;
    sharded_map<std::uint64_t, admission_callback> waiting;  // By call number.
    std::atomic<std::uint64_t> next_call{1};
    absl::Mutex mutex;
    std::shared_ptr<const config::snapshot> applied_snapshot;  // Guarded by mutex.
    // Used by tick() only.
    std::vector<std::string> applied_members;
    mono_time next_member_check = mono_time::min();
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_LIMIT_SERVICE_H_
