// The tokens of one workspace at an ingress: the batches that the workspace's home granted, the
// estimate of the demand, and the calls that wait for a token. limit_options.h defines home, batch
// and settlement.
//
// Example:
//
//     admission::token_holder holder(options, "north");
//     if (!holder.take(now)) {
//         holder.add_waiting(call_id, now);
//     }
//     holder.send_requests("station-2", now, rounds, out);
//
// Tokens are requested for calls that wait, and ahead of demand (prefetched), so that most calls
// find a token without a message.

#ifndef TREFOIL_ADMISSION_TOKEN_HOLDER_H_
#define TREFOIL_ADMISSION_TOKEN_HOLDER_H_

#include <deque>
#include <string>
#include <vector>

#include "admission/limit_options.h"
#include "admission/round_source.h"

namespace trefoil::admission {

// Not safe for concurrent use. A batch is usable for `drift_safe_duration(batch_lifetime)` after
// its request, which is checked at each use.
class token_holder {
public:
    token_holder(const limit_options& settings, std::string name)
        : options(settings), workspace(std::move(name)) {}

    void set_limit(double new_rate, double new_burst, int new_shares);

    // Counts a call for the demand estimate.
    void count_call() { ++this->calls; }

    // Takes a token from a batch that is still usable. Returns whether there was one.
    bool take(mono_time now);

    // Whether one more waiting call is likely to get a token within `max_wait`, judged by the
    // latest answers of the home.
    bool may_get_token(mono_time now) const;

    void add_waiting(std::uint64_t call, mono_time now);
    std::size_t waiting_count() const { return this->waiting.size(); }

    // Refuses the calls that have waited for `max_wait`.
    void refuse_expired(mono_time now, limiter_output& out);

    // Admits the first waiting call, for which the caller has taken a token. Requires a waiting
    // call.
    void admit_first(limiter_output& out);

    // Adds a granted batch. Returns whether the grant answers an open request.
    bool on_grant(const std::string& from, const messages::token_grant& grant, mono_time now,
                  limiter_output& out);

    // Returns all unspent tokens of the batches that `from` granted.
    void on_recall(const std::string& from, mono_time now, round_source& rounds,
                   limiter_output& out);

    // Updates the demand estimate. Has no effect within 100 ms of the previous update.
    void update_demand(mono_time now);

    // Sends requests for waiting calls, requests ahead of demand and settlements, as far as they
    // are due. With an empty `home` (this daemon is the home, or none is known) it sends
    // settlements only.
    void send_requests(const std::string& home, mono_time now, round_source& rounds,
                       limiter_output& out);

    // Inexpensive check whether send_requests() may request tokens after one was taken.
    bool needs_refill() const { return this->held < this->low_water; }

    double held_tokens() const { return this->held; }

private:
    struct batch {
        std::uint64_t id = 0;
        std::string home;
        double left = 0;
        double spent = 0;
        double reported = 0;  // Part of `spent` that was reported to the home.
        mono_time return_at;  // Time at which unspent tokens are returned, early enough to arrive
                              // before the batch expires.
        mono_time usable_until;
    };
    struct open_request {
        std::uint64_t round = 0;
        std::string home;
        mono_time requested_at;
        double needed_count = 0;
        double prefetch_count = 0;
        bool overdue = false;  // No answer within `max_wait`; its counts are ignored.
    };
    struct waiting_call {
        std::uint64_t call = 0;
        mono_time deadline;
    };

    bool usable(const batch& item, mono_time now) const;
    void drop_expired(mono_time now);
    void drop_stale(mono_time now);
    void refuse_waiting(double count, limiter_output& out);
    bool settlement_due(const std::string& home, mono_time now) const;
    double falling_smoothing() const;
    mono_duration prefetch_backoff() const;
    mono_duration settle_interval() const;
    void return_unspent(batch& item);
    std::vector<messages::token_request::settlement> settle(const std::string& home, mono_time now);
    double needed_tokens(mono_time now) const;
    double prefetch_tokens(mono_time now) const;
    void settle_others(const std::string& home, mono_time now, round_source& rounds,
                       limiter_output& out);

    limit_options options;
    std::string workspace;
    double rate = 0;
    double burst = 0;
    int shares = 1;
    std::deque<batch> batches;                // In order of `usable_until`, oldest first.
    std::vector<open_request> open_requests;  // Unanswered, sent less than `batch_lifetime` ago.
    std::deque<waiting_call> waiting;         // In order of deadline.
    double held = 0;                          // Sum of `left` over `batches`.
    double low_water = 0;                     // Tokens are requested when `held` is below this.
    double target = 0;                        // Number of tokens to hold ahead of demand.
    double demand = 0;                        // Calls per second, smoothed.
    std::uint64_t calls = 0;                  // Number of calls since `measured`.
    mono_time measured;                       // Time of the latest update of `demand`.
    mono_time exhausted_until;  // Time until which the home is assumed to have no tokens.
    // Time until which the home is assumed to have fewer tokens than there are waiting calls.
    mono_time shortage_until;
    mono_time prefetch_not_before;  // Earliest time of the next prefetch after the home granted too
                                    // few tokens or recalled some.
    mono_time settle_not_before;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TOKEN_HOLDER_H_
