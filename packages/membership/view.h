// An immutable view of the fleet: the instance list and the derived state of each instance.
//
// Example:
//
//     const membership::member* peer = view->find("station-1");
//     bool usable = peer != nullptr && peer->state == membership::instance_state::live;

#ifndef TREFOIL_MEMBERSHIP_VIEW_H_
#define TREFOIL_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "membership/instance_list.h"
#include "membership/instance_record.h"

namespace trefoil::membership {

enum class instance_state : std::uint8_t {
    live,
    leaving,    // Announced by the list or by the instance itself.
    suspected,  // No direct contact for 3 s and no reported contact for 10 s.
    gone,       // Not listed and no direct contact for 3 s, or no contact for 30 s.
};

std::string_view to_string(instance_state state);

struct member {
    // Shared with other views and with the list, so that views do not copy strings.
    std::shared_ptr<const instance_record> record;
    instance_state state = instance_state::live;
    bool listed = false;
    std::uint64_t incarnation = 0;          // 0 before the first direct contact.
    std::optional<mono_time> last_contact;  // Direct, or reported by a peer.

    friend bool operator==(const member&, const member&) = default;
};

class view {
public:
    // `listed_members` are in the order of `instances`; `unlisted_members` have been in contact but
    // are not listed.
    view(std::shared_ptr<const instance_list> instances, std::vector<member> listed_members,
         std::vector<member> unlisted_members);

    // Revision of the instance list; 0 before the first list.
    std::uint64_t list_revision() const;

    // Never null; empty and with revision 0 before the first list.
    const std::shared_ptr<const instance_list>& list() const { return this->instances_list; }

    // The listed members, in the order of the list.
    const std::vector<member>& listed() const { return this->on_list; }

    // The members that are known only from contact.
    const std::vector<member>& unlisted() const { return this->off_list; }

    // Returns the member with this id, or null. The pointer is valid as long as the view.
    const member* find(std::string_view id) const;

private:
    std::shared_ptr<const instance_list> instances_list;
    std::vector<member> on_list;   // Same size and order as instances_list->records().
    std::vector<member> off_list;  // Instances that the list does not name yet or no longer names.
};

}  // namespace trefoil::membership

#endif  // TREFOIL_MEMBERSHIP_VIEW_H_
