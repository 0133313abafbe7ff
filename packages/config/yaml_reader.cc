// Implements read_yaml() with the event interface of yaml-cpp. Unlike its document tree, the events
// report the position of every key, aliases and duplicate keys.

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <istream>
#include <memory>
#include <sstream>
#include <unordered_set>
#include <utility>

#include "config/json_reader.h"

#include "config/yaml_node.h"

namespace trefoil::config {

namespace {

constexpr std::string_view plain_tag = "?";
constexpr std::string_view quoted_tag = "!";
constexpr std::string_view remove_tag = "!remove";

// Builds the tree from the parser's events. An event that is not allowed adds a failure and parsing
// continues, so that one pass reports all failures.
class tree_builder final : public YAML::EventHandler {
public:
    tree_builder(const document& source_document, yaml_options read_options)
        : source(source_document),
          name(std::make_shared<const std::string>(source_document.name)),
          options(read_options) {}

    void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
        this->reject_anchor(mark, anchor);
        this->add(this->make(yaml_kind::null, mark));
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
        this->fail(mark, "a value; aliases are not allowed");
        this->add(this->make(yaml_kind::null, mark));
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override {
        this->reject_anchor(mark, anchor);
        if (tag == remove_tag) {
            this->add_removal(mark, value);
            return;
        }
        this->reject_tag(mark, tag);
        yaml_node scalar = this->make(yaml_kind::scalar, mark);
        scalar.text = value;
        scalar.quoted = tag == quoted_tag;
        bool is_null = !scalar.quoted && (value.empty() || value == "~" || value == "null");
        if (is_null) {
            scalar.kind = yaml_kind::null;
        }
        this->add(std::move(scalar));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override {
        this->start_node(yaml_kind::sequence, mark, tag, anchor);
    }
    void OnSequenceEnd() override { this->end_node(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override {
        this->start_node(yaml_kind::map, mark, tag, anchor);
    }
    void OnMapEnd() override { this->end_node(); }

    yaml_node root;
    bool has_root = false;
    validation_failures failures;

private:
    // A sequence or map whose end has not been parsed yet.
    struct open_node {
        yaml_node node;
        std::string path;
        bool has_key = false;  // In a map: the next value belongs to `key`.
        std::string key;
        int key_line = 0;
        std::unordered_set<std::string> keys;  // In a map: all keys so far.
    };

    static int line_of(const YAML::Mark& mark) { return mark.line + 1; }

    bool expects_key() const {
        return !this->open_nodes.empty() && this->open_nodes.back().node.kind == yaml_kind::map &&
               !this->open_nodes.back().has_key;
    }

    // Path of the next value.
    std::string path() const {
        if (this->open_nodes.empty()) {
            return "";
        }
        const open_node& parent = this->open_nodes.back();
        if (parent.node.kind == yaml_kind::sequence) {
            return element_path(parent.path, parent.node.items.size());
        }
        return parent.has_key ? child_path(parent.path, parent.key) : parent.path;
    }

    void fail(const YAML::Mark& mark, std::string expected) {
        location where{this->source.name, line_of(mark), this->path()};
        this->failures.emplace_back(malformed_document{std::move(where), std::move(expected)});
    }

    yaml_node make(yaml_kind kind, const YAML::Mark& mark) const {
        yaml_node made;
        made.kind = kind;
        made.document = this->name;
        made.line = line_of(mark);
        return made;
    }

    void reject_anchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
        if (anchor != YAML::NullAnchor) {
            this->fail(mark, "a value; anchors are not allowed");
        }
    }

    void reject_tag(const YAML::Mark& mark, const std::string& tag) {
        bool allowed = tag.empty() || tag == plain_tag || tag == quoted_tag;
        if (!allowed) {
            this->fail(mark, "a value without a tag");
        }
    }

    void add_removal(const YAML::Mark& mark, const std::string& value) {
        bool is_map_value = !this->open_nodes.empty() && this->open_nodes.back().has_key;
        if (!this->options.allow_remove) {
            this->fail(mark, "a value; !remove is allowed in overlays only");
        } else if (!is_map_value || !value.empty()) {
            this->fail(mark, "!remove as the whole value of a key");
        }
        this->add(this->make(yaml_kind::remove, mark));
    }

    void start_node(yaml_kind kind, const YAML::Mark& mark, const std::string& tag,
                    YAML::anchor_t anchor) {
        this->reject_anchor(mark, anchor);
        this->reject_tag(mark, tag);
        if (this->expects_key()) {
            this->fail(mark, "a scalar as key");
        }
        open_node opened;
        opened.node = this->make(kind, mark);
        opened.path = this->path();
        this->open_nodes.push_back(std::move(opened));
    }

    void end_node() {
        yaml_node done = std::move(this->open_nodes.back().node);
        this->open_nodes.pop_back();
        this->add(std::move(done));
    }

    void add(yaml_node value) {
        if (this->open_nodes.empty()) {
            this->root = std::move(value);
            this->has_root = true;
            return;
        }
        open_node& parent = this->open_nodes.back();
        if (parent.node.kind == yaml_kind::sequence) {
            parent.node.items.push_back(std::move(value));
        } else if (!parent.has_key) {
            this->add_key(parent, value);
        } else {
            value.line = parent.key_line;
            parent.node.entries.push_back({parent.key, std::move(value)});
            parent.has_key = false;
        }
    }

    void add_key(open_node& parent, const yaml_node& key) {
        parent.key = key.text;
        parent.key_line = key.line;
        parent.has_key = true;
        if (!parent.keys.insert(key.text).second) {
            this->failures.emplace_back(
                duplicate_key{{this->source.name, key.line, child_path(parent.path, parent.key)}});
        }
    }

    const document& source;
    std::shared_ptr<const std::string> name;  // Name of the document.
    yaml_options options;
    std::vector<open_node> open_nodes;  // From the root inwards.
};

std::string size_text(std::size_t bytes) {
    constexpr std::size_t mebibyte = std::size_t{1} << 20U;
    return bytes % mebibyte == 0 ? std::to_string(bytes / mebibyte) + " MiB"
                                 : std::to_string(bytes) + " bytes";
}

void parse(const document& source, tree_builder& builder) {
    try {
        std::istringstream stream(source.body);
        YAML::Parser parser(stream);
        parser.HandleNextDocument(builder);
        tree_builder second_document(source, {});
        if (parser.HandleNextDocument(second_document)) {
            location where{source.name, second_document.root.line, ""};
            builder.failures.emplace_back(
                malformed_document{std::move(where), "one YAML document"});
        }
    } catch (const YAML::Exception& error) {
        // yaml-cpp's messages describe the syntax and never quote the body, which may contain keys.
        location where{source.name, error.mark.line + 1, ""};
        builder.failures.emplace_back(
            malformed_document{std::move(where), "valid YAML (" + error.msg + ")"});
    }
}

}  // namespace

result<yaml_node, validation_failures> read_yaml(const document& source, yaml_options options) {
    if (source.body.size() > options.max_bytes) {
        return validation_failures{malformed_document{
            {source.name, 1, ""}, "a document of at most " + size_text(options.max_bytes)}};
    }
    if (auto tree = detail::read_json(source)) {
        return std::move(*tree);
    }
    tree_builder builder(source, options);
    parse(source, builder);
    if (!builder.failures.empty()) {
        return std::move(builder.failures);
    }
    bool empty = !builder.has_root || builder.root.kind == yaml_kind::null;
    if (empty) {
        yaml_node empty_map;
        empty_map.kind = yaml_kind::map;
        empty_map.document = std::make_shared<const std::string>(source.name);
        return empty_map;
    }
    return std::move(builder.root);
}

}  // namespace trefoil::config
