// Numbers for requests, loans and other things that a peer echoes. A process starts at a random
// number, so that an answer to a former process in its place matches no open request.
//
// Example:
//
//     admission::round_source rounds(incarnation);
//     std::uint64_t round = rounds.next();

#ifndef TREFOIL_ADMISSION_ROUND_SOURCE_H_
#define TREFOIL_ADMISSION_ROUND_SOURCE_H_

#include <atomic>
#include <cstdint>

#include "base/random.h"

namespace trefoil::admission {

// Safe for concurrent use.
class round_source {
public:
    explicit round_source(std::uint64_t incarnation) : value(seeded_random(incarnation).next()) {}

    std::uint64_t next() { return this->value.fetch_add(1, std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_ROUND_SOURCE_H_
