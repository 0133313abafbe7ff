// Implements the typed access to YAML trees.

#include "config/field_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "config/entry_name.h"

namespace trefoil::config {

namespace {

constexpr std::string_view expected_name =
    "a name of 1 to 64 letters, digits, dots, hyphens and underscores that starts with a letter or "
    "digit";

std::string kind_of(const yaml_node& node) {
    switch (node.kind) {
        case yaml_kind::null:
            return "no value";
        case yaml_kind::scalar:
            return node.quoted ? "a quoted text" : "a plain value";
        case yaml_kind::sequence:
            return "a list";
        case yaml_kind::map:
            return "a map";
        case yaml_kind::remove:
            return "!remove";
    }
    return "";
}

void reject_type(const yaml_field& field, std::string_view expected,
                 validation_failures& failures) {
    failures.emplace_back(wrong_type{field.where(), std::string(expected), kind_of(*field.value)});
}

// Whether the node is an unquoted scalar.
bool is_plain(const yaml_node& node) {
    return node.kind == yaml_kind::scalar && !node.quoted;
}

// Parses the whole text as a `Number`; trailing characters are an error.
template <class Number>
std::optional<Number> parse(const std::string& text) {
    Number number = 0;
    const char* end = text.data() + text.size();
    auto [rest, error] = std::from_chars(text.data(), end, number);
    bool complete = error == std::errc() && rest == end;
    return complete ? std::optional<Number>(number) : std::nullopt;
}

// `kind` is "an integer" or "a number".
template <class Number>
std::optional<Number> read_in_range(const yaml_field& field, Number min, Number max,
                                    std::string_view kind, validation_failures& failures) {
    if (field.value == nullptr) {
        return std::nullopt;
    }
    if (is_plain(*field.value)) {
        std::optional<Number> number = parse<Number>(field.value->text);
        // NaN compares false and is therefore rejected.
        bool allowed = number && *number >= min && *number <= max;
        if (allowed) {
            return number;
        }
    }
    std::string expected = fmt::format("{} from {} to {}", kind, min, max);
    if (is_plain(*field.value)) {
        reject_value(field, expected, failures);
    } else {
        reject_type(field, expected, failures);
    }
    return std::nullopt;
}

}  // namespace

std::string yaml_field::path() const {
    if (this->parent == nullptr) {
        return "";
    }
    bool in_list =
        this->parent->value != nullptr && this->parent->value->kind == yaml_kind::sequence;
    return in_list ? element_path(this->parent->path(), this->index)
                   : child_path(this->parent->path(), this->name);
}

location yaml_field::where() const {
    return location{*this->value->document, this->value->line, this->path()};
}

std::string yaml_field::printable_value() const {
    return this->secret || this->value == nullptr ? "" : this->value->text;
}

yaml_field root_field(const yaml_node& root) {
    return yaml_field{.value = &root};
}

map_reader::map_reader(const yaml_field& map, validation_failures& failures)
    : source(map), sink(failures) {
    constexpr std::size_t typical_field_count = 16;
    this->requested.reserve(typical_field_count);
    bool present = this->source.value != nullptr;
    if (present && this->source.value->kind != yaml_kind::map) {
        reject_type(this->source, "a map", this->sink);
        this->source.value = nullptr;
    }
}

yaml_field map_reader::optional(std::string_view name) {
    this->requested.push_back(name);
    return yaml_field{
        .value = this->source.value == nullptr ? nullptr : this->source.value->find(name),
        .parent = &this->source,
        .name = name,
        .secret = this->source.secret};
}

yaml_field map_reader::required(std::string_view name, std::string_view expected) {
    yaml_field field = this->optional(name);
    bool missing = this->source.value != nullptr && field.value == nullptr;
    if (missing) {
        location where = this->source.where();
        where.path = field.path();
        this->sink.emplace_back(missing_field{std::move(where), std::string(expected)});
    }
    return field;
}

yaml_field map_reader::secret(std::string_view name) {
    yaml_field field = this->optional(name);
    field.secret = true;
    return field;
}

void map_reader::reject_unknown() const {
    if (this->source.value == nullptr) {
        return;
    }
    for (const yaml_entry& entry : this->source.value->entries) {
        bool known = std::find(this->requested.begin(), this->requested.end(), entry.key) !=
                     this->requested.end();
        if (known) {
            continue;
        }
        yaml_field field{.value = &entry.value, .parent = &this->source, .name = entry.key};
        this->sink.emplace_back(
            unknown_field{field.where(), fmt::format("{}", fmt::join(this->requested, ", "))});
    }
}

std::vector<yaml_field> read_entries(const yaml_field& map, validation_failures& failures) {
    std::vector<yaml_field> entries;
    if (map.value == nullptr) {
        return entries;
    }
    if (map.value->kind != yaml_kind::map) {
        reject_type(map, "a map", failures);
        return entries;
    }
    entries.reserve(map.value->entries.size());
    for (const yaml_entry& entry : map.value->entries) {
        entries.push_back(yaml_field{
            .value = &entry.value, .parent = &map, .name = entry.key, .secret = map.secret});
    }
    return entries;
}

std::optional<std::string> read_text(const yaml_field& field, std::string_view expected,
                                     validation_failures& failures) {
    if (field.value == nullptr) {
        return std::nullopt;
    }
    if (field.value->kind != yaml_kind::scalar) {
        reject_type(field, expected, failures);
        return std::nullopt;
    }
    return field.value->text;
}

std::optional<std::string> read_name(const yaml_field& field, std::string_view expected,
                                     validation_failures& failures) {
    std::optional<std::string> text = read_text(field, expected, failures);
    if (text && !is_name(*text)) {
        reject_value(field, expected_name, failures);
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> read_entry_name(const yaml_field& field, std::string_view expected,
                                           validation_failures& failures) {
    std::optional<std::string> text = read_text(field, expected, failures);
    if (text && !is_entry_name(*text)) {
        reject_value(field, expected_entry_name, failures);
        return std::nullopt;
    }
    return text;
}

std::optional<bool> read_boolean(const yaml_field& field, validation_failures& failures) {
    constexpr std::string_view expected = "true or false";
    if (field.value == nullptr) {
        return std::nullopt;
    }
    if (!is_plain(*field.value)) {
        reject_type(field, expected, failures);
        return std::nullopt;
    }
    const std::string& text = field.value->text;
    if (text != "true" && text != "false") {
        reject_value(field, expected, failures);
        return std::nullopt;
    }
    return text == "true";
}

std::optional<std::uint32_t> read_integer(const yaml_field& field, std::uint32_t min,
                                          std::uint32_t max, validation_failures& failures) {
    return read_in_range(field, min, max, "an integer", failures);
}

std::optional<double> read_number(const yaml_field& field, double min, double max,
                                  validation_failures& failures) {
    return read_in_range(field, min, max, "a number", failures);
}

std::vector<yaml_field> read_list(const yaml_field& field, std::string_view expected,
                                  validation_failures& failures) {
    std::vector<yaml_field> elements;
    if (field.value == nullptr) {
        return elements;
    }
    if (field.value->kind != yaml_kind::sequence) {
        reject_type(field, expected, failures);
        return elements;
    }
    for (std::size_t i = 0; i < field.value->items.size(); ++i) {
        elements.push_back(yaml_field{
            .value = &field.value->items[i], .parent = &field, .index = i, .secret = field.secret});
    }
    return elements;
}

void reject_value(const yaml_field& field, std::string_view expected,
                  validation_failures& failures) {
    failures.emplace_back(
        value_out_of_range{field.where(), std::string(expected), field.printable_value()});
}

}  // namespace trefoil::config
