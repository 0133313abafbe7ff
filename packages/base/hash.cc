// Implements the hash functions with xxHash and OpenSSL's libcrypto.

#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

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

sha256_digest sha256(std::string_view data) {
    // Fetching the algorithm and allocating a context cost more than hashing a short text.
    static EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    thread_local const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
        EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    sha256_digest digest{};
    EVP_DigestInit_ex2(context.get(), algorithm, nullptr);
    EVP_DigestUpdate(context.get(), data.data(), data.size());
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return digest;
}

std::string sha256_hex(std::string_view data) {
    sha256_digest digest = sha256(data);
    return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

std::optional<sha256_digest> parse_sha256_hex(std::string_view hex) {
    constexpr int base = 16;
    sha256_digest digest{};
    bool plain = hex.size() == 2 * digest.size() && std::all_of(hex.begin(), hex.end(), [](char c) {
                     return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
                 });
    if (!plain) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const char* digits = hex.data() + 2 * i;
        std::from_chars(digits, digits + 2, digest[i], base);
    }
    return digest;
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
