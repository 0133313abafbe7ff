// Implements the random number generators.

#include "base/random.h"

#include <openssl/rand.h>

#include <cstdlib>
#include <vector>

#include "base/hash.h"

namespace trefoil {

std::uint64_t random_source::below(std::uint64_t bound) {
    if (bound == 0) {
        return 0;
    }
    return this->next() % bound;
}

double random_source::uniform() {
    constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53, the spacing of doubles below 1
    return static_cast<double>(this->next() >> 11U) * scale;
}

std::uint64_t entropy_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string secure_random_hex(std::size_t bytes) {
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        std::abort();
    }
    return to_hex({reinterpret_cast<const char*>(buffer.data()), buffer.size()});
}

}  // namespace trefoil
