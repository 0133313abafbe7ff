// The tokens of one workspace that an ingress got from the workspace's home, the demand there, and
// the calls that wait for a token.
//
// Example:
//
//     admission::token_holder holder(options, "north");
//     if (!holder.take(now)) {
//         holder.add_waiting(call_id, now);
//     }
//     holder.request("station-2", now, rounds, out);

#ifndef TREFOIL_ADMISSION_TOKEN_HOLDER_H_
#define TREFOIL_ADMISSION_TOKEN_HOLDER_H_

#include <deque>
#include <string>
#include <vector>

#include "admission/limit_options.h"
#include "admission/round_source.h"

namespace trefoil::admission {

// Not safe for concurrent use. A batch is usable for `safe_part(batch_lifetime)` from when it was
// asked for, which is checked at each use.
class token_holder {
public:
    token_holder(const limit_options& settings, std::string name)
        : options(settings), workspace(std::move(name)) {}

    void set_limit(double new_rate, double new_burst, int new_shares);

    // Counts one call for the demand estimate.
    void count_call() { ++this->calls; }

    // Takes a token from a batch that is still usable.
    bool take(mono_time now);

    // Whether one more waiting call may get a token within the wait bound, judged by the home's
    // last answers.
    bool hopeful(mono_time now) const;

    void add_waiting(std::uint64_t call, mono_time now);
    std::size_t waiting_count() const { return this->waiting.size(); }

    // Refuses the calls that waited for too long.
    void refuse_late(mono_time now, limiter_output& out);

    // Admits the first waiting call. The caller took a token for it. Valid while calls wait.
    void admit_first(limiter_output& out);

    // Takes over a granted batch and returns whether the answer was to an open request.
    bool on_grant(const std::string& from, const messages::token_grant& grant, mono_time now,
                  limiter_output& out);

    // Returns all unspent tokens of `from`.
    void on_recall(const std::string& from, mono_time now, round_source& rounds,
                   limiter_output& out);

    // Refreshes the demand estimate.
    void measure(mono_time now);

    // Sends what is due: tokens for waiting calls, tokens ahead of demand, settlements. With an
    // empty `home` (this daemon is the home, or there is none) only settlements.
    void request(const std::string& home, mono_time now, round_source& rounds, limiter_output& out);

    // Cheap test whether request() could have something to do after a token was taken.
    bool low() const { return this->held < this->low_water; }

    double held_tokens() const { return this->held; }

private:
    struct batch {
        std::uint64_t id = 0;
        std::string home;
        double left = 0;
        double spent = 0;
        double reported = 0;  // Part of `spent` that the home was told.
        mono_time return_at;  // Unspent tokens go back then, early enough to arrive in time.
        mono_time usable_until;
    };
    struct open_request {
        std::uint64_t round = 0;
        std::string home;
        mono_time asked;
        double now_count = 0;
        double ahead_count = 0;
        bool overdue = false;  // No answer within the wait bound; its counts no longer matter.
    };
    struct waiting_call {
        std::uint64_t call = 0;
        mono_time deadline;
    };

    bool usable(const batch& item, mono_time now) const;
    void drop_expired(mono_time now);
    void drop_old(mono_time now);
    void refuse_waiting(double count, limiter_output& out);
    bool settlement_due(const std::string& home, mono_time now) const;
    double falling_smoothing() const;
    mono_duration ahead_backoff() const;
    mono_duration settle_interval() const;
    void return_unspent(batch& item);
    std::vector<messages::token_request::settlement> settle(const std::string& home, mono_time now);
    double wanted_now(mono_time now) const;
    double wanted_ahead(mono_time now) const;
    void settle_others(const std::string& home, mono_time now, round_source& rounds,
                       limiter_output& out);

    limit_options options;
    std::string workspace;
    double rate = 0;
    double burst = 0;
    int shares = 1;
    std::deque<batch> batches;         // In order of `usable_until`, oldest first.
    std::vector<open_request> open;    // Unanswered and younger than a batch's life.
    std::deque<waiting_call> waiting;  // In order of deadline.
    double held = 0;                   // Sum of `left`.
    double low_water = 0;              // Ask for more below this.
    double target = 0;                 // Tokens to hold.
    double demand = 0;                 // Calls per second, smoothed.
    std::uint64_t calls = 0;           // Since `measured`.
    mono_time measured;
    mono_time exhausted_until;   // The home had no token and expected none.
    mono_time short_until;       // The home had fewer tokens than calls waited.
    mono_time ahead_not_before;  // The home had none to spare.
    mono_time settle_not_before;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TOKEN_HOLDER_H_
