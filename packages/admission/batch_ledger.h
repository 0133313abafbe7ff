// Outstanding batches: those that the home of a workspace (limit_options.h) granted and that are
// neither settled nor expired.
//
// Example:
//
//     admission::batch_ledger ledger(options);
//     std::uint64_t id = ledger.add({.holder = "station-2", .round = 7, .unsettled = 5}, now);
//     auto change = ledger.settle("station-2", {.batch = id, .spent = 3});

#ifndef TREFOIL_ADMISSION_BATCH_LEDGER_H_
#define TREFOIL_ADMISSION_BATCH_LEDGER_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "admission/limit_options.h"

namespace trefoil::admission {

struct issued_batch {
    std::string holder;
    std::uint64_t round = 0;  // Round (round_source.h) of the answered request.
    double unsettled = 0;     // Tokens not yet reported as spent or returned.
    double prefetched = 0;    // Part of `unsettled` that was requested ahead of demand.
    bool recalled = false;    // A recall was sent to the holder.
    double spent = 0;         // Tokens reported as spent so far; reports are cumulative.
    double returned = 0;      // Tokens reported as returned so far.
};

// Not safe for concurrent use.
class batch_ledger {
public:
    explicit batch_ledger(const limit_options& settings);

    // Whether the request with that round was answered with a batch that is still outstanding. A
    // duplicate of the request must not get another batch.
    bool was_answered(const std::string& holder, std::uint64_t round) const;

    // Records a batch that expires `batch_lifetime` after `now`, and returns its identifier, which
    // is never 0.
    std::uint64_t add(issued_batch batch, mono_time now);

    struct change {
        double finished = 0;  // Tokens no longer outstanding.
        double returned = 0;  // Part of `finished` that goes back to the pool.
    };

    // Applies a settlement. Duplicate settlements have no effect, and neither have settlements of
    // expired batches, of batches of other holders or of a previous process: new tokens have
    // accrued in place of an expired batch, so its tokens must not return.
    change settle(const std::string& holder, const messages::token_request::settlement& report);

    // Time at which the next batch expires; mono_time::max() without batches.
    mono_time next_expiry() const;

    // Removes the batches that have expired at `now` and returns the number of their unsettled
    // tokens.
    double expire(mono_time now);

    // Prefetched tokens that are not settled yet: recall() can bring them back or has requested
    // them.
    double recallable() const { return this->prefetched_left; }

    // Marks all batches with prefetched tokens as recalled, except those of `except`. Returns the
    // holders to send a recall to, sorted and without duplicates.
    std::vector<std::string> recall(const std::string& except);

private:
    struct expiry {
        mono_time time;
        std::uint64_t batch = 0;
    };

    void reduce(issued_batch& batch, double amount);

    limit_options options;
    std::uint64_t next_id;
    absl::flat_hash_map<std::uint64_t, issued_batch> batches;
    // Holder and round of each of `batches`.
    absl::flat_hash_set<std::pair<std::string, std::uint64_t>> rounds;
    std::deque<expiry> expiries;  // In order of time, one for each of `batches`.
    double prefetched_left = 0;   // Sum of `prefetched` over `batches`.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_BATCH_LEDGER_H_
