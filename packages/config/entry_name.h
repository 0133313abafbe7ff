// Names of the entries of a document: services, routes, workspaces, failure domains and instances.
// They are sent in header fields and shown in logs and metrics.
//
// Example:
//
//     if (!config::is_entry_name(name)) { ... }
//     std::string usable = config::to_entry_name("a\nb");  // "a_b-" and a hash of the text

#ifndef TREFOIL_CONFIG_ENTRY_NAME_H_
#define TREFOIL_CONFIG_ENTRY_NAME_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil::config {

inline constexpr std::size_t entry_name_bytes_max = 1'024;
inline constexpr std::string_view expected_entry_name =
    "a name of 1 to 1024 bytes without control characters and without spaces at its ends";

// Whether `text` is a valid name: 1 to `entry_name_bytes_max` bytes of UTF-8 without control
// characters and without a space at either end, which receivers of a header field remove.
bool is_entry_name(std::string_view text);

// Returns `text` if it is a valid name, and otherwise a valid name that contains its usable part
// and a hash, so that different texts have different names.
std::string to_entry_name(std::string_view text);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ENTRY_NAME_H_
