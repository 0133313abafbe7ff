// Functions for protocol text: case-insensitive comparison, case conversion, trimming and validity.
//
// Example:
//
//     bool is_host = trefoil::equal_ignoring_case(name, "host");

#ifndef TREFOIL_BASE_TEXT_H_
#define TREFOIL_BASE_TEXT_H_

#include <string>
#include <string_view>

namespace trefoil {

// Converts ASCII letters to lower case and leaves all other bytes unchanged.
std::string lower_case(std::string_view text);

// Whether the strings are equal when the case of ASCII letters is ignored.
bool equal_ignoring_case(std::string_view left, std::string_view right);

// Whether `text` starts with `prefix` when the case of ASCII letters is ignored.
bool starts_with_ignoring_case(std::string_view text, std::string_view prefix);

// Removes spaces, tabs, carriage returns and line feeds at both ends.
std::string_view trim(std::string_view text);

// Whether `text` is valid UTF-8 without ASCII control characters.
bool is_printable_utf8(std::string_view text);

}  // namespace trefoil

#endif  // TREFOIL_BASE_TEXT_H_
