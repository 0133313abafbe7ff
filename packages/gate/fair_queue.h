// Priority queue of calls that wait for a slot. Calls of the same rank are queued per workspace and
// the workspaces are served round robin, so that a workspace with many requests does not delay the
// next call of another. A full queue displaces the newest call of the workspace with the most
// waiting calls in the least urgent rank.
//
// The rank of a call is whether it is late, then its priority. A call is in time until its latest
// start and late after it.
//
// Example:
//
//     gate::fair_queue queue(64);
//     auto pushed = queue.push({.call = call, .expires = now + max_wait});
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
    explicit fair_queue(std::size_t initial_capacity) : capacity(initial_capacity) {}

    // `late`: the call ranks after all calls in time.
    std::variant<queue_added, queue_full> push(waiting_call waiting, bool late = false);

    // Removes and returns the next call: the most urgent rank first, then round robin over the
    // workspaces, then first in, first out. Calls that have become late at `now` rank after all
    // calls in time, with one exception: a late call precedes calls in time of the same or a less
    // urgent priority if it expires before they have to start. To be called after expire().
    std::optional<waiting_call> pop(mono_time now);

    std::optional<waiting_call> remove(const call_id& id);

    // Removes and returns the calls that expire at or before `now`.
    std::vector<waiting_call> expire(mono_time now);

    // Removes and returns all calls.
    std::vector<waiting_call> clear();

    std::optional<mono_time> next_expiry() const;

    // Number of calls of the same or a more urgent rank, which start before a call that is added
    // now.
    std::size_t ahead_of(std::uint32_t priority, bool late) const;

    // Number of waiting calls in late ranks.
    std::size_t late_size() const { return this->late_count; }

    std::size_t size() const { return this->positions.size(); }
    bool empty() const { return this->positions.empty(); }

    // Calls that already wait are kept, even beyond a smaller capacity.
    void set_capacity(std::size_t next) { this->capacity = next; }

private:
    // Whether the call is late, then its priority. Lower ranks start first.
    using rank = std::pair<bool, std::uint32_t>;
    struct workspace_queue {
        std::string workspace;
        std::list<waiting_call> calls;  // Never empty between two operations.
    };
    using round_robin = std::list<workspace_queue>;  // Front: served next. Never empty.
    struct position {
        rank key;
        round_robin::iterator owner;
        std::list<waiting_call>::iterator call;
    };

    std::map<rank, round_robin>::iterator next_rank();  // The queue must not be empty.
    static const waiting_call& next_call(const round_robin& queues);
    void insert(rank key, waiting_call waiting);
    round_robin::iterator queue_of(rank key, const std::string& workspace);
    static round_robin::iterator longest_queue(round_robin& queues);
    std::optional<waiting_call> displace_for(const waiting_call& incoming, rank own_rank);
    waiting_call extract(position at);

    std::size_t capacity;  // Waiting calls, all workspaces together.
    std::map<rank, round_robin> ranks;
    absl::flat_hash_map<call_id, position> positions;  // One entry per waiting call.
    std::size_t late_count = 0;                        // Waiting calls in late ranks.
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_FAIR_QUEUE_H_
