// Options of the fleet-wide rate limits and the values that their classes exchange.
//
// Example:
//
//     admission::limit_options options{.incarnation = incarnation};
//     admission::workspace_limit limit{.workspace = "north", .rate = 50, .burst = 20};

#ifndef TREFOIL_ADMISSION_LIMIT_OPTIONS_H_
#define TREFOIL_ADMISSION_LIMIT_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::admission {

// Limit of one workspace over the whole fleet.
struct workspace_limit {
    std::string workspace;
    double rate = 0;   // Requests per second.
    double burst = 0;  // Requests.

    friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

// Switches off one mechanism each, so that tests can show that their check notices its absence.
// A daemon never sets any of them.
struct limit_faults {
    bool copy_loans = false;               // The lender keeps using a share that it lent.
    bool ignore_outstanding = false;       // Tokens in batches do not count against the home's cap.
    bool keep_ended_loans = false;         // A loan that ended still counts at the borrower.
    bool keep_tokens_at_loan_end = false;  // The cap falls but the tokens above it stay.
    bool ignore_batch_expiry = false;
    bool start_active = false;         // A new process uses its share at once.
    bool count_settled_twice = false;  // Repeated or late settlements are applied again.
    bool ignore_clock_error = false;
    bool ignore_borrower_restart = false;  // A restarted home takes over its predecessor's loans.
    bool batches_outlive_loans = false;    // Batches may expire after the loans behind them.
};

struct limit_options {
    std::uint64_t incarnation = 1;  // Differs between two starts; separates their identifiers.
    mono_duration loan_duration = std::chrono::seconds(4);
    mono_duration renew_interval = std::chrono::milliseconds(1500);
    mono_duration ask_interval = std::chrono::milliseconds(500);  // Between requests not granted.
    mono_duration batch_lifetime = std::chrono::milliseconds(500);
    mono_duration max_wait = std::chrono::milliseconds(50);
    // Largest relative error of a daemon's clock rate against true time.
    double max_clock_drift = 0.01;
    limit_faults faults;
};

// The part of `duration` after which it has surely not yet passed on any other clock of the fleet:
// (1 - e) / (1 + e) >= 1 - 2e.
inline mono_duration safe_part(const limit_options& options, mono_duration duration) {
    double error = options.faults.ignore_clock_error ? 0 : options.max_clock_drift;
    return std::chrono::duration_cast<mono_duration>(duration * (1 - 2 * error));
}

// A message for another daemon.
struct outgoing_message {
    std::string to;
    messages::peer_message message;

    friend bool operator==(const outgoing_message&, const outgoing_message&) = default;
};

// The decision on a call that waited.
struct wait_decision {
    std::uint64_t call = 0;
    bool admitted = false;

    friend bool operator==(const wait_decision&, const wait_decision&) = default;
};

// What the limiter wants done. Calls append to it, so that one value can serve several calls.
struct limiter_output {
    std::vector<outgoing_message> messages;
    std::vector<wait_decision> decisions;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_LIMIT_OPTIONS_H_
