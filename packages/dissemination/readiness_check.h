// Decides when a daemon that started with empty memory may serve: (i) with a platform response and
// responses of 3 peers in 2 failure domains, or of all that exist; (ii) with a platform response
// and no reachable peer for 3 s; (iii) without the platform for 3 s and with responses of a
// majority of the list.
//
// Example:
//
//     readiness_check rule(start, milliseconds(3000));
//     rule.record_response("station-2", "d2");
//     bool ready = rule.update(now, inputs);

#ifndef TREFOIL_DISSEMINATION_READINESS_CHECK_H_
#define TREFOIL_DISSEMINATION_READINESS_CHECK_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "membership/view.h"

namespace trefoil::dissemination {

// What the rule depends on besides the peers' responses.
struct readiness_inputs {
    bool valid_pair = false;
    // Whether the platform confirmed each held document lately, as read here or by a peer.
    bool platform_confirmed = false;
    bool majority_confirmed = false;  // Whether a majority of the list lately held nothing newer.
    bool document_missing = false;    // Whether a known newer document has not arrived.
    // When a read here last had an answer that was not stale; mono_time::min() when none had.
    mono_time platform_answered_at = mono_time::min();

    friend bool operator==(const readiness_inputs&, const readiness_inputs&) = default;
};

class readiness_check {
public:
    readiness_check(std::string self_id, mono_time start, std::chrono::milliseconds start_timeout);

    // A peer answered a digest.
    void record_response(const std::string& peer, const std::string& failure_domain);

    // Whether the daemon is ready at `now`. Stays true once it is.
    bool update(mono_time now, const readiness_inputs& inputs, const membership::view& current);

    bool ready() const { return this->is_ready; }

    // The condition that is not met, for the operator; empty when ready.
    const std::string& waiting_for() const { return this->reason; }

private:
    bool has_enough_peers(mono_time now, const membership::view& current) const;

    std::string self;
    mono_time started_at;
    std::chrono::milliseconds timeout;
    absl::flat_hash_map<std::string, std::string> responders;  // Instance to failure domain.
    bool is_ready = false;
    std::string reason = "configuration";
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_READINESS_CHECK_H_
