// Implements the functions for protocol text.

#include "base/text.h"

#include <simdjson.h>

#include <algorithm>

namespace trefoil {

namespace {

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_control(unsigned char c) {
    return c < ' ' || c == 0x7f;
}

}  // namespace

std::string lower_case(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lower);
    return result;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

bool starts_with_ignoring_case(std::string_view text, std::string_view prefix) {
    return text.size() >= prefix.size() &&
           equal_ignoring_case(text.substr(0, prefix.size()), prefix);
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t\r\n";
    std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_printable_utf8(std::string_view text) {
    return std::none_of(text.begin(), text.end(), is_control) &&
           simdjson::validate_utf8(text.data(), text.size());
}

}  // namespace trefoil
