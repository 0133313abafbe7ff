// Implements the token bucket over a variable number of shares.

#include "admission/token_pool.h"

#include <algorithm>
#include <cmath>

namespace trefoil::admission {

namespace {

// Tolerance for rounding errors in sums of fractional tokens. A take may overdraw by this much. The
// debt stays in the balance, so it does not accumulate.
constexpr double rounding_tokens = 1e-9;

}  // namespace

void token_pool::set_share(double rate, double burst) {
    double error = this->options.faults.ignore_clock_drift ? 0 : this->options.max_clock_drift;
    this->share_rate = rate / (1 + error);
    this->share_burst = burst;
    this->clamp();
}

void token_pool::accrue(mono_time time) {
    if (time <= this->accrued_until) {
        return;
    }
    double seconds = std::chrono::duration<double>(time - this->accrued_until).count();
    this->accrued_until = time;
    double room = std::max(0.0, this->cap() - this->issued - this->tokens);
    this->tokens += std::min(this->rate() * seconds, room);
}

void token_pool::add_share(double moved_tokens) {
    ++this->shares;
    this->tokens += std::clamp(moved_tokens, 0.0, this->share_burst);
    this->clamp();
}

void token_pool::remove_share() {
    --this->shares;
    if (!this->options.faults.keep_tokens_at_loan_end) {
        this->clamp();
    }
}

double token_pool::detach_share() {
    double moved = std::min(this->share_burst, std::max(0.0, this->tokens) / this->shares);
    if (this->options.faults.copy_loans) {
        return moved;
    }
    this->tokens -= moved;
    this->remove_share();
    return moved;
}

bool token_pool::can_detach_share() const {
    return this->shares > 0 && this->issued <= this->cap() - this->share_burst + rounding_tokens;
}

bool token_pool::take(double count) {
    if (this->tokens < count - rounding_tokens) {
        return false;
    }
    this->tokens -= count;
    return true;
}

void token_pool::issue(double count) {
    this->tokens -= count;
    if (!this->options.faults.ignore_outstanding) {
        this->issued += count;
    }
}

void token_pool::settle(double finished, double returned) {
    this->issued = std::max(0.0, this->issued - finished);
    this->tokens += returned;
    this->clamp();
}

double token_pool::whole_tokens() const {
    return std::max(0.0, std::floor(this->tokens + rounding_tokens));
}

void token_pool::clamp() {
    double room = std::max(0.0, this->cap() - this->issued);
    this->tokens = std::min(this->tokens, room);
}

}  // namespace trefoil::admission
