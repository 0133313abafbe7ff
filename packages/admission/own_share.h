// The share of a workspace's rate and burst that belongs to this daemon, and its loan to another
// daemon.
//
// A share is an equal part of a workspace's rate and burst. A daemon either uses its own share or
// lends it to the workspace's home (workspace_home.h).
//
// Example:
//
//     admission::own_share share(now + options.loan_duration);
//     if (share.can_lend(borrower)) {
//         share.lend(borrower, loan_id, now + options.loan_duration);
//     }

#ifndef TREFOIL_ADMISSION_OWN_SHARE_H_
#define TREFOIL_ADMISSION_OWN_SHARE_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace trefoil::admission {

// A process that borrows a share. A restarted process is a different borrower, because batches that
// the previous process granted from the share may still be in use.
struct share_borrower {
    std::string instance;
    std::uint64_t incarnation = 0;

    friend bool operator==(const share_borrower&, const share_borrower&) = default;
};

// Not safe for concurrent use. The share is inactive while it is lent, and after the start of the
// process until all loans that the previous process on this instance granted have ended.
class own_share {
public:
    explicit own_share(mono_time usable_from_time) : unusable_until(usable_from_time) {}

    bool is_active() const { return this->active; }

    // Time from which the share can be activated. Valid only while it is not active.
    mono_time usable_from() const { return this->unusable_until; }

    // Ends the loan, if any, and activates the share. Requires that usable_from() has passed or
    // that the borrower released the loan.
    void activate();

    // Whether the share is active or already lent to `borrower`, so that lend() is allowed.
    bool can_lend(const share_borrower& borrower) const;

    // Lends the share until `end` as loan `id`, or extends the loan that `borrower` already has.
    // Returns the identifier of the loan in force. Requires can_lend().
    std::uint64_t lend(const share_borrower& borrower, std::uint64_t id, mono_time end);

    // Whether the share is lent to `borrower` as loan `id`.
    bool is_lent_to(const share_borrower& borrower, std::uint64_t id) const;

    bool is_lent() const { return !this->current_borrower.instance.empty(); }

private:
    bool active = false;
    mono_time unusable_until;         // While lent, the latest end of all grants: never moves back,
                                      // because an earlier grant may still be in use.
    share_borrower current_borrower;  // Empty instance when not lent.
    std::uint64_t loan_id = 0;        // Valid while lent.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_OWN_SHARE_H_
