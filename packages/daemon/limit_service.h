// Holds workspaces to their rates: by loaned shares where the configuration states the largest
// number of instances, and by shares that follow demand where the instance list is counted.
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
    // When a refused caller may come back, where that is known.
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

    // Calls `decided` once: at once when a token is at hand, otherwise after at most the wait bound
    // and one tick, from any thread.
    void admit(const std::string& workspace, admission_callback decided);

    void on_message(const std::string& from, const messages::peer_message& message);

    // Takes over new limits and members from the shared state and does what is due. To be called
    // about every 20 ms by one thread.
    void tick();

    std::optional<admission::rate_limiter::pool_state> inspect(const std::string& workspace) {
        return this->limiter.inspect(workspace);
    }
    // Where shares follow demand.
    std::optional<admission::demand_state> inspect_demand(const std::string& workspace);

private:
    void execute(const admission::limiter_output& output);
    // Takes over the limits of the snapshot in force.
    void follow_snapshot();
    void set_limits(const config::snapshot& snapshot) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void follow_members();
    std::vector<std::string> possible_homes(const membership::view& view) const;

    const std::string self;
    std::atomic<bool> by_demand{false};  // Whether shares follow demand.
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
    std::vector<std::string> applied_live;
    mono_time next_member_check = mono_time::min();
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_LIMIT_SERVICE_H_
