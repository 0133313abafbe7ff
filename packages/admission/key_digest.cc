// Implements the digest of workspace keys.

#include "admission/key_digest.h"

#include "base/hash.h"
#include "base/text.h"

namespace trefoil::admission {

namespace {

constexpr std::string_view blanks = " \t";

}  // namespace

std::optional<std::string> key_digest(std::string_view scheme, std::string_view authorization) {
    std::string_view value = trim(authorization);
    std::size_t end = value.find_first_of(blanks);
    if (end == std::string_view::npos || !equal_ignoring_case(value.substr(0, end), scheme)) {
        return std::nullopt;
    }
    return sha256_hex(trim(value.substr(end)));
}

}  // namespace trefoil::admission
