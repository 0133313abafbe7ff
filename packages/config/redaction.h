// Removes text that could be a hexadecimal API key or the digest of one from output for operators.
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

// Length of a SHA-256 digest in hexadecimal digits.
inline constexpr std::size_t digest_hex_digits = 64;

// 32 digits are 128 bits, which are likely to be a secret; shorter hexadecimal text is common in
// names.
inline constexpr std::size_t secret_hex_digits_min = 32;

// Replaces each run of at least `min_digits` hex digits by "<hidden>".
std::string hide_hex_runs(std::string_view text, std::size_t min_digits);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_REDACTION_H_
