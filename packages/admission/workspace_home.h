// The tokens of one workspace at one daemon: its own share, the shares it borrowed as home, and the
// batches it granted from them.
//
// Example:
//
//     admission::workspace_home home(options, "north", now);
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

// Not safe for concurrent use. Every member function but the constructor, set_share() and
// set_lenders() requires that advance() was called with the current time before.
class workspace_home {
public:
    // The own share becomes usable at `usable_from`.
    workspace_home(const limit_options& settings, std::string name, mono_time now,
                   mono_time usable_from);

    void set_share(double rate, double burst) { this->pool.set_share(rate, burst); }

    // Makes this daemon the home, which asks `names` for loans, or (empty) not the home. A former
    // home stops granting, so that its shares can go back.
    void set_home(bool home, const std::vector<std::string>& lenders);

    // Applies all that ended up to `now`, in order of time.
    void advance(mono_time now);

    // Takes a token for a local call.
    bool take() { return this->pool.take(1); }

    // Whether a local call that finds no token should wait, given that `waiting` calls wait.
    bool worth_waiting(std::size_t waiting) const;

    // Answers requests that wait for tokens and recalls tokens held ahead, as far as needed.
    // `local_waiting` is the number of local calls that wait.
    void serve(std::size_t local_waiting, mono_time now, limiter_output& out);

    void on_token_request(const std::string& from, const messages::token_request& request,
                          mono_time now, limiter_output& out);

    // Lends the own share, or extends the loan, and returns what the grant says.
    // `new_id` identifies a new loan.
    std::optional<messages::loan> lend(const share_borrower& borrower, std::uint64_t new_id,
                                       mono_time now);

    void on_loan(const std::string& lender, std::uint64_t round, mono_duration duration,
                 const messages::loan& loan, mono_time now);

    void on_release(const share_borrower& borrower, const messages::loan_request::release& release);

    // A share to give back because this daemon is no longer the home: the lender and the release.
    std::optional<std::pair<std::string, messages::loan_request::release>> release_one();

    borrowed_shares& loans() { return this->borrowed; }
    const token_pool& tokens() const { return this->pool; }
    bool has_wants() const { return !this->wants.empty(); }
    bool is_home() const { return this->home; }

private:
    struct want {
        std::string holder;
        std::uint64_t round = 0;
        double count = 0;
        mono_time deadline;
    };

    bool advance_to_next_event(mono_time now);
    double expected_in_wait() const;
    double backlog() const;
    bool waits_already(const std::string& holder, std::uint64_t round) const;
    void reply(const std::string& holder, std::uint64_t round, double now_count, double ahead_count,
               mono_time now, limiter_output& out);
    void recall(const std::string& except, limiter_output& out);
    double grantable_ahead(double wanted) const;

    limit_options options;
    std::string workspace;
    token_pool pool;
    own_share share;
    borrowed_shares borrowed;
    batch_ledger ledger;
    std::deque<want> wants;  // In order of deadline.
    bool home = false;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_WORKSPACE_HOME_H_
