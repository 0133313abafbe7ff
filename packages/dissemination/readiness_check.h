// Decides when a daemon that started with no state may serve requests: (i) after a platform
// confirmation and replies from 3 peers in 2 failure domains, or from as many as are in contact, or
// from one peer after 10 s; (ii) after a platform confirmation and the start timeout (3 s by
// default) without a reply; (iii) after the start timeout without an answer of the platform, when a
// majority of the instance list holds nothing newer. In each case a pair of base and overlay must
// be in force, and no announced newer document may be missing. A platform confirmation is the
// platform's answer, to this daemon or to a peer, that the held documents are the newest.
//
// Example:
//
//     readiness_check readiness("station-1", start, milliseconds(3000));
//     readiness.record_response("station-2", "d2");
//     bool ready = readiness.update(now, inputs, *view);

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

// The inputs of the check other than the peers' replies.
struct readiness_inputs {
    bool valid_pair = false;  // Whether a pair of base and overlay is in force.
    // Whether the platform recently confirmed each held document, to this daemon or to a peer.
    bool platform_confirmed = false;
    bool majority_confirmed = false;  // Whether a majority of the list recently held nothing newer.
    bool document_missing = false;    // Whether an announced newer document has not arrived.
    // The last answer of the platform to this daemon that was not stale; mono_time::min() for none.
    mono_time platform_answered_at = mono_time::min();

    friend bool operator==(const readiness_inputs&, const readiness_inputs&) = default;
};

class readiness_check {
public:
    readiness_check(std::string self_id, mono_time start, std::chrono::milliseconds start_timeout);

    // A peer replied to a digest request.
    void record_response(const std::string& peer, const std::string& failure_domain);

    // Returns whether the daemon is ready at `now`. Once ready, it stays ready.
    bool update(mono_time now, const readiness_inputs& inputs, const membership::view& current);

    bool ready() const { return this->is_ready; }

    // The condition that is not yet met, for operators; empty when ready.
    const std::string& waiting_for() const { return this->reason; }

private:
    bool has_enough_peers(mono_time now, const membership::view& current) const;

    std::string self;
    mono_time started_at;
    std::chrono::milliseconds timeout;
    absl::flat_hash_map<std::string, std::string> responders;  // Failure domain by instance.
    bool is_ready = false;
    std::string reason = "configuration";
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_READINESS_CHECK_H_
