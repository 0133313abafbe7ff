// Implements the queue with one rotation of workspaces per rank and an index by call.

#include "gate/fair_queue.h"

#include <algorithm>
#include <utility>

namespace trefoil::gate {

namespace {

bool is_late(const waiting_call& waiting, mono_time now) {
    return waiting.call.latest_start.has_value() && *waiting.call.latest_start < now;
}

// By when a call in time must start to meet its objective, and a late one to end at all.
mono_time must_start(const waiting_call& waiting, bool late) {
    return late ? waiting.expires
                : std::min(waiting.call.latest_start.value_or(waiting.expires), waiting.expires);
}

}  // namespace

std::variant<queue_added, queue_full> fair_queue::push(waiting_call waiting, bool late) {
    rank where{late, waiting.call.priority};
    queue_added added;
    if (this->positions.size() >= this->capacity) {
        added.displaced = this->make_room(waiting, where);
        if (!added.displaced.has_value()) {
            return queue_full{};
        }
    }
    this->insert(where, std::move(waiting));
    return added;
}

// Takes the newest call of the longest lane of the least urgent rank. In the same rank the new call
// may only displace one when its workspace then still has no more waiting calls than the displaced
// one's; otherwise two workspaces would displace each other's calls forever.
std::optional<waiting_call> fair_queue::make_room(const waiting_call& coming, rank own_rank) {
    if (this->ranks.empty()) {
        return std::nullopt;
    }
    auto least_urgent = std::prev(this->ranks.end());
    if (least_urgent->first < own_rank) {
        return std::nullopt;
    }
    auto longest = longest_lane(least_urgent->second);
    if (least_urgent->first == own_rank) {
        auto same =
            std::find_if(least_urgent->second.begin(), least_urgent->second.end(),
                         [&](const lane& each) { return each.workspace == coming.call.workspace; });
        std::size_t own = same == least_urgent->second.end() ? 0 : same->calls.size();
        if (longest->calls.size() < own + 2) {
            return std::nullopt;
        }
    }
    return this->take({least_urgent->first, longest, std::prev(longest->calls.end())});
}

std::optional<waiting_call> fair_queue::pop(mono_time now) {
    while (!this->ranks.empty()) {
        auto first = this->next_rank();
        rank where = first->first;
        rotation& lanes = first->second;
        auto next = lanes.begin();
        lanes.splice(lanes.end(), lanes, next);
        waiting_call taken = this->take({where, next, next->calls.begin()});
        bool turned_late = !where.first && is_late(taken, now);
        if (!turned_late) {
            return taken;
        }
        rank late{true, where.second};
        this->insert(late, std::move(taken));
    }
    return std::nullopt;
}

// A late call goes before calls in time of its priority, or of a less urgent one, while they can
// wait for longer than it can.
std::map<fair_queue::rank, fair_queue::rotation>::iterator fair_queue::next_rank() {
    auto first = this->ranks.begin();
    auto late = this->ranks.lower_bound({true, 0});
    bool both = !first->first.first && late != this->ranks.end();
    if (!both || late->first.second > first->first.second) {
        return first;
    }
    return must_start(next_call(late->second), true) < must_start(next_call(first->second), false)
               ? late
               : first;
}

const waiting_call& fair_queue::next_call(const rotation& lanes) {
    return lanes.front().calls.front();
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
    for (auto& [where, lanes] : this->ranks) {
        for (auto owner = lanes.begin(); owner != lanes.end(); ++owner) {
            for (auto call = owner->calls.begin(); call != owner->calls.end(); ++call) {
                if (call->expires <= now) {
                    late.push_back({where, owner, call});
                }
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
    while (!this->ranks.empty()) {
        auto first = this->ranks.begin();
        auto owner = first->second.begin();
        all.push_back(this->take({first->first, owner, owner->calls.begin()}));
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

std::size_t fair_queue::ahead_of(std::uint32_t priority, bool late) const {
    std::size_t ahead = 0;
    for (const auto& [where, lanes] : this->ranks) {
        if (rank(late, priority) < where) {
            break;
        }
        for (const lane& each : lanes) {
            ahead += each.calls.size();
        }
    }
    return ahead;
}

void fair_queue::insert(rank where, waiting_call waiting) {
    auto owner = this->lane_of(where, waiting.call.workspace);
    call_id id = waiting.call.id;
    owner->calls.push_back(std::move(waiting));
    this->positions[id] = {where, owner, std::prev(owner->calls.end())};
    this->late_calls += where.first ? 1 : 0;
}

fair_queue::rotation::iterator fair_queue::lane_of(rank where, const std::string& workspace) {
    rotation& lanes = this->ranks[where];
    auto found = std::find_if(lanes.begin(), lanes.end(),
                              [&](const lane& each) { return each.workspace == workspace; });
    if (found != lanes.end()) {
        return found;
    }
    lanes.push_back({.workspace = workspace, .calls = {}});
    return std::prev(lanes.end());
}

fair_queue::rotation::iterator fair_queue::longest_lane(rotation& lanes) {
    return std::max_element(lanes.begin(), lanes.end(), [](const lane& a, const lane& b) {
        return a.calls.size() < b.calls.size();
    });
}

waiting_call fair_queue::take(position where) {
    waiting_call taken = std::move(*where.call);
    where.owner->calls.erase(where.call);
    this->positions.erase(taken.call.id);
    this->late_calls -= where.where.first ? 1 : 0;
    auto lanes = this->ranks.find(where.where);
    if (where.owner->calls.empty()) {
        lanes->second.erase(where.owner);
    }
    if (lanes->second.empty()) {
        this->ranks.erase(lanes);
    }
    return taken;
}

}  // namespace trefoil::gate
