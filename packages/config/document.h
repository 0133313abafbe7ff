// A configuration document as published by the platform: name, revision, checksum and body. The
// base document applies to the whole fleet; each site may have one overlay that changes it.
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

// Default of the maximum size of a document.
inline constexpr std::size_t document_bytes_max = 1U << 20U;

struct document {
    std::string name{};  // Also names the document in validation failures.
    // Assigned by the platform; 0 only for a missing overlay.
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;  // XXH3 of `body`.
    std::string body{};          // YAML.

    friend bool operator==(const document&, const document&) = default;
};

// Returns a document with the checksum of `body`.
document make_document(std::string_view name, std::uint64_t revision, std::string body);

// Returns the name of the overlay of `site`: "site/<site>".
std::string overlay_document_name(std::string_view site);

// Returns the document that represents a missing overlay: revision 0 and an empty body.
document empty_overlay(std::string_view site);

// Whether the checksum matches the body.
bool is_intact(const document& candidate);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_DOCUMENT_H_
