// The share that a daemon owns of one workspace, and the loan of it.
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

// A process that borrows a share. A restarted process is another borrower: batches that its
// predecessor granted from the share may still be in use.
struct share_borrower {
    std::string instance;
    std::uint64_t incarnation = 0;

    friend bool operator==(const share_borrower&, const share_borrower&) = default;
};

// Not safe for concurrent use. The share is unusable after the process started, so that loans of a
// former process in its place have ended, and while it is lent.
class own_share {
public:
    explicit own_share(mono_time usable_from_time) : unusable_until(usable_from_time) {}

    bool in_use() const { return this->used; }

    // Time at which the share becomes usable; meaningful while it is not in use.
    mono_time usable_from() const { return this->unusable_until; }

    // The share becomes usable. Valid when usable_from() has passed.
    void start_use();

    // Whether a request of `borrower` can be granted.
    bool can_lend(const share_borrower& borrower) const;

    // Lends the share as loan `id`, or extends the loan to the same borrower, until `end`. Returns
    // the loan's id.
    std::uint64_t lend(const share_borrower& borrower, std::uint64_t id, mono_time end);

    // Whether the share is lent to `borrower` as loan `id`.
    bool is_lent(const share_borrower& borrower, std::uint64_t id) const;

    bool lent() const { return !this->lent_to.instance.empty(); }

private:
    bool used = false;
    mono_time unusable_until;   // While lent: the end of the newest grant. Never moves back while
                                // lent, because an earlier grant may still be in use.
    share_borrower lent_to;     // No instance when not lent.
    std::uint64_t loan_id = 0;  // Meaningful while lent.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_OWN_SHARE_H_
