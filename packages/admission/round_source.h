// Generates round numbers: identifiers of requests that the peer echoes in its answer, and of
// loans. The first number is random for each process, so that an answer to the previous process on
// the same instance matches no open request.
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
