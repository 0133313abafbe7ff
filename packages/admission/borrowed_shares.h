// The shares that the home of a workspace (limit_options.h) borrowed, and the schedule of its
// requests to the lenders. In this file a lender is a daemon whose share the home borrows. The
// lenders of rate_division.h, which hold token buckets of failure domains, are not meant.
//
// Example:
//
//     admission::borrowed_shares loans(options);
//     loans.set_lenders({"station-2", "station-3"});
//     if (loans.is_due("station-2", now)) {
//         loans.record_request("station-2", round, now);
//     }

#ifndef TREFOIL_ADMISSION_BORROWED_SHARES_H_
#define TREFOIL_ADMISSION_BORROWED_SHARES_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/limit_options.h"

namespace trefoil::admission {

// Not safe for concurrent use. A loan is usable from its grant until `batch_lifetime` before its
// end, where its duration counts from the request. So no batch outlives the loan that it was
// granted from.
class borrowed_shares {
public:
    explicit borrowed_shares(const limit_options& settings) : options(settings) {}

    // Sets the lenders to request shares from. Loans of other lenders stay until they end.
    void set_lenders(const std::vector<std::string>& names);

    // Whether a request to `lender` is due, for a first loan or for a renewal.
    bool is_due(const std::string& lender, mono_time now) const;

    // Earliest time at which a request to any lender is due.
    mono_time next_due() const;

    // Records that a request with `round` was sent to `lender`.
    void record_request(const std::string& lender, std::uint64_t round, mono_time now);

    enum class acceptance { refused, renewed, added };

    // Accepts a grant. Refused when the round is unknown or already answered, or when the loan is
    // no longer usable.
    acceptance accept(const std::string& lender, std::uint64_t round, std::uint64_t loan,
                      mono_duration duration, mono_time now);

    // Lower bound of the time at which the next loan becomes unusable.
    mono_time next_end() const { return this->earliest_end; }

    // Removes the loans that are no longer usable at `now`, and returns their number.
    int expire(mono_time now);

    // Drops one active loan, if any, and ignores all grants of its lender that are still in
    // transit. Returns the lender and the identifier of the loan, for a release message.
    std::optional<std::pair<std::string, std::uint64_t>> drop_one();

    int active_count() const { return this->active; }
    const std::vector<std::string>& lender_names() const { return this->lenders; }

private:
    struct request {
        std::uint64_t round = 0;
        mono_time requested_at;
    };
    struct entry {
        bool active = false;
        mono_time usable_until;        // Valid while active.
        mono_time next_request;        // Epoch: send at once.
        std::uint64_t loan = 0;        // Valid while active.
        std::vector<request> pending;  // Unanswered requests younger than loan_duration.
    };

    mono_duration expiry_margin() const;

    limit_options options;
    std::vector<std::string> lenders;
    std::map<std::string, entry> entries;  // Current lenders, and former ones with active loans.
    // Lower bound of `usable_until` of all active loans.
    mono_time earliest_end = mono_time::max();
    int active = 0;  // Number of active loans.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_BORROWED_SHARES_H_
