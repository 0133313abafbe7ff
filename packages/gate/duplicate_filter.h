// Records which calls were seen, so that no call runs twice. Memory is bounded: the oldest
// sequences are evicted first, and from then on every unrecorded sequence of that ingress at or
// below an evicted one is refused, because it may have been seen.
//
// Example:
//
//     gate::duplicate_filter filter({});
//     if (filter.admit(id) != gate::duplicate_verdict::fresh) { ... refuse as unknown ... }

#ifndef TREFOIL_GATE_DUPLICATE_FILTER_H_
#define TREFOIL_GATE_DUPLICATE_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "gate/gate_types.h"

namespace trefoil::gate {

enum class duplicate_verdict : std::uint8_t {
    fresh,              // Certainly not seen before; now recorded.
    seen,               // Seen before.
    below_floor,        // May have been seen: the sequence is not above every evicted one.
    older_incarnation,  // May have been seen: calls of an incarnation are dropped as soon as a
                        // newer one is seen.
    evicted_ingress,    // May have been seen: the ingress may be one that was evicted.
};

struct duplicate_filter_options {
    // Recorded calls, all ingresses together: 8 minutes at the design load of 130 calls per second
    // per egress.
    std::size_t sequences = 65'536;
    // Recorded ingresses: the 1,400 instances of the design size and those replaced in 20 days.
    std::size_t ingresses = 8'192;
};

// Not synchronised; the owner holds a lock.
class duplicate_filter {
public:
    explicit duplicate_filter(duplicate_filter_options initial) : options(initial) {}

    // Records the call and returns whether it is certainly new. The record stays when the call is
    // refused afterwards; without it a copy that arrives later could run, which would make the
    // reported outcome "not run" false.
    duplicate_verdict admit(const call_id& id);

    std::size_t recorded_sequences() const { return this->arrivals.size(); }
    std::size_t recorded_ingresses() const { return this->ingresses.size(); }

private:
    struct ingress {
        std::uint64_t incarnation = 0;  // Newest seen; only grows.
        std::uint64_t floor = 0;        // Sequences below it may have been evicted; only grows.
        absl::flat_hash_set<std::uint64_t> seen;  // Some of them may be below the floor.
        std::list<std::string>::iterator recency;
    };

    ingress& touch(const call_id& id);
    void evict_oldest_sequence();
    void evict_oldest_ingress();

    duplicate_filter_options options;
    absl::flat_hash_map<std::string, ingress> ingresses;
    std::list<std::string> recency;  // Ingresses; front: the least recently used.
    std::deque<call_id> arrivals;    // Recorded calls in order of arrival.
    // Newest incarnation among the evicted ingresses: an unknown ingress that started later cannot
    // be one of them.
    std::uint64_t evicted_incarnation = 0;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_DUPLICATE_FILTER_H_
