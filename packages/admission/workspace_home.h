// The tokens of one workspace at one daemon: those of its own share, and, while it is the
// workspace's home, those of the shares that it borrowed and the batches that it granted from them.
// limit_options.h defines share, home, batch and settlement.
//
// Example:
//
//     admission::workspace_home home(options, "north", now, usable_from);
//     home.set_share(rate / shares, burst / shares);
//     home.advance(now);
//     bool admitted = home.take();

#ifndef TREFOIL_ADMISSION_WORKSPACE_HOME_H_
#define TREFOIL_ADMISSION_WORKSPACE_HOME_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "admission/batch_ledger.h"
#include "admission/borrowed_shares.h"
#include "admission/limit_options.h"
#include "admission/own_share.h"
#include "admission/token_pool.h"

namespace trefoil::admission {

// Not safe for concurrent use. Every member function except the constructor, set_share() and
// set_home() requires that advance() was called with the current time before.
class workspace_home {
public:
    // The own share becomes active at `usable_from`.
    workspace_home(const limit_options& settings, std::string name, mono_time now,
                   mono_time usable_from);

    void set_share(double rate, double burst) { this->pool.set_share(rate, burst); }

    // Sets whether this daemon is the home, which borrows shares from `lenders`. A former home
    // grants no tokens ahead of demand, and none at all when it has released its loans.
    void set_home(bool home, const std::vector<std::string>& lenders);

    // Applies, in order of time, all expirations of batches and loans up to `now`, and the start of
    // the own share.
    void advance(mono_time now);

    // Takes a token for a local call.
    bool take() { return this->pool.take(1); }

    // Whether a local call that finds no token should wait, behind `waiting` local calls.
    bool should_wait(std::size_t waiting) const;

    // Answers pending requests of other daemons as far as there are tokens, and recalls prefetched
    // tokens if they are needed. `local_waiting` is the number of waiting local calls.
    void serve_pending(std::size_t local_waiting, mono_time now, limiter_output& out);

    void on_token_request(const std::string& from, const messages::token_request& request,
                          mono_time now, limiter_output& out);

    // Lends the own share, or extends its loan. Returns the content of the grant, or nothing if the
    // share cannot be lent. `new_id` identifies a new loan.
    std::optional<messages::loan> lend(const share_borrower& borrower, std::uint64_t new_id,
                                       mono_time now);

    void on_loan(const std::string& lender, std::uint64_t round, mono_duration duration,
                 const messages::loan& loan, mono_time now);

    void on_release(const share_borrower& borrower, const messages::loan_request::release& release);

    // Drops a borrowed share after this daemon ceased to be the home. Returns its lender and the
    // release message for it, or nothing if there is none to release now.
    std::optional<std::pair<std::string, messages::loan_request::release>> release_one();

    borrowed_shares& loans() { return this->borrowed; }
    const token_pool& tokens() const { return this->pool; }
    bool has_pending_requests() const { return !this->pending.empty(); }
    bool is_home() const { return this->home; }

private:
    struct pending_request {
        std::string holder;
        std::uint64_t round = 0;
        double count = 0;
        mono_time deadline;
    };

    bool advance_to_next_event(mono_time now);
    double expected_accrual() const;
    double backlog() const;
    bool is_pending(const std::string& holder, std::uint64_t round) const;
    void reply(const std::string& holder, std::uint64_t round, double needed_count,
               double prefetch_count, mono_time now, limiter_output& out);
    void recall(const std::string& except, limiter_output& out);
    double grantable_prefetch(double wanted) const;

    limit_options options;
    std::string workspace;
    token_pool pool;
    own_share share;
    borrowed_shares borrowed;
    batch_ledger ledger;
    std::deque<pending_request> pending;  // In order of deadline.
    bool home = false;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_WORKSPACE_HOME_H_
