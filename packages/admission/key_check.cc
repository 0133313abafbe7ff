// Implements the reading of workspace keys.

#include "admission/key_check.h"

#include "base/hash.h"

namespace trefoil::admission {

namespace {

constexpr std::string_view scheme = "bearer ";

char lower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool has_scheme(std::string_view value) {
    if (value.size() < scheme.size()) {
        return false;
    }
    for (std::size_t i = 0; i < scheme.size(); ++i) {
        if (lower(value[i]) != scheme[i]) {
            return false;
        }
    }
    return true;
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    std::size_t last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

}  // namespace

std::optional<std::string> bearer_key_digest(std::string_view authorization) {
    std::string_view value = trim(authorization);
    if (!has_scheme(value)) {
        return std::nullopt;
    }
    std::string_view key = trim(value.substr(scheme.size()));
    if (key.empty()) {
        return std::nullopt;
    }
    return sha256_hex(key);
}

}  // namespace trefoil::admission
