// Waiting calls, queued per workspace and served round robin. When the queue is full, a call of a
// workspace with few waiting calls displaces the newest call of the workspace with the most, so
// that one workspace far above its rate does not use up the room of the others.
//
// Example:
//
//     gate::fair_queue queue(64);
//     auto pushed = queue.push({.call = call, .expires = call.deadline});
//     std::optional<gate::waiting_call> next = queue.pop();

#ifndef TREFOIL_GATE_FAIR_QUEUE_H_
#define TREFOIL_GATE_FAIR_QUEUE_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "gate/gate_types.h"

namespace trefoil::gate {

struct waiting_call {
    offered_call call;
    mono_time expires;  // Removed by expire() from this time on; at most the call's deadline.

    friend bool operator==(const waiting_call&, const waiting_call&) = default;
};

// The call was added. `displaced` was removed to make room.
struct queue_added {
    std::optional<waiting_call> displaced;
};

// The queue is full and the call's workspace already uses its share of it.
struct queue_full {};

// Not synchronised; the owner holds a lock. Ids are unique: pushing a waiting id again is an error
// of the caller, which the duplicate filter prevents.
class fair_queue {
public:
    explicit fair_queue(std::size_t room) : capacity(room) {}

    std::variant<queue_added, queue_full> push(waiting_call waiting);

    // Removes and returns the next call, round robin over workspaces, first in first out within
    // one. Call expire() before it.
    std::optional<waiting_call> pop();

    // Removes one call, wherever it waits.
    std::optional<waiting_call> remove(const call_id& id);

    // Removes and returns the calls that expire at or before `now`.
    std::vector<waiting_call> expire(mono_time now);

    // Removes and returns all calls.
    std::vector<waiting_call> clear();

    // The earliest expiry of a waiting call.
    std::optional<mono_time> next_expiry() const;

    std::size_t size() const { return this->positions.size(); }
    bool empty() const { return this->positions.empty(); }

    // Calls that already wait are kept.
    void set_capacity(std::size_t next) { this->capacity = next; }

private:
    struct lane {
        std::string workspace;
        std::list<waiting_call> calls;  // Never empty between two operations.
    };
    using lane_position = std::list<lane>::iterator;
    struct position {
        lane_position owner;
        std::list<waiting_call>::iterator call;
    };

    lane_position lane_of(const std::string& workspace);
    lane_position longest_lane();
    std::size_t waiting_calls(const std::string& workspace) const;
    waiting_call take(position where);

    std::size_t capacity;      // Waiting calls, all workspaces together.
    std::list<lane> rotation;  // Front: the workspace that is served next.
    absl::flat_hash_map<std::string, lane_position> lanes;  // One entry per lane in `rotation`.
    absl::flat_hash_map<call_id, position> positions;       // One entry per waiting call.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_FAIR_QUEUE_H_
