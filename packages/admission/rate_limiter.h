// Fleet-wide rate limits at one daemon, enforced by loaned shares (limit_options.h): decides
// whether a call from outside the fleet is admitted.
//
// Example:
//
//     admission::rate_limiter limiter({.incarnation = incarnation}, clock.now());
//     limiter.set_limits({{.workspace = "north", .rate = 50, .burst = 20}}, 12, clock.now());
//     limiter.set_members("station-1", {"station-1", "station-2"});
//     admission::limiter_output out;
//     auto result = limiter.try_admit("north", call_id, clock.now(), out);
//     // Send out.messages and deliver out.decisions. Call tick() about every 20 ms.
//
// docs/limits.md has the rules, and the proof that all daemons together stay within a limit.

#ifndef TREFOIL_ADMISSION_RATE_LIMITER_H_
#define TREFOIL_ADMISSION_RATE_LIMITER_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "admission/limit_options.h"
#include "admission/round_source.h"
#include "admission/workspace_limiter.h"

namespace trefoil::admission {

// Safe for concurrent use. State is sharded by workspace, with one lock per shard. No member
// function blocks on anything but these locks.
//
// The time of an admission is the `now` that the caller passes. A caller must read the clock for
// each call, and must not pass a time that it read before it waited for something.
class rate_limiter {
public:
    // Starts without tokens. The own shares become active `loan_duration` after `now`.
    rate_limiter(const limit_options& settings, mono_time now);

    // Decides on a call from outside the fleet. If the result is `wait`, a later wait_decision has
    // the same `call`, which must be unique among waiting calls. Calls of unknown workspaces are
    // refused.
    admit_result try_admit(std::string_view workspace, std::uint64_t call, mono_time now,
                           limiter_output& out);

    // Handles loan_request, loan_grant, token_request and token_grant; ignores other messages.
    void on_message(const std::string& from, const messages::peer_message& message, mono_time now,
                    limiter_output& out);

    // Sends due requests, expires loans and batches, and refuses calls that have waited for too
    // long: at most one tick after `max_wait`.
    void tick(mono_time now, limiter_output& out);

    // Sets the instances among which homes are chosen. When this daemon leaves the fleet, `live`
    // does not contain `self`, and the daemon releases the shares that it borrowed.
    void set_members(const std::string& self, const std::vector<std::string>& live);

    // Replaces the limits of all workspaces. A larger `max_instances` applies at once. A smaller
    // one, which enlarges each share, applies after 2 x loan_duration, when no loan of a removed
    // instance can be in use.
    void set_limits(const std::vector<workspace_limit>& limits, int max_instances, mono_time now);

    // State of a workspace: the shares in use at this daemon, their whole available tokens, and
    // their tokens outstanding in batches.
    struct pool_state {
        int shares = 0;
        double tokens = 0;
        double outstanding = 0;
        bool is_home = false;
    };
    std::optional<pool_state> inspect(std::string_view workspace);

private:
    static constexpr std::size_t shard_count = 16;

    struct entry {
        std::unique_ptr<workspace_limiter> limiter;
        workspace_limit limit;
        bool removed = false;
        mono_time removed_at;
    };
    struct shard {
        absl::Mutex mutex;
        std::map<std::string, entry, std::less<>> entries;  // Guarded by mutex.
    };
    struct member_view {
        std::string self;
        std::vector<std::string> live;
    };
    using loan_requests = std::map<std::string, messages::loan_request>;

    shard& shard_of(std::string_view workspace);
    template <class Action>
    void with_workspace(std::string_view workspace, Action action);
    void assign_home(workspace_limiter& limiter, const std::string& workspace,
                     const member_view& view);
    void apply_limit(const workspace_limit& limit, int shares, mono_time now);
    void remove_unlisted(const std::vector<workspace_limit>& limits, int shares, mono_time now);
    int change_shares(int max_instances, mono_time now);
    void apply_pending_shares(mono_time now);
    void collect_loan_requests(shard& each, mono_time now, loan_requests& requests);
    void handle(const std::string& from, const messages::loan_request& request, mono_time now,
                limiter_output& out);
    void handle(const std::string& from, const messages::loan_grant& grant, mono_time now,
                limiter_output& out);
    void handle(const std::string& from, const messages::token_request& request, mono_time now,
                limiter_output& out);
    void handle(const std::string& from, const messages::token_grant& grant, mono_time now,
                limiter_output& out);

    const limit_options options;
    const mono_time usable_from;  // Time at which own shares become active.
    round_source rounds;
    std::array<shard, shard_count> shards;

    // Serialises changes of limits and members. Acquired before the mutex of a shard, never while
    // one is held.
    absl::Mutex settings_mutex;
    member_view members;      // Guarded by settings_mutex.
    int shares_in_force = 0;  // Guarded by settings_mutex; 0 before the first set_limits().
    struct pending_shares {
        int shares = 0;
        mono_time due;
    };
    std::optional<pending_shares> pending;  // Guarded by settings_mutex.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_RATE_LIMITER_H_
