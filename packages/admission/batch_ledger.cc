// Implements the record of outstanding batches.

#include "admission/batch_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/random.h"

namespace trefoil::admission {

namespace {

// The part of a cumulative report that exceeds the known amount. Invalid numbers count as 0.
double new_part(double reported, double known, double unsettled) {
    if (!std::isfinite(reported)) {
        return 0;
    }
    return std::clamp(reported - known, 0.0, unsettled);
}

}  // namespace

batch_ledger::batch_ledger(const limit_options& settings)
    : options(settings), next_id(seeded_random(settings.incarnation).next() | 1U) {}

bool batch_ledger::was_answered(const std::string& holder, std::uint64_t round) const {
    return this->rounds.contains(std::pair(holder, round));
}

std::uint64_t batch_ledger::add(issued_batch batch, mono_time now) {
    std::uint64_t id = this->next_id;
    this->next_id += 2;  // Odd, so never 0, which means "no batch".
    this->rounds.insert(std::pair(batch.holder, batch.round));
    this->prefetched_left += batch.prefetched;
    this->expiries.push_back({.time = now + this->options.batch_lifetime, .batch = id});
    this->batches.emplace(id, std::move(batch));
    return id;
}

batch_ledger::change batch_ledger::settle(const std::string& holder,
                                          const messages::token_request::settlement& report) {
    auto found = this->batches.find(report.batch);
    bool apply_duplicates = this->options.faults.count_settled_twice;
    if (found == this->batches.end() || found->second.holder != holder) {
        return apply_duplicates ? change{.finished = 0, .returned = report.returned} : change{};
    }
    issued_batch& batch = found->second;
    double spent = new_part(report.spent, batch.spent, batch.unsettled);
    this->reduce(batch, spent);
    batch.spent += spent;
    double returned = new_part(report.returned, batch.returned, batch.unsettled);
    this->reduce(batch, returned);
    batch.returned += returned;
    change outcome{.finished = spent + returned, .returned = returned};
    return outcome;
}

mono_time batch_ledger::next_expiry() const {
    return this->expiries.empty() ? mono_time::max() : this->expiries.front().time;
}

double batch_ledger::expire(mono_time now) {
    double lost = 0;
    while (!this->expiries.empty() && this->expiries.front().time <= now) {
        auto found = this->batches.find(this->expiries.front().batch);
        this->expiries.pop_front();
        lost += found->second.unsettled;
        this->prefetched_left -= found->second.prefetched;
        this->rounds.erase(std::pair(found->second.holder, found->second.round));
        this->batches.erase(found);
    }
    if (this->batches.empty()) {
        this->prefetched_left = 0;  // Removes rounding errors.
    }
    return lost;
}

std::vector<std::string> batch_ledger::recall(const std::string& except) {
    std::vector<std::string> holders;
    for (auto& [id, batch] : this->batches) {
        if (batch.prefetched <= 0 || batch.recalled || batch.holder == except) {
            continue;
        }
        batch.recalled = true;
        holders.push_back(batch.holder);
    }
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    return holders;
}

void batch_ledger::reduce(issued_batch& batch, double amount) {
    batch.unsettled -= amount;
    double prefetched = std::min(batch.prefetched, batch.unsettled);
    this->prefetched_left -= batch.prefetched - prefetched;
    batch.prefetched = prefetched;
}

}  // namespace trefoil::admission
