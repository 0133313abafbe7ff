// The batches of tokens that a home granted and that are neither settled nor expired.
//
// Example:
//
//     admission::batch_ledger ledger(options);
//     std::uint64_t id = ledger.add({.holder = "station-2", .round = 7, .left = 5}, now);
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
    std::uint64_t round = 0;  // Request that the batch answers.
    double left = 0;          // Tokens neither reported as spent nor returned.
    double ahead = 0;         // Part of `left` that no call waited for.
    bool recalled = false;    // The holder was asked to return what is unspent.
    double spent = 0;         // Highest reports so far.
    double returned = 0;
};

// Not safe for concurrent use.
class batch_ledger {
public:
    explicit batch_ledger(const limit_options& settings);

    // Whether the request of that round was answered with a batch that is still outstanding. A
    // duplicate must not get another one.
    bool answered(const std::string& holder, std::uint64_t round) const;

    // Records a batch that expires `batch_lifetime` from now, and returns its identifier.
    std::uint64_t add(issued_batch batch, mono_time now);

    struct change {
        double finished = 0;  // Tokens no longer outstanding.
        double returned = 0;  // Part of them that comes back.
    };

    // Applies a report. Reports on batches that expired, on batches of other holders or of another
    // incarnation, and repeated reports change nothing: the room of an expired batch has been given
    // to new accrual, so its tokens must not come back.
    change settle(const std::string& holder, const messages::token_request::settlement& report);

    // Time at which the next batch expires; mono_time::max() without batches.
    mono_time next_expiry() const;

    // Removes the batches that are expired at `now` and returns their unreported tokens.
    double expire(mono_time now);

    // Tokens that recall() could bring back or is bringing back.
    double recallable() const { return this->ahead_left; }

    // Holders, sorted, with tokens ahead of demand that they were not yet asked to return.
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
    absl::flat_hash_set<std::pair<std::string, std::uint64_t>> rounds;  // Of `batches`.
    std::deque<expiry> expiries;  // In order of time, one for each of `batches`.
    double ahead_left = 0;        // Sum of `ahead`.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_BATCH_LEDGER_H_
