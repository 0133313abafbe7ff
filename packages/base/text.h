// Helpers for protocol text, which is ASCII: comparisons that ignore case, and trimming.
//
// Example:
//
//     bool is_host = trefoil::equal_ignoring_case(name, "host");

#ifndef TREFOIL_BASE_TEXT_H_
#define TREFOIL_BASE_TEXT_H_

#include <string>
#include <string_view>

namespace trefoil {

// Letters outside of ASCII stay as they are.
std::string lower_case(std::string_view text);

bool equal_ignoring_case(std::string_view left, std::string_view right);

// Whether `text` starts with `prefix`, whatever the case of either.
bool starts_with_ignoring_case(std::string_view text, std::string_view prefix);

// Removes spaces, tabs and line ends at both ends.
std::string_view trim(std::string_view text);

}  // namespace trefoil

#endif  // TREFOIL_BASE_TEXT_H_
