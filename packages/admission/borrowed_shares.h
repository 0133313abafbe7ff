// The shares that a home borrowed for one workspace, and when to ask each lender.
//
// Example:
//
//     admission::borrowed_shares loans(options);
//     loans.set_lenders({"station-2", "station-3"});
//     if (loans.due("station-2", now)) {
//         loans.asked("station-2", round, now);
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
// end, counted from when it was asked for, so that no batch outlives the share behind it.
class borrowed_shares {
public:
    explicit borrowed_shares(const limit_options& settings) : options(settings) {}

    // Sets whom to ask. Loans of others stay until they end.
    void set_lenders(const std::vector<std::string>& names);

    // Whether `lender` should be asked now, for a first loan or for a renewal.
    bool due(const std::string& lender, mono_time now) const;

    // Earliest time at which some lender is due.
    mono_time next_due() const;

    void asked(const std::string& lender, std::uint64_t round, mono_time now);

    enum class acceptance { refused, renewed, added };

    // Takes over a grant. Refused when the round is unknown or already answered, or when the loan
    // would already be over.
    acceptance accept(const std::string& lender, std::uint64_t round, std::uint64_t loan,
                      mono_duration duration, mono_time now);

    // A time not after the one at which the next loan becomes unusable.
    mono_time next_end() const { return this->earliest_end; }

    // Forgets the loans that are unusable at `now` and returns how many there were.
    int expire(mono_time now);

    // Gives up one loan, if any, and ignores all grants still under way from that lender. Returns
    // the lender and the loan's id.
    std::optional<std::pair<std::string, std::uint64_t>> give_up_one();

    int active_count() const { return this->active; }
    const std::vector<std::string>& lender_names() const { return this->lenders; }

private:
    struct request {
        std::uint64_t round = 0;
        mono_time asked;
    };
    struct entry {
        bool active = false;
        mono_time usable_until;     // Meaningful while active.
        mono_time next_ask;         // Epoch: ask at once.
        std::uint64_t loan = 0;     // Meaningful while active.
        std::vector<request> open;  // Unanswered requests younger than loan_duration.
    };

    mono_duration closing_time() const;

    limit_options options;
    std::vector<std::string> lenders;
    std::map<std::string, entry> entries;       // Lenders and holders of active loans.
    mono_time earliest_end = mono_time::max();  // Not after any active `usable_until`.
    int active = 0;                             // Number of active entries.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_BORROWED_SHARES_H_
