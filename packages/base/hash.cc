// Implements the hash functions with xxHash and OpenSSL's libcrypto.

#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>

namespace trefoil {

std::uint64_t checksum64(std::string_view data) {
    return XXH3_64bits(data.data(), data.size());
}

std::string to_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (char byte : bytes) {
        auto value = static_cast<unsigned char>(byte);
        hex.push_back(digits[value >> 4U]);
        hex.push_back(digits[value & 0x0fU]);
    }
    return hex;
}

std::string sha256_hex(std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex({reinterpret_cast<const char*>(digest.data()), size});
}

std::string hmac_sha256_hex(std::string_view secret, std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data(), &size);
    return to_hex({reinterpret_cast<const char*>(digest.data()), size});
}

bool equal_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view member) {
    return XXH3_64bits_withSeed(member.data(), member.size(), checksum64(key));
}

std::optional<std::string> rendezvous_highest(std::string_view key,
                                              const std::vector<std::string>& members) {
    const std::string* best = nullptr;
    std::uint64_t best_score = 0;
    for (const std::string& member : members) {
        std::uint64_t score = rendezvous_score(key, member);
        bool better =
            best == nullptr || score > best_score || (score == best_score && member < *best);
        if (better) {
            best = &member;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<std::string>(*best);
}

}  // namespace trefoil
