// Implements the daemon's own share.

#include "admission/own_share.h"

#include <algorithm>

namespace trefoil::admission {

void own_share::start_use() {
    this->used = true;
    this->lent_to = {};
}

bool own_share::can_lend(const share_borrower& borrower) const {
    return this->used || (this->lent() && this->lent_to == borrower);
}

std::uint64_t own_share::lend(const share_borrower& borrower, std::uint64_t id, mono_time end) {
    bool extended = !this->used && this->lent_to == borrower;
    if (extended) {
        this->unusable_until = std::max(this->unusable_until, end);
        return this->loan_id;
    }
    this->unusable_until = end;
    this->loan_id = id;
    this->lent_to = borrower;
    this->used = false;
    return id;
}

bool own_share::is_lent(const share_borrower& borrower, std::uint64_t id) const {
    return !this->used && this->lent_to == borrower && this->loan_id == id;
}

}  // namespace trefoil::admission
