// Reads configuration documents from files.
//
// Example:
//
//     auto base = ctl::read_document("base.yaml");
//     if (auto* failure = std::get_if<ctl::unreadable_document>(&base)) { ... }

#ifndef TREFOIL_CTL_DOCUMENT_FILE_H_
#define TREFOIL_CTL_DOCUMENT_FILE_H_

#include <string>

#include "base/result.h"
#include "config/document.h"
#include "config/snapshot.h"
#include "config/validation_failure.h"

namespace trefoil::ctl {

// Placeholder on the command line for an overlay that does not exist.
inline constexpr std::string_view no_overlay = "-";

struct unreadable_document {
    std::string path;
    std::string detail;  // Message of the system error.

    friend bool operator==(const unreadable_document&, const unreadable_document&) = default;
};

// Reads a file into a document. The document is named after the file, so that validation failures
// name the file. For `no_overlay` the document is empty.
result<config::document, unreadable_document> read_document(const std::string& path);

// Reads both files and builds the snapshot.
result<config::snapshot, config::validation_failures, unreadable_document> read_snapshot(
    const std::string& base_path, const std::string& overlay_path);

// Returns the site of an overlay file: the file name without directory and extension.
std::string site_from_path(const std::string& overlay_path);

std::string describe(const unreadable_document& failure);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_DOCUMENT_FILE_H_
