// A configuration document as the platform publishes it: name, revision, checksum and body.
//
// Example:
//
//     config::document base = config::make_document(config::base_document_name, 7, body);
//     if (!config::is_intact(received)) { ... }

#ifndef TREFOIL_CONFIG_DOCUMENT_H_
#define TREFOIL_CONFIG_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil::config {

inline constexpr std::string_view base_document_name = "base";

// The platform stores nothing larger.
inline constexpr std::size_t document_bytes_max = 1U << 20U;

struct document {
    std::string name{};  // Also names the document in validation failures.
    std::uint64_t revision =
        0;  // Given by the platform; 0 only for an overlay that does not exist.
    std::uint64_t checksum = 0;  // XXH3 of `body`.
    std::string body{};          // YAML.

    friend bool operator==(const document&, const document&) = default;
};

// Returns a document with the checksum of `body`.
document make_document(std::string_view name, std::uint64_t revision, std::string body);

// Returns the name of the overlay of `site`: "site/<site>".
std::string overlay_document_name(std::string_view site);

// Returns the overlay that stands for a missing one: revision 0 and an empty body.
document empty_overlay(std::string_view site);

// Whether the checksum fits the body.
bool is_intact(const document& candidate);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_DOCUMENT_H_
