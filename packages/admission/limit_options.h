// Options of the rate limits that are enforced by loaned shares, and the values that the classes of
// this package exchange.
//
// Terms: each daemon owns one share, an equal part of a workspace's rate and burst. The workspace's
// home is the daemon that borrows the shares of the other daemons and grants tokens from them. A
// loan is one borrowed share, for a limited time. A batch is a number of tokens that the home
// grants to another daemon, the holder, at once. A settlement is the holder's report of spent and
// returned tokens of a batch.
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

// Rate limit of one workspace, for the whole fleet.
struct workspace_limit {
    std::string workspace;
    double rate = 0;   // Requests per second.
    double burst = 0;  // Requests.

    friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

// Each member disables one mechanism, so that a test can show that its check detects the missing
// mechanism. A daemon sets none of them.
struct limit_faults {
    bool copy_loans = false;               // The lender continues to use a share that it lent.
    bool ignore_outstanding = false;       // Tokens in batches do not count towards the home's cap.
    bool keep_ended_loans = false;         // The borrower uses a loan after its end.
    bool keep_tokens_at_loan_end = false;  // Tokens above the lowered cap are kept.
    bool ignore_batch_expiry = false;
    bool start_active = false;         // A new process uses its share immediately.
    bool count_settled_twice = false;  // Duplicate and late settlements are applied.
    bool ignore_clock_drift = false;
    // A restarted home inherits the loans of its previous process.
    bool ignore_borrower_restart = false;
    // Batches may expire after the loans that they were granted from.
    bool batches_outlive_loans = false;
};

struct limit_options {
    std::uint64_t incarnation = 1;  // Identifies the process; another value after each start.
    mono_duration loan_duration = std::chrono::seconds(4);
    mono_duration renew_interval = std::chrono::milliseconds(1500);
    // Interval between loan requests to a lender while none is granted.
    mono_duration loan_retry_interval = std::chrono::milliseconds(500);
    // Time from the grant of a batch until its tokens expire.
    mono_duration batch_lifetime = std::chrono::milliseconds(500);
    // Longest time that a call waits for a token.
    mono_duration max_wait = std::chrono::milliseconds(50);
    // Maximum relative deviation of a daemon's clock rate from true time.
    double max_clock_drift = 0.01;
    limit_faults faults;
};

// A time so much shorter than `duration` that, when it has passed on this clock, `duration` has not
// yet passed on any other clock of the fleet. With e = max_clock_drift, the ratio of two clock
// rates is at least (1 - e) / (1 + e) >= 1 - 2e.
inline mono_duration drift_safe_duration(const limit_options& options, mono_duration duration) {
    double error = options.faults.ignore_clock_drift ? 0 : options.max_clock_drift;
    return std::chrono::duration_cast<mono_duration>(duration * (1 - 2 * error));
}

// A message for another daemon.
struct outgoing_message {
    std::string to;
    messages::peer_message message;

    friend bool operator==(const outgoing_message&, const outgoing_message&) = default;
};

// The decision on a call for which try_admit() returned `wait`.
struct wait_decision {
    std::uint64_t call = 0;
    bool admitted = false;

    friend bool operator==(const wait_decision&, const wait_decision&) = default;
};

// Messages to send and decisions to deliver. Functions append to it, so that the caller can use one
// value for several calls.
struct limiter_output {
    std::vector<outgoing_message> messages;
    std::vector<wait_decision> decisions;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_LIMIT_OPTIONS_H_
