// The part of an allowance of the whole fleet that one daemon may use by itself. The parts of all
// daemons, also of those that some do not know at the moment, stay within the whole.
//
// Example:
//
//     routing::fleet_share share;
//     share.observe(daemons_known, now);
//     double retries = share.share_of(fleet_slack, now);

#ifndef TREFOIL_ROUTING_FLEET_SHARE_H_
#define TREFOIL_ROUTING_FLEET_SHARE_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil::routing {

// Safe for concurrent use.
class fleet_share {
public:
    // The list that a new process reads first may lack entries that lapsed; they are back within
    // seconds. The process before may have used its part as well.
    static constexpr std::chrono::seconds settling_time{10};
    // The rest is for daemons that are not known yet.
    static constexpr double allotted_fraction = 0.95;

    // `daemons` are known to exist now, on the list or from contact; 0: nothing is known.
    void observe(std::size_t daemons, mono_time now);

    // This daemon's part of `whole`; 0 until the fleet has been known for the settling time.
    double share_of(double total, mono_time now) const;

private:
    mutable absl::Mutex mutex;
    // The most daemons that were known since the start. Daemons whose entries lapsed still use
    // their parts; a fleet that has shrunk for good is seen after the next start.
    std::size_t most = 0;
    std::optional<mono_time> first_known;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_FLEET_SHARE_H_
