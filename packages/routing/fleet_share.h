// The share of a fleet-wide allowance that one daemon may use without coordination. The shares of
// all daemons together stay within the allowance, even while some daemons do not know of all
// others.
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
    // Time after the first observation during which the share is 0. The first member list that a
    // new process reads may lack expired entries, which reappear within seconds, and the previous
    // process of this daemon may have used its share just before.
    static constexpr std::chrono::seconds settling_time{10};
    // Fraction of the allowance that is divided. The rest is a reserve for daemons that are not
    // known yet.
    static constexpr double allotted_fraction = 0.95;

    // `daemons`: number of daemons on the member list or known from contact; 0 if unknown.
    void observe(std::size_t daemons, mono_time now);

    // This daemon's share of `total`; 0 until the settling time has passed.
    double share_of(double total, mono_time now) const;

private:
    mutable absl::Mutex mutex;
    // Maximum number of daemons known since the start. It does not decrease, because daemons whose
    // list entries expired still use their shares; a smaller fleet takes effect after the next
    // start.
    std::size_t max_daemons = 0;
    std::optional<mono_time> first_observed;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_FLEET_SHARE_H_
