// A YAML document as a tree in which every node knows its document and line, so that failures of a
// merged tree can name the document that an operator has to change.
//
// Example:
//
//     auto tree = config::read_yaml(document, {.allow_remove = true});
//     if (auto* root = std::get_if<config::yaml_node>(&tree)) { ... }

#ifndef TREFOIL_CONFIG_YAML_NODE_H_
#define TREFOIL_CONFIG_YAML_NODE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/document.h"
#include "config/validation_failure.h"

namespace trefoil::config {

enum class yaml_kind { null, scalar, sequence, map, remove };

struct yaml_entry;

struct yaml_node {
    yaml_kind kind = yaml_kind::null;
    // Name of the document that the node comes from. All its nodes share it.
    std::shared_ptr<const std::string> document;
    int line = 1;                     // Line of the key for values of a map.
    std::string text;                 // Of a scalar.
    bool quoted = false;              // A quoted scalar is always text, never a number or boolean.
    std::vector<yaml_node> items;     // Of a sequence.
    std::vector<yaml_entry> entries;  // Of a map, in the order of the document.

    // Returns the value of `key` in a map, or null.
    const yaml_node* find(std::string_view key) const;
};

struct yaml_entry {
    std::string key{};
    yaml_node value;
};

struct yaml_options {
    bool allow_remove = false;  // Whether the value `!remove` may stand for a key to remove.
};

// Reads one YAML document. An empty body is an empty map. Aliases, tags other than `!remove`,
// duplicate keys and further documents in the same body are failures: aliases would let a small
// body expand without bound, and duplicate keys would hide one of two values.
result<yaml_node, validation_failures> read_yaml(const document& source, yaml_options options);

// Merges an overlay into a base: maps merge, everything else in the overlay replaces, and keys with
// the value `!remove` disappear. Removing a key that the base lacks has no effect, so that a base
// may stop defining it before the overlays are changed. Base and overlay are moved, not copied:
// an overlay changes little of a large base.
yaml_node merge(yaml_node base, yaml_node overlay);

// Appends a key to a path. Text that is no name and, under the section `keys`, text that is neither
// a key id nor a defined field is replaced by "<hidden>", because it could contain a key.
std::string child_path(std::string_view parent, std::string_view key);
std::string element_path(std::string_view parent, std::size_t index);

// Whether `text` can name a service, route, workspace, failure domain or instance.
bool is_name(std::string_view text);

// Whether `text` can name a key: a name without a part that could be a hexadecimal key or digest.
bool is_key_id(std::string_view text);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_YAML_NODE_H_
