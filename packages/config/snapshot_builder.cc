// Implements the incremental building of snapshots. If an incremental build fails for any reason,
// both documents are read in full, so that the reported failures do not depend on earlier versions.

#include "config/snapshot_builder.h"

#include <algorithm>
#include <string>
#include <utility>

#include "config/build_snapshot.h"
#include "config/json_reader.h"
#include "config/yaml_node.h"

namespace trefoil::config {

namespace {

constexpr std::string_view routes_section = "routes";

bool by_name(const json_piece& left, const json_piece& right) {
    return left.name < right.name;
}

// Returns the size of a JSON object with these members.
std::size_t text_size(const std::vector<json_piece>& members) {
    constexpr std::size_t punctuation = 4;  // Of each member; the braces need two more.
    std::size_t size = 2;
    for (const json_piece& each : members) {
        size += each.name.size() + each.text.size() + punctuation;
    }
    return size;
}

// Returns the body of `base` with the value of its section `routes` replaced by an object with
// `members`. `routes_text` is a view of that value within the body.
std::string with_routes(const document& base, std::string_view routes_text,
                        const std::vector<json_piece>& members) {
    auto start = static_cast<std::size_t>(routes_text.data() - base.body.data());
    std::string_view source = base.body;
    std::string body;
    body.reserve(source.size() - routes_text.size() + text_size(members));
    body += source.substr(0, start);
    body += '{';
    for (const json_piece& each : members) {
        body += body.back() == '{' ? "\"" : ",\"";
        body += each.name;
        body += "\":";
        body += each.text;
    }
    body += '}';
    body += source.substr(start + routes_text.size());
    return body;
}

bool changes_routes(const yaml_node& overlay) {
    return overlay.find(routes_section) != nullptr;
}

}  // namespace

// Returns nothing for a base that is too large, that has no routes or that split_json_object()
// cannot split.
std::optional<snapshot_builder::split_base> snapshot_builder::split_routes(
    std::shared_ptr<const document> base) const {
    if (base->body.size() > this->max_bytes) {
        return std::nullopt;
    }
    auto sections = split_json_object(base->body).value_or(std::vector<json_piece>());
    auto section = std::find_if(sections.begin(), sections.end(),
                                [](const json_piece& each) { return each.name == routes_section; });
    auto routes = section == sections.end() ? std::nullopt : split_json_object(section->text);
    if (!routes) {
        return std::nullopt;
    }
    if (!std::is_sorted(routes->begin(), routes->end(), by_name)) {
        std::sort(routes->begin(), routes->end(), by_name);
    }
    return split_base{std::move(base), section->text, std::move(*routes)};
}

result<std::shared_ptr<const snapshot>, validation_failures> snapshot_builder::build(
    std::shared_ptr<const document> base, const document& overlay) {
    auto split = split_routes(base);
    if (split && this->last_built != nullptr) {
        if (auto incremental = this->build_incrementally(*split, overlay)) {
            this->last_base = std::move(*split);
            this->last_built = std::make_shared<const snapshot>(std::move(*incremental));
            return this->last_built;
        }
    }
    auto overlay_tree = read_yaml(overlay, {.allow_remove = true});
    auto* overlay_root = std::get_if<yaml_node>(&overlay_tree);
    bool routes_from_base_only = overlay_root != nullptr && !changes_routes(*overlay_root);
    // JSON that cannot be split is still read many times faster as JSON than as YAML.
    bool readable = base->body.size() <= this->max_bytes;
    auto json_tree = readable ? detail::read_json(*base) : std::nullopt;
    bool is_json = json_tree.has_value();
    auto base_tree = is_json
                         ? std::move(*json_tree)
                         : read_yaml(*base, {.allow_remove = false, .max_bytes = this->max_bytes});
    auto outcome =
        detail::build_from_trees(*base, overlay, std::move(base_tree), std::move(overlay_tree), {});
    if (auto* failures = std::get_if<validation_failures>(&outcome)) {
        return std::move(*failures);
    }
    auto built = std::make_shared<const snapshot>(std::get<snapshot>(std::move(outcome)));
    bool reusable = split && is_json && routes_from_base_only;
    this->last_base = reusable ? std::move(*split) : split_base();
    this->last_built = reusable ? built : nullptr;
    return built;
}

// Parses only the routes whose text changed since the last version. Returns nothing if the
// documents have to be read in full.
std::optional<snapshot> snapshot_builder::build_incrementally(const split_base& base,
                                                              const document& overlay) {
    std::vector<route> reused;
    reused.reserve(base.routes.size());
    std::vector<json_piece> changed;
    const std::vector<json_piece>& earlier = this->last_base.routes;
    auto found = earlier.begin();
    for (const json_piece& each : base.routes) {
        found = std::lower_bound(found, earlier.end(), each, by_name);
        if (found == earlier.end() || *found != each) {
            changed.push_back(each);
            continue;
        }
        // The last version's split routes and its snapshot's routes are the same routes, both
        // sorted by name, so one position is valid for both.
        auto position = static_cast<std::size_t>(found - earlier.begin());
        reused.push_back(this->last_built->contents().routes.routes()[position]);
    }
    const document& source = *base.source;
    document shortened{.name = source.name, .body = with_routes(source, base.routes_text, changed)};
    auto base_tree = detail::read_json(shortened);
    auto overlay_tree = read_yaml(overlay, {.allow_remove = true});
    auto* overlay_root = std::get_if<yaml_node>(&overlay_tree);
    if (!base_tree || overlay_root == nullptr || changes_routes(*overlay_root)) {
        return std::nullopt;
    }
    std::size_t count = reused.size();
    auto outcome = detail::build_from_trees(source, overlay, std::move(*base_tree),
                                            std::move(overlay_tree), std::move(reused));
    auto* built = std::get_if<snapshot>(&outcome);
    if (built == nullptr) {
        return std::nullopt;
    }
    this->reused_count += count;
    return std::move(*built);
}

}  // namespace trefoil::config
