// Hides what could be the digest of a key, or a hexadecimal key, in text for operators.
//
// Example:
//
//     std::string shown = config::hide_hex_runs(text, config::digest_hex_digits);

#ifndef TREFOIL_CONFIG_REDACTION_H_
#define TREFOIL_CONFIG_REDACTION_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil::config {

// Length of a SHA-256 digest in hexadecimal.
inline constexpr std::size_t digest_hex_digits = 64;

// Shorter hexadecimal text is common in names; 128 bits and more are likely to be a secret.
inline constexpr std::size_t secret_hex_digits_min = 32;

// Replaces each run of at least `min_digits` hex digits by "<hidden>".
std::string hide_hex_runs(std::string_view text, std::size_t min_digits);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_REDACTION_H_
