// Decides when a daemon that started with empty memory may serve: (i) with a platform response and
// responses of 3 peers in 2 failure domains, or of all that exist; (ii) with a platform response
// and no reachable peer for 3 s; (iii) without the platform for 3 s and with responses of a
// majority of the list.
//
// Example:
//
//     start_rule rule(start, milliseconds(3000));
//     rule.responded("station-2", "d2");
//     bool ready = rule.update(now, facts);

#ifndef TREFOIL_DISSEMINATION_START_RULE_H_
#define TREFOIL_DISSEMINATION_START_RULE_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "membership/view.h"

namespace trefoil::dissemination {

// What the rule depends on besides the peers' responses.
struct start_facts {
    bool valid_pair = false;
    // Whether the platform confirmed each held document lately, as read here or by a peer.
    bool platform_confirmed = false;
    bool majority_heard = false;    // Whether a majority of the list lately held nothing newer.
    bool document_missing = false;  // Whether a known newer document has not arrived.
    // When a read here last had an answer that was not stale; mono_time::min() when none had.
    mono_time platform_answered_at = mono_time::min();

    friend bool operator==(const start_facts&, const start_facts&) = default;
};

class start_rule {
public:
    start_rule(std::string self_id, mono_time start, std::chrono::milliseconds patience);

    // A peer answered a digest.
    void responded(const std::string& peer, const std::string& failure_domain);

    // Whether the daemon is ready at `now`. Stays true once it is.
    bool update(mono_time now, const start_facts& facts, const membership::view& current);

    bool ready() const { return this->is_ready; }

    // The condition that is not met, for the operator; empty when ready.
    const std::string& waiting_for() const { return this->reason; }

private:
    bool enough_peers(mono_time now, const membership::view& current) const;

    std::string self;
    mono_time started_at;
    std::chrono::milliseconds limit;
    absl::flat_hash_map<std::string, std::string> responders;  // Instance to failure domain.
    bool is_ready = false;
    std::string reason = "configuration";
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_START_RULE_H_
