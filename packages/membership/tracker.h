// Derives the state of each instance from the instance list, from authenticated contact and from
// the leaving flag of digests. It takes time as an argument and has no lock: its owner calls it
// from one thread or under one lock and publishes the views.
//
// Example:
//
//     membership::tracker tracker;
//     tracker.adopt(now, list);
//     tracker.record_contact(now, record, incarnation);
//     board.publish(tracker.refresh(now));

#ifndef TREFOIL_MEMBERSHIP_TRACKER_H_
#define TREFOIL_MEMBERSHIP_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "membership/instance_list.h"
#include "membership/instance_record.h"
#include "membership/view.h"

namespace trefoil::membership {

struct tracker_options {
    std::chrono::milliseconds suspect_after{3000};
    // The same for contact that peers report. Reports travel by gossip and are several seconds old
    // in a large fleet, so that 3 s would suspect most instances without a connection from here.
    std::chrono::milliseconds suspect_reported_after{10000};
    std::chrono::milliseconds gone_after{30000};
    // How long an instance that is off the list and gone stays in the view, for operators.
    std::chrono::milliseconds forget_after{60000};
};

class tracker {
public:
    explicit tracker(tracker_options limits = {});

    // Replaces the list. A list that is not newer than the one held is ignored. An entry that is
    // new on the list counts as reported now, so that it is not suspected before a first contact
    // was possible.
    void adopt(mono_time now, std::shared_ptr<const instance_list> list);

    // Records authenticated contact. `record` is what the peer says of itself; it is used only
    // while the instance is off the list. Contact of an older incarnation than the newest one seen
    // is ignored, because it can only be a delayed message of a process that has ended. Returns
    // whether the contact was used.
    bool record_contact(mono_time at, const instance_record& record, std::uint64_t incarnation);

    // Records the leaving flag of a digest. A newer incarnation starts with the flag cleared.
    void record_leaving(std::string_view id, std::uint64_t incarnation, bool flag);

    // Records times at which peers reported instances as alive, in the order of the list with this
    // revision. Ignored for another revision. Unknown times are mono_time::min().
    void record_reported_contacts(std::uint64_t list_revision, const std::vector<mono_time>& times);

    // Computes the states at `now`. Returns the previous view when nothing but contact times has
    // changed within the last 500 ms.
    std::shared_ptr<const view> refresh(mono_time now);

private:
    struct entry {
        std::shared_ptr<const instance_record> record;
        bool listed = false;
        std::uint64_t incarnation = 0;  // Never decreases.
        bool leaving = false;           // Flag of the incarnation above.
        std::optional<mono_time> direct_contact;
        std::optional<mono_time> reported_contact;
        mono_time known_since;  // Stands in for a reported contact before the first one.
    };

    member make_member(const entry& source, mono_time now) const;
    instance_state state_of(const entry& source, mono_time now) const;
    static std::optional<mono_time> last_contact(const entry& source);
    void forget_gone(mono_time now);
    bool states_differ(const std::vector<member>& listed,
                       const std::vector<member>& unlisted) const;

    tracker_options options;
    std::shared_ptr<const instance_list> list;
    absl::flat_hash_map<std::string, std::unique_ptr<entry>> entries;
    std::vector<entry*> in_list_order;  // Entries of `list`, owned by `entries`.
    std::shared_ptr<const view> latest;
    mono_time latest_at;
};

}  // namespace trefoil::membership

#endif  // TREFOIL_MEMBERSHIP_TRACKER_H_
