// Random numbers. Decision code takes a random_source, so that a test with a fixed seed gets
// reproducible decisions.
//
// Example:
//
//     trefoil::seeded_random random(42);
//     std::size_t index = random.below(candidates.size());

#ifndef TREFOIL_BASE_RANDOM_H_
#define TREFOIL_BASE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace trefoil {

// A stream of random numbers. Implementations are not safe for concurrent use; each thread or shard
// has its own.
class random_source {
public:
    virtual ~random_source() = default;

    // Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    // Returns a number in [0, bound), or 0 when `bound` is 0.
    std::uint64_t below(std::uint64_t bound);

    // Returns a uniformly distributed number in [0, 1).
    double uniform();
};

// A pseudo-random generator (mt19937_64); equal seeds give equal sequences.
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : engine(seed) {}
    std::uint64_t next() override { return this->engine(); }

private:
    std::mt19937_64 engine;
};

// Returns a 64-bit seed from the operating system's random number generator.
std::uint64_t entropy_seed();

// Returns `bytes` random bytes from a cryptographically secure generator as lower-case hex digits,
// for values that must not be guessable. Aborts the process when the generator fails, because a
// guessable context handle (see admission/context_table.h) would let one workspace act for another.
std::string secure_random_hex(std::size_t bytes);

}  // namespace trefoil

#endif  // TREFOIL_BASE_RANDOM_H_
