// Parses JSON documents into the same tree as YAML documents. JSON is valid YAML, and generated
// documents are usually JSON; nlohmann::json parses them many times faster than yaml-cpp.

#include "config/json_reader.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_set>
#include <utility>

namespace trefoil::config::detail {

namespace {

using json = nlohmann::json;

// Builds the tree from SAX events. The signatures are those of nlohmann::json_sax.
class sax_tree_builder final : public nlohmann::json_sax<json> {
public:
    explicit sax_tree_builder(const document& source)
        : document_name(std::make_shared<const std::string>(source.name)) {}

    bool null() override { return this->add(this->make(yaml_kind::null)); }
    bool boolean(bool value) override { return this->add_scalar(value ? "true" : "false", false); }
    bool number_integer(number_integer_t value) override {
        return this->add_scalar(std::to_string(value), false);
    }
    bool number_unsigned(number_unsigned_t value) override {
        return this->add_scalar(std::to_string(value), false);
    }
    bool number_float(number_float_t, const string_t& text) override {
        return this->add_scalar(text, false);
    }
    bool string(string_t& value) override { return this->add_scalar(std::move(value), true); }
    bool binary(binary_t&) override { return false; }

    bool start_object(std::size_t) override { return this->start_node(yaml_kind::map); }
    bool key(string_t& name) override {
        frame& parent = this->open_nodes.back();
        parent.key = std::move(name);
        if (is_duplicate(parent)) {
            this->failures.emplace_back(duplicate_key{
                {*this->document_name, 1, child_path(this->parent_path(), parent.key)}});
        }
        return true;
    }
    bool end_object() override { return this->end_node(); }
    bool start_array(std::size_t) override { return this->start_node(yaml_kind::sequence); }
    bool end_array() override { return this->end_node(); }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override {
        return false;
    }

    yaml_node root;
    validation_failures failures;

private:
    struct frame {
        yaml_node node;
        std::string key{};                       // In a map: key of the next value.
        std::unordered_set<std::string> keys{};  // All keys; empty while they are ascending.
    };

    // While the keys are ascending, a key greater than the last one is new. Generated documents
    // usually have sorted keys, so the set is filled only after the first key out of order.
    static bool is_duplicate(frame& map) {
        const std::vector<yaml_entry>& earlier = map.node.entries;
        if (map.keys.empty()) {
            if (earlier.empty() || earlier.back().key < map.key) {
                return false;
            }
            for (const yaml_entry& each : earlier) {
                map.keys.insert(each.key);
            }
        }
        return !map.keys.insert(map.key).second;
    }

    yaml_node make(yaml_kind kind) const {
        yaml_node made;
        made.kind = kind;
        made.document = this->document_name;
        return made;
    }

    bool add_scalar(std::string text, bool quoted) {
        yaml_node scalar = this->make(yaml_kind::scalar);
        scalar.text = std::move(text);
        scalar.quoted = quoted;
        return this->add(std::move(scalar));
    }

    bool start_node(yaml_kind kind) {
        this->open_nodes.push_back({.node = this->make(kind)});
        return true;
    }

    bool end_node() {
        yaml_node done = std::move(this->open_nodes.back().node);
        this->open_nodes.pop_back();
        return this->add(std::move(done));
    }

    bool add(yaml_node value) {
        if (this->open_nodes.empty()) {
            this->root = std::move(value);
            return true;
        }
        frame& parent = this->open_nodes.back();
        if (parent.node.kind == yaml_kind::sequence) {
            parent.node.items.push_back(std::move(value));
        } else {
            parent.node.entries.push_back({std::move(parent.key), std::move(value)});
        }
        return true;
    }

    // Path of the innermost open map.
    std::string parent_path() const {
        std::string path;
        for (std::size_t i = 0; i + 1 < this->open_nodes.size(); ++i) {
            const frame& each = this->open_nodes[i];
            path = each.node.kind == yaml_kind::sequence
                       ? element_path(path, each.node.items.size())
                       : child_path(path, each.key);
        }
        return path;
    }

    std::shared_ptr<const std::string> document_name;
    std::vector<frame> open_nodes;  // From the root inwards.
};

}  // namespace

std::optional<result<yaml_node, validation_failures>> read_json(const document& source) {
    std::size_t first = source.body.find_first_not_of(" \t\r\n");
    if (first == std::string::npos || source.body[first] != '{') {
        return std::nullopt;
    }
    sax_tree_builder events(source);
    if (!json::sax_parse(source.body, &events)) {
        return std::nullopt;
    }
    if (!events.failures.empty()) {
        return std::move(events.failures);
    }
    return std::move(events.root);
}

}  // namespace trefoil::config::detail
