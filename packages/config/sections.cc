// Implements read_sections() and the smaller sections. Services, routes, workspaces and keys have
// files of their own.

#include "config/sections.h"

#include <algorithm>
#include <set>
#include <utility>

#include "config/section_context.h"

namespace trefoil::config::detail {

namespace {

void read_version(section_context& context) {
    yaml_field field = context.sections.optional("version");
    auto version = read_number(field, static_cast<double>(version_limits.min),
                               static_cast<double>(version_limits.max), context.sink);
    context.contents.version = static_cast<std::uint64_t>(version.value_or(0));
}

void read_fleet(section_context& context) {
    map_reader map(context.sections.required("fleet", "a map with max_instances"), context.sink);
    yaml_field field = map.required("max_instances", "an integer");
    fleet& target = context.contents.fleet;
    target.max_instances_from_list = section_context::is_word(field, "listed");
    if (!target.max_instances_from_list) {
        target.max_instances = read_integer(field, instance_count_limits, context.sink).value_or(1);
    }
    map.reject_unknown();
}

void read_caller_limits(section_context& context) {
    map_reader map(context.sections.optional("caller_limits"), context.sink);
    caller_limits& target = context.contents.caller_limits;
    target.max_header_bytes =
        read_integer(map.optional("max_header_bytes"), header_bytes_limits, context.sink)
            .value_or(target.max_header_bytes);
    target.max_body_bytes =
        read_integer(map.optional("max_body_bytes"), body_bytes_limits, context.sink)
            .value_or(target.max_body_bytes);
    target.header_timeout = context.read_milliseconds(map.optional("header_timeout_ms"))
                                .value_or(target.header_timeout);
    target.idle_timeout =
        context.read_milliseconds(map.optional("idle_timeout_ms")).value_or(target.idle_timeout);
    map.reject_unknown();
}

void read_taken_out(section_context& context, std::string_view section,
                    std::map<std::string, bool, std::less<>>& taken_out) {
    yaml_field field = context.sections.optional(section);
    context.for_each_entry(field, [&](const std::string& name, map_reader& entry) {
        bool out = read_boolean(entry.optional("out"), context.sink).value_or(false);
        taken_out.emplace(name, out);
    });
}

}  // namespace

std::optional<std::chrono::milliseconds> section_context::read_milliseconds(
    const yaml_field& field) {
    auto value = read_integer(field, milliseconds_limits, this->sink);
    return value ? std::optional(std::chrono::milliseconds(*value)) : std::nullopt;
}

std::vector<std::string> section_context::read_names(const yaml_field& field,
                                                     std::string_view expected) {
    std::set<std::string> names;
    for (const yaml_field& element : read_list(field, expected, this->sink)) {
        if (auto name = read_entry_name(element, "a name", this->sink)) {
            names.insert(std::move(*name));
        }
    }
    return {names.begin(), names.end()};
}

std::optional<std::uint32_t> section_context::read_priority(const yaml_field& field) {
    return read_integer(field, priority_limits, this->sink);
}

bool section_context::is_word(const yaml_field& field, std::string_view word) {
    return field.value != nullptr && field.value->kind == yaml_kind::scalar &&
           field.value->text == word;
}

snapshot_contents read_sections(const yaml_node& merged, std::vector<route> reused,
                                validation_failures& failures) {
    map_reader sections(root_field(merged), failures);
    snapshot_contents contents;
    section_context context{.sections = sections, .sink = failures, .contents = contents};
    read_version(context);
    read_fleet(context);
    read_caller_limits(context);
    read_services(context);
    read_routes(context, std::move(reused));
    read_workspaces_and_keys(context);
    read_taken_out(context, "failure_domains", contents.failure_domain_out);
    read_taken_out(context, "instances", contents.instance_out);
    sections.reject_unknown();
    return contents;
}

}  // namespace trefoil::config::detail
