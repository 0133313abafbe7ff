// A YAML document as a tree in which every node stores its document and line, so that failures in a
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
    // Name of the document that contains the node; shared by all of its nodes.
    std::shared_ptr<const std::string> document;
    int line = 1;                     // For values of a map: the line of the key.
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
    bool allow_remove = false;  // Whether `!remove` is allowed as the value of a key.
    std::size_t max_bytes = document_bytes_max;  // A larger body is a failure.
};

// Parses a body that is YAML or JSON. An empty body is an empty map. Aliases, tags other than
// `!remove`, duplicate keys and further documents in the same body are failures: aliases would let
// a small body expand without bound, and one of two values with the same key would be ignored.
result<yaml_node, validation_failures> read_yaml(const document& source, yaml_options options);

// Merges an overlay into a base: maps are merged, any other value in the overlay replaces that of
// the base, and keys with the value `!remove` are removed. Removing a key that the base lacks has
// no effect, so that a key can be removed from the base before the overlays are changed. Base and
// overlay are moved, not copied, because an overlay usually changes little of a large base.
yaml_node merge(yaml_node base, yaml_node overlay);

// Appends a key to a path. A key that is not a valid name is replaced by "<hidden>", because it
// could contain an API key. Under the section `keys` only key ids and known fields are shown.
std::string child_path(std::string_view parent, std::string_view key);
std::string element_path(std::string_view parent, std::size_t index);

// Whether `text` is a valid name of a service, route, workspace, failure domain or instance.
bool is_name(std::string_view text);

// Whether `text` is a valid id of an API key: a name without a part that could be a hexadecimal key
// or digest.
bool is_key_id(std::string_view text);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_YAML_NODE_H_
