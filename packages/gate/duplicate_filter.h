// Remembers which calls were seen, so that no call runs twice. Memory is bounded: the oldest
// sequences are forgotten first, and everything at or below a forgotten sequence of the same
// ingress is refused from then on.
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
    below_floor,        // Too old to know whether it was seen.
    older_incarnation,  // A newer start of the ingress was seen, so its predecessor's calls are
                        // forgotten.
    forgotten_ingress,  // The ingress may be one whose calls were forgotten.
};

struct duplicate_filter_options {
    // At the design size of 130 calls a second per egress, 65,536 sequences are 8 minutes.
    std::size_t sequences = 65'536;
    // Room for the 1,400 instances of the design size and 20 days of replaced ones.
    std::size_t ingresses = 8'192;
};

// Not synchronised; the owner holds a lock.
class duplicate_filter {
public:
    explicit duplicate_filter(duplicate_filter_options initial) : options(initial) {}

    // Records the call and says whether it is certainly new. The record stays when the call is then
    // refused, because a copy that arrived later would make a refusal as "not run" untrue.
    duplicate_verdict admit(const call_id& id);

    std::size_t remembered_sequences() const { return this->arrivals.size(); }
    std::size_t remembered_ingresses() const { return this->ingresses.size(); }

private:
    struct ingress {
        std::uint64_t incarnation = 0;  // Newest seen; only grows.
        std::uint64_t floor = 0;        // Sequences below it may be forgotten; only grows.
        absl::flat_hash_set<std::uint64_t> seen;  // May hold sequences below the floor.
        std::list<std::string>::iterator recency;
    };

    ingress& touch(const call_id& id);
    void forget_oldest_sequence();
    void forget_oldest_ingress();

    duplicate_filter_options options;
    absl::flat_hash_map<std::string, ingress> ingresses;
    std::list<std::string> recency;  // Ingresses; front: the least recently used.
    std::deque<call_id> arrivals;    // Recorded calls in order of arrival.
    // Newest incarnation of the ingresses that were forgotten: an unknown ingress that started
    // later cannot be one of them.
    std::uint64_t forgotten_incarnation = 0;
};

}  // namespace trefoil::gate

#endif  // TREFOIL_GATE_DUPLICATE_FILTER_H_
