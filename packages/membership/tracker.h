// Derives the state of each instance from the instance list, from authenticated contact and from
// the leaving flag of digests. Contact is direct when this daemon received a message of the
// instance, and reported when it comes from the digest of a peer. The tracker takes the time as an
// argument and takes no lock: its owner serializes all calls and publishes the views.
//
// Example:
//
//     membership::tracker tracker;
//     tracker.adopt(now, list);
//     tracker.record_contact(now, record, incarnation);
//     members.publish(tracker.refresh(now));

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
    // An instance is suspected when its last direct contact is older than this and its last
    // reported contact is older than `suspect_reported_after`.
    std::chrono::milliseconds suspect_after{3000};
    // Reports travel by gossip and are several seconds old in a large fleet; with 3 s, most
    // instances without a connection to this daemon would be suspected.
    std::chrono::milliseconds suspect_reported_after{10000};
    // Time without any contact after which an instance is gone.
    std::chrono::milliseconds gone_after{30000};
    // How long an unlisted, gone instance remains in the view, for operators.
    std::chrono::milliseconds forget_after{60000};
};

class tracker {
public:
    explicit tracker(tracker_options limits = {});

    // Replaces the list; a list that is not newer is ignored. An entry that is new on the list
    // counts as reported now, so that it is not suspected before a first contact is possible.
    void adopt(mono_time now, std::shared_ptr<const instance_list> list);

    // Records authenticated contact and returns whether it was accepted. `record` is the peer's own
    // description, which is used only while the instance is not listed. Contact of an incarnation
    // older than the newest one seen is ignored, because it can only be a delayed message of an
    // ended process.
    bool record_contact(mono_time at, const instance_record& record, std::uint64_t incarnation);

    // Records the leaving flag of a digest. The flag is cleared when a newer incarnation is seen.
    void record_leaving(std::string_view id, std::uint64_t incarnation, bool flag);

    // Records the contact times that peers reported, in the order of the list with this revision.
    // Ignored for any other revision. Unknown times are mono_time::min().
    void record_reported_contacts(std::uint64_t list_revision, const std::vector<mono_time>& times);

    // Computes the states at `now`. Returns the previous view when at most contact times have
    // changed and that view is less than 500 ms old.
    std::shared_ptr<const view> refresh(mono_time now);

private:
    struct entry {
        std::shared_ptr<const instance_record> record;
        bool listed = false;
        std::uint64_t incarnation = 0;  // Never decreases.
        bool leaving = false;           // Flag of this incarnation.
        std::optional<mono_time> direct_contact;
        std::optional<mono_time> reported_contact;
        mono_time known_since;  // Serves as the reported contact before the first one.
    };

    member make_member(const entry& source, mono_time now) const;
    instance_state state_of(const entry& source, mono_time now) const;
    static std::optional<mono_time> last_contact(const entry& source);
    void remove_expired(mono_time now);
    bool states_differ(const std::vector<member>& listed,
                       const std::vector<member>& unlisted) const;

    tracker_options options;
    std::shared_ptr<const instance_list> list;
    absl::flat_hash_map<std::string, std::unique_ptr<entry>> entries;
    std::vector<entry*> in_list_order;  // Entries of `list`, owned by `entries`.
    std::shared_ptr<const view> latest;
    mono_time latest_at;  // When `latest` was computed.
};

}  // namespace trefoil::membership

#endif  // TREFOIL_MEMBERSHIP_TRACKER_H_
