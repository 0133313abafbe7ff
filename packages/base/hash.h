// Hashes: checksums of documents, digests of keys, proofs of fleet membership, and rendezvous
// hashing.
//
// Example:
//
//     auto home = trefoil::rendezvous_highest("workspace/north", instance_names);

#ifndef TREFOIL_BASE_HASH_H_
#define TREFOIL_BASE_HASH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

// XXH3 checksum, for detecting damage and for spreading; not a protection against forgery.
std::uint64_t checksum64(std::string_view data);

// SHA-256 of `data` as 64 lower-case hex digits.
std::string sha256_hex(std::string_view data);

// HMAC-SHA256 of `data` under `secret` as 64 lower-case hex digits.
std::string hmac_sha256_hex(std::string_view secret, std::string_view data);

// Compares two strings in time that depends only on their lengths.
bool equal_constant_time(std::string_view left, std::string_view right);

std::string to_hex(std::string_view bytes);

// Rendezvous (highest random weight) score of `member` for `key`. The member with the highest score
// owns the key; removing another member never changes the owner.
std::uint64_t rendezvous_score(std::string_view key, std::string_view member);

// The member with the highest score, or nothing when `members` is empty.
std::optional<std::string> rendezvous_highest(std::string_view key,
                                              const std::vector<std::string>& members);

}  // namespace trefoil

#endif  // TREFOIL_BASE_HASH_H_
