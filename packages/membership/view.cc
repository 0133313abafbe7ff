// Implements lookups in a view.

#include "membership/view.h"

#include <utility>

namespace trefoil::membership {

std::string_view to_string(instance_state state) {
    switch (state) {
        case instance_state::live:
            return "live";
        case instance_state::leaving:
            return "leaving";
        case instance_state::suspected:
            return "suspected";
        case instance_state::gone:
            return "gone";
    }
    return "unknown";
}

view::view(std::shared_ptr<const instance_list> instances, std::vector<member> listed_members,
           std::vector<member> unlisted_members)
    : instances_list(std::move(instances)),
      on_list(std::move(listed_members)),
      off_list(std::move(unlisted_members)) {}

std::uint64_t view::list_revision() const {
    return this->instances_list->revision();
}

const member* view::find(std::string_view id) const {
    auto index = this->instances_list->index_of(id);
    if (index.has_value()) {
        return &this->on_list[*index];
    }
    for (const member& each : this->off_list) {
        if (each.record->id == id) {
            return &each;
        }
    }
    return nullptr;
}

}  // namespace trefoil::membership
