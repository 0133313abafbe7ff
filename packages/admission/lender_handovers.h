// Token handovers: when a daemon becomes the lender of a workspace (rate_division.h), it requests
// the unused tokens of the previous lender. Requests that find no token meanwhile are held until
// the tokens arrive or the handover times out.
//
// Example:
//
//     admission::lender_handovers handovers;
//     // A request with `round` was sent to the previous lender.
//     handovers.start(round, "north", now);
//     if (handovers.hold({.workspace = "north", .from = "station-2", .round = 7}, now)) { return; }
//     if (auto completed = handovers.complete(round, now)) { ... decide completed->held ... }
//     for (const admission::held_request& each : handovers.expire(now)) { ... }
//
// `round` identifies a request to a peer, which echoes it in the answer.

#ifndef TREFOIL_ADMISSION_LENDER_HANDOVERS_H_
#define TREFOIL_ADMISSION_LENDER_HANDOVERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace trefoil::admission {

struct lender_handover_options {
    // Longest time for which a request is held. An answer takes about 1 ms in the same failure
    // domain. A quarter of lender_client_options::answer_timeout, so that the client receives the
    // decision in time.
    std::chrono::milliseconds max_hold_time{50};
    // Age at which a handover expires and its tokens are no longer accepted. By then the bucket has
    // refilled at its own rate.
    std::chrono::milliseconds handover_timeout{1000};
};

// A request for a token that the bucket of this daemon could not serve.
struct held_request {
    std::string workspace;
    std::string from;         // Requesting instance; empty for a call of this daemon.
    std::uint64_t round = 0;  // Round of the request, or number of the call of this daemon.

    friend bool operator==(const held_request&, const held_request&) = default;
};

struct completed_handover {
    std::string workspace;
    std::vector<held_request> held;

    friend bool operator==(const completed_handover&, const completed_handover&) = default;
};

// Not safe for concurrent use.
class lender_handovers {
public:
    explicit lender_handovers(lender_handover_options initial = {}) : options(initial) {}

    // Starts a handover. Replaces a pending handover of the same workspace and keeps its held
    // requests.
    void start(std::uint64_t round, const std::string& workspace, mono_time now);

    // Holds the request if a handover of its workspace started less than `max_hold_time` ago.
    // Returns whether the request is held.
    bool hold(const held_request& request, mono_time now);

    // Ends the handover whose request had `round`, and returns its workspace and the held requests
    // to decide. Returns nothing for an unknown or expired round and for a duplicate answer, so
    // that tokens are added once.
    std::optional<completed_handover> complete(std::uint64_t round, mono_time now);

    // Ends a handover whose request could not be sent. The next expire() returns its held requests.
    void cancel(std::uint64_t round, mono_time now);

    // Returns the held requests of handovers that started `max_hold_time` ago or earlier, and
    // removes expired handovers. To be called about every 10 ms.
    std::vector<held_request> expire(mono_time now);

private:
    struct pending_handover {
        std::uint64_t round = 0;
        mono_time started;
        std::vector<held_request> held;
    };

    const lender_handover_options options;
    std::map<std::string, pending_handover> pending;  // By workspace.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_LENDER_HANDOVERS_H_
