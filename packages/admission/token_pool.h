// A token bucket whose rate and depth are those of a variable number of shares (limit_options.h).
// Tokens that were granted in batches count towards its depth until they are settled or expire.
//
// Example:
//
//     admission::token_pool pool(options, now);
//     pool.set_share(rate / shares, burst / shares);
//     pool.add_share(0);
//     pool.accrue(now);
//     bool admitted = pool.take(1);

#ifndef TREFOIL_ADMISSION_TOKEN_POOL_H_
#define TREFOIL_ADMISSION_TOKEN_POOL_H_

#include "admission/limit_options.h"

namespace trefoil::admission {

// Not safe for concurrent use. After every call `tokens + outstanding <= cap` holds, where the cap
// is the depth of all shares. Exception: after the cap was lowered, `outstanding` alone may exceed
// it; then `tokens` is 0.
class token_pool {
public:
    token_pool(const limit_options& settings, mono_time now)
        : options(settings), accrued_until(now) {}

    // Sets the depth (tokens) and the accrual (tokens per second of true time) of one share. The
    // accrual is reduced by the maximum clock drift, because a fast clock would otherwise exceed
    // the rate.
    void set_share(double rate, double burst);

    // Accrues tokens up to `time`. Has no effect if `time` is earlier than in a previous call.
    void accrue(mono_time time);

    // Adds one share together with up to its depth of `moved_tokens`.
    void add_share(double moved_tokens);
    void remove_share();

    // Removes one share and returns the tokens that move with it. Requires can_detach_share().
    double detach_share();

    // Whether the outstanding tokens fit into the cap without one share.
    bool can_detach_share() const;

    // Takes `count` tokens if that many are available. Returns whether they were taken.
    bool take(double count);

    // Moves `count` tokens to a batch. Requires that at least that many are available.
    void issue(double count);

    // Marks `finished` tokens of batches as no longer outstanding and adds `returned` tokens to the
    // bucket.
    void settle(double finished, double returned);

    // Number of whole available tokens.
    double whole_tokens() const;
    double outstanding() const { return this->issued; }
    double cap() const { return static_cast<double>(this->shares) * this->share_burst; }
    double rate() const { return static_cast<double>(this->shares) * this->share_rate; }
    int share_count() const { return this->shares; }

private:
    void clamp();

    limit_options options;
    mono_time accrued_until;
    double share_rate = 0;
    double share_burst = 0;
    int shares = 0;
    double tokens = 0;  // In [0, cap - issued], except for rounding errors.
    double issued = 0;  // Outstanding tokens: in batches, neither settled nor expired.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TOKEN_POOL_H_
