// Implements the borrower's side of loans.

#include "admission/borrowed_shares.h"

#include <algorithm>

namespace trefoil::admission {

void borrowed_shares::set_lenders(const std::vector<std::string>& names) {
    this->lenders = names;
    std::vector<std::string> sorted = names;
    std::sort(sorted.begin(), sorted.end());
    std::erase_if(this->entries, [&](const auto& item) {
        return !item.second.active && !std::binary_search(sorted.begin(), sorted.end(), item.first);
    });
    for (const std::string& name : names) {
        this->entries.try_emplace(name);
    }
}

bool borrowed_shares::is_due(const std::string& lender, mono_time now) const {
    auto found = this->entries.find(lender);
    return found != this->entries.end() && now >= found->second.next_request;
}

mono_time borrowed_shares::next_due() const {
    mono_time earliest = mono_time::max();
    for (const std::string& lender : this->lenders) {
        auto found = this->entries.find(lender);
        if (found != this->entries.end()) {
            earliest = std::min(earliest, found->second.next_request);
        }
    }
    return earliest;
}

void borrowed_shares::record_request(const std::string& lender, std::uint64_t round,
                                     mono_time now) {
    entry& item = this->entries[lender];
    std::erase_if(item.pending, [&](const request& each) {
        return now - each.requested_at >= this->options.loan_duration;
    });
    item.pending.push_back({.round = round, .requested_at = now});
    item.next_request =
        now + (item.active ? this->options.renew_interval : this->options.loan_retry_interval);
}

borrowed_shares::acceptance borrowed_shares::accept(const std::string& lender, std::uint64_t round,
                                                    std::uint64_t loan, mono_duration duration,
                                                    mono_time now) {
    auto found = this->entries.find(lender);
    if (found == this->entries.end()) {
        return acceptance::refused;
    }
    entry& item = found->second;
    auto request_found = std::find_if(item.pending.begin(), item.pending.end(),
                                      [&](const request& each) { return each.round == round; });
    if (request_found == item.pending.end()) {
        return acceptance::refused;
    }
    mono_time requested_at = request_found->requested_at;
    item.pending.erase(request_found);
    mono_duration counted = std::min(duration, this->options.loan_duration);
    mono_time usable_until =
        requested_at + drift_safe_duration(this->options, counted) - this->expiry_margin();
    if (usable_until <= now) {
        return acceptance::refused;
    }
    item.next_request = requested_at + this->options.renew_interval;
    item.usable_until = item.active ? std::max(item.usable_until, usable_until) : usable_until;
    acceptance outcome = item.active ? acceptance::renewed : acceptance::added;
    this->active += item.active ? 0 : 1;
    item.active = true;
    item.loan = loan;
    this->earliest_end = std::min(this->earliest_end, item.usable_until);
    return outcome;
}

int borrowed_shares::expire(mono_time now) {
    if (now < this->earliest_end) {
        return 0;
    }
    if (this->options.faults.keep_ended_loans) {
        this->earliest_end = mono_time::max();
        return 0;
    }
    int ended = 0;
    this->earliest_end = mono_time::max();
    for (auto& [lender, item] : this->entries) {
        if (!item.active) {
            continue;
        }
        if (item.usable_until <= now) {
            item.active = false;
            ++ended;
            continue;
        }
        this->earliest_end = std::min(this->earliest_end, item.usable_until);
    }
    this->active -= ended;
    return ended;
}

std::optional<std::pair<std::string, std::uint64_t>> borrowed_shares::drop_one() {
    for (auto& [lender, item] : this->entries) {
        if (!item.active) {
            continue;
        }
        item.active = false;
        // The release message may overtake a request that the lender has not answered yet. When its
        // grant arrives, the lender may already use its share again, so the grant must be ignored.
        item.pending.clear();
        --this->active;
        return std::pair(lender, item.loan);
    }
    return std::nullopt;
}

mono_duration borrowed_shares::expiry_margin() const {
    return this->options.faults.batches_outlive_loans ? mono_duration(0)
                                                      : this->options.batch_lifetime;
}

}  // namespace trefoil::admission
