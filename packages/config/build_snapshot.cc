// Implements build_snapshot(): reads both documents, checks the overlay on its own, merges them and
// reads the sections.

#include "config/build_snapshot.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <tuple>
#include <utility>

#include "config/sections.h"

namespace trefoil::config {

namespace {

constexpr std::array<std::string_view, 4> fleet_wide_sections = {"version", "fleet", "workspaces",
                                                                 "keys"};

document_version version_of(const document& source) {
    return document_version{source.name, source.revision, source.checksum};
}

void require_map(const yaml_node& root, validation_failures& failures) {
    if (root.kind != yaml_kind::map) {
        location where{*root.document, root.line, ""};
        failures.emplace_back(
            wrong_type{std::move(where), "a map of sections", "a value of another type"});
    }
}

void check_fleet_wide_sections(const yaml_node& overlay, validation_failures& failures) {
    for (std::string_view name : fleet_wide_sections) {
        if (const yaml_node* section = overlay.find(name)) {
            failures.emplace_back(
                fleet_wide_section{location{*section->document, section->line, std::string(name)}});
        }
    }
}

// An overlay may change only failure domains that the base lists: otherwise a misspelt name would
// silently take no failure domain out of service.
void check_failure_domains(const yaml_node& base, const yaml_node& overlay,
                           validation_failures& failures) {
    const yaml_node* declared = base.find("failure_domains");
    const yaml_node* changed = overlay.find("failure_domains");
    if (changed == nullptr) {
        return;
    }
    for (const yaml_entry& entry : changed->entries) {
        bool known = declared != nullptr && declared->find(entry.key) != nullptr;
        bool removal = entry.value.kind == yaml_kind::remove;
        if (!known && !removal) {
            failures.emplace_back(unresolved_reference{
                location{*entry.value.document, entry.value.line,
                         child_path("failure_domains", entry.key)},
                "the name of a failure domain that the base document lists", ""});
        }
    }
}

// A key that two workspaces share would give its callers access to an arbitrary one of them.
validation_failure shared_key(const document& base, const std::string& first,
                              const std::string& second) {
    std::string path = child_path(child_path("workspaces", second), "key_digests");
    return conflicting_entries{
        location{base.name, 1, std::move(path)},
        fmt::format("digests that differ from those of the other keys of workspace \"{}\"", first)};
}

void sort_by_location(validation_failures& failures, const std::string& base_name) {
    auto position = [&base_name](const validation_failure& failure) {
        const location& at = where(failure);
        return std::make_tuple(at.document != base_name, at.line);
    };
    std::stable_sort(failures.begin(), failures.end(),
                     [&position](const validation_failure& left, const validation_failure& right) {
                         return position(left) < position(right);
                     });
}

// Sorts the failures and keeps the first `reported_failures_max`.
validation_failures sort_and_truncate(validation_failures failures, const std::string& base_name) {
    sort_by_location(failures, base_name);
    if (failures.size() > reported_failures_max) {
        failures.erase(failures.begin() + reported_failures_max, failures.end());
        failures.shrink_to_fit();
    }
    return failures;
}

// Returns the parsed tree. If parsing failed, appends its failures to `failures` and returns null.
yaml_node* extract_tree(result<yaml_node, validation_failures>& outcome,
                        validation_failures& failures) {
    if (auto* found = std::get_if<validation_failures>(&outcome)) {
        failures.insert(failures.end(), found->begin(), found->end());
        return nullptr;
    }
    auto* root = std::get_if<yaml_node>(&outcome);
    require_map(*root, failures);
    return root;
}

}  // namespace

result<snapshot, validation_failures> detail::build_from_trees(
    const document& base, const document& overlay,
    result<yaml_node, validation_failures> base_outcome,
    result<yaml_node, validation_failures> overlay_outcome, std::vector<route> reused) {
    validation_failures failures;
    yaml_node* base_tree = extract_tree(base_outcome, failures);
    yaml_node* overlay_tree = extract_tree(overlay_outcome, failures);
    if (!failures.empty()) {
        return sort_and_truncate(std::move(failures), base.name);
    }
    check_fleet_wide_sections(*overlay_tree, failures);
    check_failure_domains(*base_tree, *overlay_tree, failures);
    yaml_node merged = merge(std::move(*base_tree), std::move(*overlay_tree));
    snapshot_contents contents = detail::read_sections(merged, std::move(reused), failures);
    if (!failures.empty()) {
        return sort_and_truncate(std::move(failures), base.name);
    }
    contents.base = version_of(base);
    contents.overlay = version_of(overlay);
    snapshot built(std::move(contents));
    if (auto duplicate = built.find_duplicate_key()) {
        return validation_failures{shared_key(base, duplicate->first, duplicate->second)};
    }
    return built;
}

result<snapshot, validation_failures> build_snapshot(const document& base,
                                                     const document& overlay) {
    return detail::build_from_trees(base, overlay, read_yaml(base, {.allow_remove = false}),
                                    read_yaml(overlay, {.allow_remove = true}), {});
}

}  // namespace trefoil::config
