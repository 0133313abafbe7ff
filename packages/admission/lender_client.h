// The requests of one daemon that wait for a token of their failure domain's lender: whom to ask,
// and when to ask the next one.
//
// Example:
//
//     admission::lender_client asker("station-1", incarnation);
//     asker.set_instances(live_in_own_domain);
//     admission::lender_request ask = asker.start("north", call, now);     // Send it to
//     ask.lender. auto call = asker.on_answer(ask.round, now); for (const
//     admission::overdue_request& each : asker.expire(now)) { ... }

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
    // How long an answer is waited for. An answer in the same failure domain takes about 1 ms; a
    // machine of 0.1 core may stand still for most of a scheduling period of 100 ms, and so may
    // the lender's and this one after the other.
    std::chrono::milliseconds answer_wait{200};
    // A lender that leaves requests without an answer this many times in a row is passed over for
    // a time. Another lender begins without tokens, so one late answer is no reason to change.
    unsigned unanswered_limit = 2;
    std::chrono::milliseconds avoid_lender{3000};
};

struct lender_request {
    std::uint64_t round = 0;
    std::string lender;

    friend bool operator==(const lender_request&, const lender_request&) = default;
};

// A request whose lender did not answer in time. It is asked again once, at the next lender when
// this one is passed over.
struct overdue_request {
    std::uint64_t call = 0;
    std::string workspace;
    std::optional<lender_request> next;

    friend bool operator==(const overdue_request&, const overdue_request&) = default;
};

// Not synchronised; the owner holds a lock.
class lender_client {
public:
    lender_client(std::string own, std::uint64_t incarnation, lender_client_options initial = {})
        : self(std::move(own)), options(initial), rounds(incarnation) {}

    // The instances of the own failure domain that seem to live.
    void set_instances(std::vector<std::string> live);

    // The lender is this daemon itself where it has the highest score, and then nothing waits.
    lender_request start(const std::string& workspace, std::uint64_t call, mono_time now);

    // Whether a request of this daemon would find the daemon itself to be the lender.
    bool is_lender(const std::string& workspace, mono_time now);

    // Whom to ask for tokens of a workspace that this daemon lends from now on: the lender before,
    // or the one that would lend without this daemon. Nothing where there is no other.
    std::optional<lender_request> request_to_previous_lender(const std::string& workspace);

    // The call that the answer decides; nothing when it is too late.
    std::optional<std::uint64_t> on_answer(std::uint64_t round);

    // To be called about every 10 ms.
    std::vector<overdue_request> expire(mono_time now);

private:
    struct waiting_call {
        std::uint64_t call = 0;
        std::string workspace;
        std::string lender;
        mono_time deadline;
        bool repeated = false;
    };

    void forget_lenders();
    const std::string& lender_of(const std::string& workspace, mono_time now);
    lender_request ask(waiting_call waiting, mono_time now);

    const std::string self;
    const lender_client_options options;
    round_source rounds;
    std::vector<std::string> instances;
    std::map<std::string, unsigned> unanswered;                 // In a row, by lender.
    std::map<std::string, mono_time> avoided;                   // Until when, by instance.
    absl::flat_hash_map<std::string, std::string> lenders;      // By workspace, as chosen last.
    absl::flat_hash_map<std::string, std::string> former;       // Likewise, the last other daemon.
    absl::flat_hash_map<std::uint64_t, waiting_call> waiting;   // By round.
    std::deque<std::pair<mono_time, std::uint64_t>> deadlines;  // With rounds, in order of time.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_LENDER_CLIENT_H_
