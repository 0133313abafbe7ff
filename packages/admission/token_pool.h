// A token bucket over a changing number of shares, part of whose tokens are out in batches.
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

// Not safe for concurrent use. `tokens + outstanding <= cap` holds after every call, except that
// `outstanding` alone may exceed a cap that fell; then `tokens` is 0.
class token_pool {
public:
    token_pool(const limit_options& settings, mono_time now)
        : options(settings), accrued_until(now) {}

    // Sets what one share holds (tokens) and accrues (tokens per second of true time). The accrual
    // is lowered by the clock error, because a fast clock would otherwise exceed the rate.
    void set_share(double rate, double burst);

    // Adds accrual up to `time`; earlier times change nothing.
    void accrue(mono_time time);

    void add_share(double moved_tokens);
    void remove_share();

    // Removes one share and returns the tokens that move with it. Valid only when can_lend().
    double move_share();

    // Whether the outstanding batches fit into the cap without one share.
    bool can_move_share() const;

    // Takes `count` tokens if there are as many.
    bool take(double count);

    // Takes `count` tokens into a batch. Valid only when at least that many are available.
    void issue(double count);

    // `finished` tokens of batches are no longer outstanding, `returned` of them come back.
    void settle(double finished, double returned);

    // Whole tokens at hand.
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
    double tokens = 0;  // In [0, cap - issued], up to rounding.
    double issued = 0;  // Tokens in batches that are neither reported nor expired.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TOKEN_POOL_H_
