// Implements the fair queue with one list per workspace and an index by call.

#include "gate/fair_queue.h"

#include <algorithm>
#include <utility>

namespace trefoil::gate {

std::variant<queue_added, queue_full> fair_queue::push(waiting_call waiting) {
    queue_added added;
    if (this->positions.size() >= this->capacity) {
        lane_position longest = this->longest_lane();
        std::size_t own = this->waiting_calls(waiting.call.workspace);
        // The new call may only displace one when its workspace then still has no more waiting
        // calls than the displaced one's; otherwise two workspaces would displace each other's
        // calls forever.
        if (longest == this->rotation.end() || longest->calls.size() < own + 2) {
            return queue_full{};
        }
        added.displaced = this->take({longest, std::prev(longest->calls.end())});
    }
    lane_position owner = this->lane_of(waiting.call.workspace);
    call_id id = waiting.call.id;
    owner->calls.push_back(std::move(waiting));
    this->positions[id] = {owner, std::prev(owner->calls.end())};
    return added;
}

std::optional<waiting_call> fair_queue::pop() {
    if (this->rotation.empty()) {
        return std::nullopt;
    }
    lane_position first = this->rotation.begin();
    this->rotation.splice(this->rotation.end(), this->rotation, first);
    return this->take({first, first->calls.begin()});
}

std::optional<waiting_call> fair_queue::remove(const call_id& id) {
    auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return std::nullopt;
    }
    return this->take(found->second);
}

std::vector<waiting_call> fair_queue::expire(mono_time now) {
    std::vector<position> late;
    // The lanes and not the index are visited, because the order of the index is not repeatable.
    for (auto owner = this->rotation.begin(); owner != this->rotation.end(); ++owner) {
        for (auto call = owner->calls.begin(); call != owner->calls.end(); ++call) {
            if (call->expires <= now) {
                late.push_back({owner, call});
            }
        }
    }
    std::vector<waiting_call> expired;
    expired.reserve(late.size());
    for (const position& where : late) {
        expired.push_back(this->take(where));
    }
    return expired;
}

std::vector<waiting_call> fair_queue::clear() {
    std::vector<waiting_call> all;
    all.reserve(this->size());
    while (std::optional<waiting_call> next = this->pop()) {
        all.push_back(std::move(*next));
    }
    return all;
}

std::optional<mono_time> fair_queue::next_expiry() const {
    std::optional<mono_time> earliest;
    for (const auto& [id, where] : this->positions) {
        earliest = std::min(earliest.value_or(where.call->expires), where.call->expires);
    }
    return earliest;
}

fair_queue::lane_position fair_queue::lane_of(const std::string& workspace) {
    auto found = this->lanes.find(workspace);
    if (found != this->lanes.end()) {
        return found->second;
    }
    this->rotation.push_back({.workspace = workspace, .calls = {}});
    lane_position created = std::prev(this->rotation.end());
    this->lanes[workspace] = created;
    return created;
}

fair_queue::lane_position fair_queue::longest_lane() {
    return std::max_element(
        this->rotation.begin(), this->rotation.end(),
        [](const lane& a, const lane& b) { return a.calls.size() < b.calls.size(); });
}

std::size_t fair_queue::waiting_calls(const std::string& workspace) const {
    auto found = this->lanes.find(workspace);
    return found == this->lanes.end() ? 0 : found->second->calls.size();
}

waiting_call fair_queue::take(position where) {
    waiting_call taken = std::move(*where.call);
    where.owner->calls.erase(where.call);
    this->positions.erase(taken.call.id);
    if (where.owner->calls.empty()) {
        this->lanes.erase(where.owner->workspace);
        this->rotation.erase(where.owner);
    }
    return taken;
}

}  // namespace trefoil::gate
