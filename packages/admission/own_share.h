// The share that a daemon owns of one workspace, and the loan of it.
//
// Example:
//
//     admission::own_share share(now + options.loan_time);
//     if (share.can_lend("station-2")) {
//         share.lend("station-2", loan_id, now + options.loan_time);
//     }

#ifndef TREFOIL_ADMISSION_OWN_SHARE_H_
#define TREFOIL_ADMISSION_OWN_SHARE_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace trefoil::admission {

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
    bool can_lend(const std::string& borrower) const;

    // Lends the share as loan `id`, or extends the loan to the same borrower, until `end`. Returns
    // the loan's id.
    std::uint64_t lend(const std::string& borrower, std::uint64_t id, mono_time end);

    // Whether the share is lent to `borrower` as loan `id`.
    bool is_lent(const std::string& borrower, std::uint64_t id) const;

    const std::string& borrower() const { return this->lent_to; }

private:
    bool used = false;
    mono_time unusable_until;   // While lent: the end of the newest grant. Never moves back while
                                // lent, because an earlier grant may still be in use.
    std::string lent_to;        // Empty when not lent.
    std::uint64_t loan_id = 0;  // Meaningful while lent.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_OWN_SHARE_H_
