// Calls that wait for a slot: by rank, and within a rank one list per workspace, served in turn.
// One workspace with many requests cannot delay the others' next call, and when the queue is full
// the newest call of the least urgent rank and of the workspace with the most waiting calls gives
// way.
//
// Example:
//
//     gate::fair_queue queue(64);
//     auto pushed = queue.push({.call = call, .expires = now + patience});
//     while (auto next = queue.pop(now)) { ... }

#ifndef TREFOIL_GATE_FAIR_QUEUE_H_
#define TREFOIL_GATE_FAIR_QUEUE_H_

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
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

    // `late`: the call comes after all that are not.
    std::variant<queue_added, queue_full> push(waiting_call waiting, bool late = false);

    // Removes and returns the next call: the most urgent rank first, round robin over workspaces,
    // first in first out within one. Calls whose latest useful start has passed at `now` come after
    // all others, except that one which is about to expire goes before calls in time of no more
    // urgent priority that can wait for longer. Call expire() before it.
    std::optional<waiting_call> pop(mono_time now);

    // Removes one call, wherever it waits.
    std::optional<waiting_call> remove(const call_id& id);

    // Removes and returns the calls that expire at or before `now`.
    std::vector<waiting_call> expire(mono_time now);

    // Removes and returns all calls.
    std::vector<waiting_call> clear();

    // The earliest expiry of a waiting call.
    std::optional<mono_time> next_expiry() const;

    // Calls that pop() would return before a call of this priority that comes now and is not late.
    std::size_t ahead_of(std::uint32_t priority, bool late) const;

    // Waiting calls that come after all others because they are late.
    std::size_t late_size() const { return this->late_calls; }

    std::size_t size() const { return this->positions.size(); }
    bool empty() const { return this->positions.empty(); }

    // Calls that already wait are kept.
    void set_capacity(std::size_t next) { this->capacity = next; }

private:
    // Whether late, and the priority.
    using rank = std::pair<bool, std::uint32_t>;
    struct lane {
        std::string workspace;
        std::list<waiting_call> calls;  // Never empty between two operations.
    };
    using rotation = std::list<lane>;  // Front: the workspace that is served next. Never empty.
    struct position {
        rank where;
        rotation::iterator owner;
        std::list<waiting_call>::iterator call;
    };

    std::map<rank, rotation>::iterator next_rank();  // Not to be called while empty.
    static const waiting_call& next_call(const rotation& lanes);
    void insert(rank where, waiting_call waiting);
    rotation::iterator lane_of(rank where, const std::string& workspace);
    static rotation::iterator longest_lane(rotation& lanes);
    std::optional<waiting_call> make_room(const waiting_call& coming, rank own_rank);
    waiting_call take(position where);

    std::size_t capacity;  // Waiting calls, all workspaces together.
    std::map<rank, rotation> ranks;
    absl::flat_hash_map<call_id, position> positions;  // One entry per waiting call.
    std::size_t late_calls = 0;                        // Of them in late ranks.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_FAIR_QUEUE_H_
