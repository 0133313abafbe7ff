// Implements the construction and the integrity check of documents.

#include "config/document.h"

#include <utility>

#include "base/hash.h"

namespace trefoil::config {

document make_document(std::string_view name, std::uint64_t revision, std::string body) {
    std::uint64_t checksum = checksum64(body);
    return document{.name = std::string(name),
                    .revision = revision,
                    .checksum = checksum,
                    .body = std::move(body)};
}

std::string overlay_document_name(std::string_view site) {
    return "site/" + std::string(site);
}

document empty_overlay(std::string_view site) {
    return make_document(overlay_document_name(site), 0, "");
}

bool is_intact(const document& candidate) {
    return checksum64(candidate.body) == candidate.checksum;
}

}  // namespace trefoil::config
