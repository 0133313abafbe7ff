// Implements reading of configuration documents from files.

#include "ctl/document_file.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "config/build_snapshot.h"

namespace trefoil::ctl {

result<config::document, unreadable_document> read_document(const std::string& path) {
    if (path == no_overlay) {
        return config::make_document(path, 0, "");
    }
    std::error_code ignored;
    if (std::filesystem::is_directory(path, ignored)) {
        return unreadable_document{path, std::strerror(EISDIR)};
    }
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (file.is_open()) {
        content << file.rdbuf();
    }
    if (!file.is_open() || file.bad()) {
        return unreadable_document{path, std::strerror(errno)};
    }
    return config::make_document(path, 0, content.str());
}

result<config::snapshot, config::validation_failures, unreadable_document> read_snapshot(
    const std::string& base_path, const std::string& overlay_path) {
    auto base = read_document(base_path);
    if (auto* failure = std::get_if<unreadable_document>(&base)) {
        return std::move(*failure);
    }
    auto overlay = read_document(overlay_path);
    if (auto* failure = std::get_if<unreadable_document>(&overlay)) {
        return std::move(*failure);
    }
    auto outcome = config::build_snapshot(std::get<config::document>(base),
                                          std::get<config::document>(overlay));
    if (auto* failures = std::get_if<config::validation_failures>(&outcome)) {
        return std::move(*failures);
    }
    return std::move(std::get<config::snapshot>(outcome));
}

std::string site_from_path(const std::string& overlay_path) {
    return std::filesystem::path(overlay_path).stem().string();
}

std::string describe(const unreadable_document& failure) {
    return fmt::format("cannot read {}: {}", failure.path, failure.detail);
}

}  // namespace trefoil::ctl
