// Implements the checks and the conversion of names.

#include "config/entry_name.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"

namespace trefoil::config {

namespace {

// Bytes of the original text in a converted name.
constexpr std::size_t kept_bytes_max = 64;

bool is_printable_ascii(char c) {
    return c >= ' ' && c < 0x7f;
}

}  // namespace

bool is_entry_name(std::string_view text) {
    return !text.empty() && text.size() <= entry_name_bytes_max && text.front() != ' ' &&
           text.back() != ' ' && is_printable_utf8(text);
}

std::string to_entry_name(std::string_view text) {
    if (is_entry_name(text)) {
        return std::string(text);
    }
    std::string kept(trim(text).substr(0, kept_bytes_max));
    std::replace_if(
        kept.begin(), kept.end(), [](char c) { return !is_printable_ascii(c); }, '_');
    return fmt::format("{}-{:016x}", kept, checksum64(text));
}

}  // namespace trefoil::config
