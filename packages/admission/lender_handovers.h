// The workspaces that a daemon has begun to lend, while it waits for the tokens of the lender
// before, and the requests that wait with it.
//
// Example:
//
//     admission::lender_handovers open;
//     open.start(round, "north", now);                  // Ask the lender before, with that round.
//     if (open.hold({.workspace = "north", .from = "station-2", .round = 7}, now)) { return; }
//     if (auto answered = open.complete(round)) { ... decide answered->held ... }
//     for (const admission::held_request& each : open.expire(now)) { ... }

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
    // How long a request waits for the tokens of the lender before, which takes about 1 ms in the
    // same failure domain. A quarter of what the asker waits for an answer (lender_client.h).
    std::chrono::milliseconds hold_wait{50};
    // How long tokens are taken over. By then the bucket has filled by itself.
    std::chrono::milliseconds tokens_wait{1000};
};

// A request that found no token here.
struct held_request {
    std::string workspace;
    std::string from;         // Who asked; empty for this daemon itself.
    std::uint64_t round = 0;  // Of the asker, or the own call.

    friend bool operator==(const held_request&, const held_request&) = default;
};

struct completed_handover {
    std::string workspace;
    std::vector<held_request> held;

    friend bool operator==(const completed_handover&, const completed_handover&) = default;
};

// Not synchronised; the owner holds a lock.
class lender_handovers {
public:
    explicit lender_handovers(lender_handover_options initial = {}) : options(initial) {}

    // Replaces an open one of the same workspace, whose requests wait on.
    void start(std::uint64_t round, const std::string& workspace, mono_time now);

    // Whether the request waits: only while the lender before may still answer in time.
    bool hold(const held_request& request, mono_time now);

    // The workspace whose tokens the answer brings, with the requests to decide; at most once for
    // each round, so that a copy of an answer adds nothing.
    std::optional<completed_handover> complete(std::uint64_t round, mono_time now);

    // Of a lender before that cannot be asked. Requests that wait already are returned by expire().
    void cancel(std::uint64_t round, mono_time now);

    // The requests that have waited for too long. To be called about every 10 ms.
    std::vector<held_request> expire(mono_time now);

private:
    struct pending_handover {
        std::uint64_t round = 0;
        mono_time started;
        std::vector<held_request> held;
    };

    const lender_handover_options options;
    std::map<std::string, pending_handover> open;  // By workspace.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_LENDER_HANDOVERS_H_
