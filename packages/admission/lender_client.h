// Requests of one daemon to the lender of its failure domain (rate_division.h): which daemon is the
// lender of a workspace, and when an unanswered request is retried.
//
// Example:
//
//     admission::lender_client client("station-1", incarnation);
//     client.set_instances(live_in_own_domain);
//     admission::lender_request request = client.start("north", call, now);
//     // Send it to request.lender.
//     std::optional<std::uint64_t> answered = client.on_answer(request.round);
//     for (const admission::overdue_request& each : client.expire(now)) { ... }
//
// `round` identifies a request; the lender echoes it in the answer. `call` is the caller's number
// of the call that needs the token.

#ifndef TREFOIL_ADMISSION_LENDER_CLIENT_H_
#define TREFOIL_ADMISSION_LENDER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/round_source.h"
#include "base/time.h"

namespace trefoil::admission {

struct lender_client_options {
    // Time after which a request is overdue. An answer in the same failure domain takes about 1 ms,
    // but a machine with 0.1 core may be suspended for most of a scheduling period of 100 ms, and
    // this can happen to the lender and to this daemon in succession.
    std::chrono::milliseconds answer_timeout{200};
    // Number of consecutive unanswered requests after which a lender is avoided for
    // `avoid_duration`. Another lender starts without tokens, so a single late answer is no reason
    // to change.
    unsigned unanswered_limit = 2;
    std::chrono::milliseconds avoid_duration{3000};
};

struct lender_request {
    std::uint64_t round = 0;
    std::string lender;

    friend bool operator==(const lender_request&, const lender_request&) = default;
};

// A request that was not answered in time. `next` is its only retry, which goes to another lender
// if the unresponsive one is avoided now. If the retry is overdue too, `next` is empty and the
// request has failed.
struct overdue_request {
    std::uint64_t call = 0;
    std::string workspace;
    std::optional<lender_request> next;

    friend bool operator==(const overdue_request&, const overdue_request&) = default;
};

// Not safe for concurrent use.
class lender_client {
public:
    lender_client(std::string own, std::uint64_t incarnation, lender_client_options initial = {})
        : self(std::move(own)), options(initial), rounds(incarnation) {}

    // Sets the live instances of the own failure domain.
    void set_instances(std::vector<std::string> live);

    // Starts a request for a token. If this daemon is the lender itself, the result has its name
    // and no answer is expected.
    lender_request start(const std::string& workspace, std::uint64_t call, mono_time now);

    // Whether this daemon is the lender of the workspace in its own view.
    bool is_lender(const std::string& workspace, mono_time now);

    // Returns a request for the tokens of the previous lender of a workspace whose lender this
    // daemon has become. If no previous lender is known, the request goes to the daemon that would
    // be the lender without this one. Returns nothing if there is no other daemon.
    std::optional<lender_request> request_to_previous_lender(const std::string& workspace);

    // Returns the call that the answer belongs to, or nothing if it is late or a duplicate.
    std::optional<std::uint64_t> on_answer(std::uint64_t round);

    // Returns the requests that became overdue. To be called about every 10 ms.
    std::vector<overdue_request> expire(mono_time now);

private:
    struct pending_call {
        std::uint64_t call = 0;
        std::string workspace;
        std::string lender;
        mono_time deadline;
        bool retried = false;
    };

    void reset_lenders();
    const std::string& lender_of(const std::string& workspace, mono_time now);
    lender_request make_request(pending_call call, mono_time now);

    const std::string self;
    const lender_client_options options;
    round_source rounds;
    std::vector<std::string> instances;
    std::map<std::string, unsigned> unanswered;  // Consecutive, by lender.
    std::map<std::string, mono_time> avoided;    // Time until which an instance is avoided.
    absl::flat_hash_map<std::string, std::string> chosen_lenders;  // By workspace.
    // The last lender that was not this daemon, by workspace.
    absl::flat_hash_map<std::string, std::string> previous_lenders;
    absl::flat_hash_map<std::uint64_t, pending_call> pending;   // By round.
    std::deque<std::pair<mono_time, std::uint64_t>> deadlines;  // With rounds, in order of time.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_LENDER_CLIENT_H_
