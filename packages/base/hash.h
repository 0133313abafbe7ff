// Hash functions: checksums of documents, digests of API keys, message authentication codes that
// prove fleet membership, and rendezvous hashing.
//
// Example:
//
//     auto owner = trefoil::rendezvous_highest("workspace/north", instance_names);

#ifndef TREFOIL_BASE_HASH_H_
#define TREFOIL_BASE_HASH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

// Returns the XXH3 checksum of `data`, for detecting corruption and for distributing keys. It does
// not protect against forgery.
std::uint64_t checksum64(std::string_view data);

constexpr std::size_t sha256_bytes = 32;
using sha256_digest = std::array<std::uint8_t, sha256_bytes>;

sha256_digest sha256(std::string_view data);

// Returns the SHA-256 digest of `data` as 64 lower-case hex digits.
std::string sha256_hex(std::string_view data);

// Returns the digest that sha256_hex() returned as `hex`, or nothing if it is not one.
std::optional<sha256_digest> parse_sha256_hex(std::string_view hex);

// Returns the HMAC-SHA256 of `data` under `secret` as 64 lower-case hex digits.
std::string hmac_sha256_hex(std::string_view secret, std::string_view data);

// Compares two strings in time that depends only on their lengths.
bool equal_constant_time(std::string_view left, std::string_view right);

// Returns two lower-case hex digits for each byte.
std::string to_hex(std::string_view bytes);

// Returns the rendezvous (highest random weight) score of `member` for `key`. The member with the
// highest score owns the key, so the removal of any other member does not change the owner.
std::uint64_t rendezvous_score(std::string_view key, std::string_view member);

// Returns the member with the highest score, or nullopt when `members` is empty. Of two members
// with equal scores the lexicographically smaller one is returned.
std::optional<std::string> rendezvous_highest(std::string_view key,
                                              const std::vector<std::string>& members);

}  // namespace trefoil

#endif  // TREFOIL_BASE_HASH_H_
