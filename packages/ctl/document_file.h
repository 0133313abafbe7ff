// Reads documents from files.
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

// Stands for a file name where there is no overlay.
inline constexpr std::string_view no_file = "-";

struct unreadable_document {
    std::string path;
    std::string detail;  // Text of the system error.

    friend bool operator==(const unreadable_document&, const unreadable_document&) = default;
};

// The document is named after the file, so that failures show the file. `no_file` gives an empty
// document.
result<config::document, unreadable_document> read_document(const std::string& path);

// Reads both files and builds the snapshot.
result<config::snapshot, config::validation_failures, unreadable_document> read_snapshot(
    const std::string& base_path, const std::string& overlay_path);

// Returns the site that an overlay file is for: the file's name without directory and extension.
std::string site_of(const std::string& overlay_path);

std::string describe(const unreadable_document& failure);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_DOCUMENT_FILE_H_
