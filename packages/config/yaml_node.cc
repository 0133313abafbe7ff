// Implements look-up and merge of YAML trees, and the paths that are shown in failures.

#include "config/yaml_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "config/redaction.h"

namespace trefoil::config {

namespace {

constexpr std::size_t name_length_max = 64;

bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool may_be_shown(std::string_view parent, std::string_view key) {
    if (parent == "keys") {
        return is_key_id(key);
    }
    if (parent.substr(0, 5) == "keys.") {
        return key == "workspace" || key == "sha256";
    }
    // A misplaced quotation mark can turn lines with API keys into the name of a field.
    return is_name(key);
}

// Removes the `!remove` nodes from a value of the overlay that is not merged into a map of the
// base.
void drop_removals(yaml_node& tree) {
    std::erase_if(tree.entries,
                  [](const yaml_entry& entry) { return entry.value.kind == yaml_kind::remove; });
    for (yaml_entry& entry : tree.entries) {
        drop_removals(entry.value);
    }
}

void merge_maps(yaml_node& base, yaml_node& overlay) {
    std::unordered_map<std::string_view, yaml_entry*> changes;
    for (yaml_entry& entry : overlay.entries) {
        changes.emplace(entry.key, &entry);
    }
    for (yaml_entry& entry : base.entries) {
        auto change = changes.find(entry.key);
        if (change == changes.end()) {
            continue;
        }
        entry.value = merge(std::move(entry.value), std::move(change->second->value));
        changes.erase(change);
    }
    std::erase_if(base.entries,
                  [](const yaml_entry& entry) { return entry.value.kind == yaml_kind::remove; });
    for (yaml_entry& entry : overlay.entries) {
        bool added = changes.contains(entry.key) && entry.value.kind != yaml_kind::remove;
        if (added) {
            drop_removals(entry.value);
            base.entries.push_back(std::move(entry));
        }
    }
}

}  // namespace

const yaml_node* yaml_node::find(std::string_view key) const {
    for (const yaml_entry& entry : this->entries) {
        if (entry.key == key) {
            return &entry.value;
        }
    }
    return nullptr;
}

yaml_node merge(yaml_node base, yaml_node overlay) {
    if (base.kind == yaml_kind::map && overlay.kind == yaml_kind::map) {
        merge_maps(base, overlay);
        return base;
    }
    drop_removals(overlay);
    return overlay;
}

std::string child_path(std::string_view parent, std::string_view key) {
    std::string_view shown = may_be_shown(parent, key) ? key : "<hidden>";
    return parent.empty() ? std::string(shown) : fmt::format("{}.{}", parent, shown);
}

std::string element_path(std::string_view parent, std::size_t index) {
    return fmt::format("{}[{}]", parent, index);
}

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > name_length_max || !is_alphanumeric(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
    });
}

bool is_key_id(std::string_view text) {
    return is_name(text) && hide_hex_runs(text, secret_hex_digits_min) == text;
}

}  // namespace trefoil::config
