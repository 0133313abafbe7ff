// Standard base64 (RFC 4648) with padding.
//
// Example:
//
//     std::string text = trefoil::encode_base64(bytes);
//     std::optional<std::string> bytes = trefoil::decode_base64(text);

#ifndef TREFOIL_BASE_BASE64_H_
#define TREFOIL_BASE_BASE64_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

std::string encode_base64(std::string_view bytes);

// Returns nothing for invalid input.
std::optional<std::string> decode_base64(std::string_view text);

// Returns the length of the encoding of `bytes` bytes.
constexpr std::size_t base64_size(std::size_t bytes) {
    constexpr std::size_t group_bytes = 3;
    constexpr std::size_t group_characters = 4;
    return (bytes + group_bytes - 1) / group_bytes * group_characters;
}

}  // namespace trefoil

#endif  // TREFOIL_BASE_BASE64_H_
