// Parses the document `instances` with nlohmann::json.

#include "membership/instance_list.h"

#include <fmt/format.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoil::membership {

namespace {

using json = nlohmann::json;

// Reads a required non-empty string field.
std::optional<list_field_failure> read_text(const json& entry, std::size_t index, const char* name,
                                            std::string& value) {
    auto found = entry.find(name);
    if (found == entry.end() || !found->is_string() ||
        found->get_ref<const std::string&>().empty()) {
        return list_field_failure{.path = fmt::format("instances[{}].{}", index, name),
                                  .expected = "a non-empty string"};
    }
    value = found->get<std::string>();
    return std::nullopt;
}

std::optional<list_field_failure> read_state(const json& entry, std::size_t index,
                                             listed_state& state) {
    std::string text;
    auto failure = read_text(entry, index, "state", text);
    if (failure.has_value()) {
        return failure;
    }
    if (text != "live" && text != "leaving") {
        return list_field_failure{.path = fmt::format("instances[{}].state", index),
                                  .expected = "live or leaving"};
    }
    state = text == "live" ? listed_state::live : listed_state::leaving;
    return std::nullopt;
}

// Reads an optional non-negative integer field.
std::optional<list_field_failure> read_count(const json& entry, std::size_t index, const char* name,
                                             std::uint32_t& value) {
    auto found = entry.find(name);
    if (found == entry.end()) {
        return std::nullopt;
    }
    if (!found->is_number_unsigned() ||
        found->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        return list_field_failure{.path = fmt::format("instances[{}].{}", index, name),
                                  .expected = "a non-negative integer"};
    }
    value = found->get<std::uint32_t>();
    return std::nullopt;
}

// Reads the fields that a platform may omit.
std::optional<list_field_failure> read_optional_fields(const json& entry, std::size_t index,
                                                       instance_record& record) {
    if (entry.contains("upstream")) {
        if (auto failure = read_text(entry, index, "upstream", record.upstream)) {
            return failure;
        }
    }
    if (auto failure = read_count(entry, index, "slots", record.slots)) {
        return failure;
    }
    return read_count(entry, index, "cold_left_ms", record.cold_left_ms);
}

std::optional<list_field_failure> read_entry(const json& entry, std::size_t index,
                                             instance_record& record) {
    if (!entry.is_object()) {
        return list_field_failure{.path = fmt::format("instances[{}]", index),
                                  .expected = "an object"};
    }
    const std::pair<const char*, std::string*> fields[] = {
        {"id", &record.id},
        {"address", &record.address},
        {"failure_domain", &record.failure_domain},
        {"site", &record.site},
        {"service", &record.service}};
    for (const auto& [name, value] : fields) {
        auto failure = read_text(entry, index, name, *value);
        if (failure.has_value()) {
            return failure;
        }
    }
    if (auto failure = read_state(entry, index, record.state)) {
        return failure;
    }
    return read_optional_fields(entry, index, record);
}

}  // namespace

instance_list::instance_list(std::uint64_t list_revision, std::vector<instance_record> entries)
    : revision_number(list_revision), entries_in_order(std::move(entries)) {
    this->positions.reserve(this->entries_in_order.size());
    for (std::size_t i = 0; i < this->entries_in_order.size(); ++i) {
        this->positions.emplace(this->entries_in_order[i].id, i);
    }
}

std::optional<std::size_t> instance_list::index_of(std::string_view id) const {
    auto found = this->positions.find(std::string(id));
    if (found == this->positions.end()) {
        return std::nullopt;
    }
    return found->second;
}

instance_list_result parse_instance_list(std::uint64_t revision, std::string_view body) {
    json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        return list_syntax_failure{.detail = "the instance list is not JSON"};
    }
    if (!parsed.is_object() || !parsed.contains("instances") || !parsed["instances"].is_array()) {
        return list_field_failure{.path = "instances", .expected = "an array"};
    }
    const json& entries = parsed["instances"];
    std::vector<instance_record> records(entries.size());
    absl::flat_hash_map<std::string, bool> seen;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        auto failure = read_entry(entries[i], i, records[i]);
        if (failure.has_value()) {
            return *failure;
        }
        if (!seen.emplace(records[i].id, true).second) {
            return list_duplicate_failure{.id = records[i].id};
        }
    }
    return std::make_shared<const instance_list>(revision, std::move(records));
}

std::string describe(const instance_list_result& parsed) {
    return std::visit(overloaded{
                          [](const std::shared_ptr<const instance_list>&) { return std::string(); },
                          [](const list_syntax_failure& failure) { return failure.detail; },
                          [](const list_field_failure& failure) {
                              return fmt::format("{} is not {}", failure.path, failure.expected);
                          },
                          [](const list_duplicate_failure& failure) {
                              return fmt::format("the id {} occurs twice", failure.id);
                          },
                      },
                      parsed);
}

}  // namespace trefoil::membership
