// Implements the state of this daemon's share of a workspace.

#include "admission/own_share.h"

#include <algorithm>

namespace trefoil::admission {

void own_share::activate() {
    this->active = true;
    this->current_borrower = {};
}

bool own_share::can_lend(const share_borrower& borrower) const {
    return this->active || (this->is_lent() && this->current_borrower == borrower);
}

std::uint64_t own_share::lend(const share_borrower& borrower, std::uint64_t id, mono_time end) {
    bool extended = !this->active && this->current_borrower == borrower;
    if (extended) {
        this->unusable_until = std::max(this->unusable_until, end);
        return this->loan_id;
    }
    this->unusable_until = end;
    this->loan_id = id;
    this->current_borrower = borrower;
    this->active = false;
    return id;
}

bool own_share::is_lent_to(const share_borrower& borrower, std::uint64_t id) const {
    return !this->active && this->current_borrower == borrower && this->loan_id == id;
}

}  // namespace trefoil::admission
