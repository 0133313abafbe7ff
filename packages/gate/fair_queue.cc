// Implements the queue with one round robin of workspaces per rank and an index by call.

#include "gate/fair_queue.h"

#include <algorithm>
#include <utility>

namespace trefoil::gate {

namespace {

bool is_late(const waiting_call& waiting, mono_time now) {
    return waiting.call.latest_start.has_value() && *waiting.call.latest_start < now;
}

// The latest start at which a call in time meets its objective, or a late call ends before its
// deadline.
mono_time latest_start_time(const waiting_call& waiting, bool late) {
    return late ? waiting.expires
                : std::min(waiting.call.latest_start.value_or(waiting.expires), waiting.expires);
}

}  // namespace

std::variant<queue_added, queue_full> fair_queue::push(waiting_call waiting, bool late) {
    rank key{late, waiting.call.priority};
    queue_added added;
    if (this->positions.size() >= this->capacity) {
        added.displaced = this->displace_for(waiting, key);
        if (!added.displaced.has_value()) {
            return queue_full{};
        }
    }
    this->insert(key, std::move(waiting));
    return added;
}

// Removes the newest call of the longest workspace queue in the least urgent rank. Within its own
// rank the incoming call displaces another only if its workspace then has no more waiting calls
// than the workspace of the displaced call; otherwise two workspaces would displace each other's
// calls in turn.
std::optional<waiting_call> fair_queue::displace_for(const waiting_call& incoming, rank own_rank) {
    if (this->ranks.empty()) {
        return std::nullopt;
    }
    auto least_urgent = std::prev(this->ranks.end());
    if (least_urgent->first < own_rank) {
        return std::nullopt;
    }
    auto longest = longest_queue(least_urgent->second);
    if (least_urgent->first == own_rank) {
        auto same = std::find_if(
            least_urgent->second.begin(), least_urgent->second.end(),
            [&](const workspace_queue& each) { return each.workspace == incoming.call.workspace; });
        std::size_t own = same == least_urgent->second.end() ? 0 : same->calls.size();
        if (longest->calls.size() < own + 2) {
            return std::nullopt;
        }
    }
    return this->extract({least_urgent->first, longest, std::prev(longest->calls.end())});
}

std::optional<waiting_call> fair_queue::pop(mono_time now) {
    while (!this->ranks.empty()) {
        auto first = this->next_rank();
        rank key = first->first;
        round_robin& queues = first->second;
        auto next = queues.begin();
        queues.splice(queues.end(), queues, next);
        waiting_call extracted = this->extract({key, next, next->calls.begin()});
        bool became_late = !key.first && is_late(extracted, now);
        if (!became_late) {
            return extracted;
        }
        rank late{true, key.second};
        this->insert(late, std::move(extracted));
    }
    return std::nullopt;
}

// A late call precedes calls in time of the same or a less urgent priority if it has to start
// before they do.
std::map<fair_queue::rank, fair_queue::round_robin>::iterator fair_queue::next_rank() {
    auto first = this->ranks.begin();
    auto late = this->ranks.lower_bound({true, 0});
    bool both = !first->first.first && late != this->ranks.end();
    if (!both || late->first.second > first->first.second) {
        return first;
    }
    return latest_start_time(next_call(late->second), true) <
                   latest_start_time(next_call(first->second), false)
               ? late
               : first;
}

const waiting_call& fair_queue::next_call(const round_robin& queues) {
    return queues.front().calls.front();
}

std::optional<waiting_call> fair_queue::remove(const call_id& id) {
    auto found = this->positions.find(id);
    if (found == this->positions.end()) {
        return std::nullopt;
    }
    return this->extract(found->second);
}

std::vector<waiting_call> fair_queue::expire(mono_time now) {
    std::vector<position> expired_positions;
    // Iterates over the ranks instead of the index, whose order is not deterministic.
    for (auto& [key, queues] : this->ranks) {
        for (auto owner = queues.begin(); owner != queues.end(); ++owner) {
            for (auto call = owner->calls.begin(); call != owner->calls.end(); ++call) {
                if (call->expires <= now) {
                    expired_positions.push_back({key, owner, call});
                }
            }
        }
    }
    std::vector<waiting_call> expired;
    expired.reserve(expired_positions.size());
    for (const position& at : expired_positions) {
        expired.push_back(this->extract(at));
    }
    return expired;
}

std::vector<waiting_call> fair_queue::clear() {
    std::vector<waiting_call> all;
    all.reserve(this->size());
    while (!this->ranks.empty()) {
        auto first = this->ranks.begin();
        auto owner = first->second.begin();
        all.push_back(this->extract({first->first, owner, owner->calls.begin()}));
    }
    return all;
}

std::optional<mono_time> fair_queue::next_expiry() const {
    std::optional<mono_time> earliest;
    for (const auto& [id, at] : this->positions) {
        earliest = std::min(earliest.value_or(at.call->expires), at.call->expires);
    }
    return earliest;
}

std::size_t fair_queue::ahead_of(std::uint32_t priority, bool late) const {
    std::size_t ahead = 0;
    for (const auto& [key, queues] : this->ranks) {
        if (rank(late, priority) < key) {
            break;
        }
        for (const workspace_queue& each : queues) {
            ahead += each.calls.size();
        }
    }
    return ahead;
}

void fair_queue::insert(rank key, waiting_call waiting) {
    auto owner = this->queue_of(key, waiting.call.workspace);
    call_id id = waiting.call.id;
    owner->calls.push_back(std::move(waiting));
    this->positions[id] = {key, owner, std::prev(owner->calls.end())};
    this->late_count += key.first ? 1 : 0;
}

fair_queue::round_robin::iterator fair_queue::queue_of(rank key, const std::string& workspace) {
    round_robin& queues = this->ranks[key];
    auto found = std::find_if(queues.begin(), queues.end(), [&](const workspace_queue& each) {
        return each.workspace == workspace;
    });
    if (found != queues.end()) {
        return found;
    }
    queues.push_back({.workspace = workspace, .calls = {}});
    return std::prev(queues.end());
}

fair_queue::round_robin::iterator fair_queue::longest_queue(round_robin& queues) {
    return std::max_element(queues.begin(), queues.end(),
                            [](const workspace_queue& a, const workspace_queue& b) {
                                return a.calls.size() < b.calls.size();
                            });
}

waiting_call fair_queue::extract(position at) {
    waiting_call extracted = std::move(*at.call);
    at.owner->calls.erase(at.call);
    this->positions.erase(extracted.call.id);
    this->late_count -= at.key.first ? 1 : 0;
    auto queues = this->ranks.find(at.key);
    if (at.owner->calls.empty()) {
        queues->second.erase(at.owner);
    }
    if (queues->second.empty()) {
        this->ranks.erase(queues);
    }
    return extracted;
}

}  // namespace trefoil::gate
