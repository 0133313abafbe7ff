// The limit of one workspace at one daemon. Combines the tokens that it has as a share owner or
// home (workspace_home.h) with its batches and waiting calls as an ingress (token_holder.h).
//
// Example:
//
//     admission::workspace_limiter north(options, "north", rounds, now, usable_from);
//     north.set_limit({.workspace = "north", .rate = 50, .burst = 20}, 12, now);
//     north.set_home("station-1", home, members);
//     admission::admit_result result = north.try_admit(call_id, now, out);

#ifndef TREFOIL_ADMISSION_WORKSPACE_LIMITER_H_
#define TREFOIL_ADMISSION_WORKSPACE_LIMITER_H_

#include <string>
#include <vector>

#include "admission/limit_options.h"
#include "admission/round_source.h"
#include "admission/token_holder.h"
#include "admission/workspace_home.h"

namespace trefoil::admission {

enum class admit_result {
    admitted,
    wait,     // A later limiter_output has the decision.
    refused,  // No token is expected within `max_wait`.
};

// Not safe for concurrent use. Times may go backwards by the delay between reading the clock and
// locking the shard; the latest time seen is used.
class workspace_limiter {
public:
    // `numbers` must outlive this object. The own share becomes active at `usable_from`.
    workspace_limiter(const limit_options& settings, const std::string& name, round_source& numbers,
                      mono_time now, mono_time usable_from);

    void set_limit(const workspace_limit& limit, int shares, mono_time now);

    // Sets the home and all live instances. `home` is empty when no instance is known.
    void set_home(const std::string& self, const std::string& home,
                  const std::vector<std::string>& members);

    admit_result try_admit(std::uint64_t call, mono_time time, limiter_output& out);

    void on_token_request(const std::string& from, const messages::token_request& request,
                          mono_time time, limiter_output& out);
    void on_token_grant(const std::string& from, const messages::token_grant& grant, mono_time time,
                        limiter_output& out);

    // Handles one workspace of a loan_request. The share is lent only to the home that this daemon
    // knows: a loan to another daemon would withhold it from the home for loan_duration.
    std::optional<messages::loan> on_loan_request(const share_borrower& from, mono_time time);
    void on_release(const share_borrower& from, const messages::loan_request::release& release,
                    mono_time time, limiter_output& out);
    void on_loan(const std::string& from, std::uint64_t round, mono_duration duration,
                 const messages::loan& loan, mono_time time, limiter_output& out);

    void tick(mono_time time, limiter_output& out);

    // The tokens of this daemon, for loan requests and for inspection.
    workspace_home& home() { return this->local_tokens; }

private:
    mono_time advance(mono_time time);
    bool take_token(mono_time now);
    void process_waiting(mono_time now, limiter_output& out);

    limit_options options;
    std::string workspace;
    round_source& rounds;
    workspace_home local_tokens;
    token_holder holder;
    std::string home_instance;  // Empty when unknown.
    std::string remote_home;    // `home_instance` unless this daemon is the home.
    mono_time latest;           // Latest time seen.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_WORKSPACE_LIMITER_H_
