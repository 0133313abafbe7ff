// Reads typed values from a YAML tree and adds a validation failure for each value that has a wrong
// type or is out of range.
//
// Example:
//
//     config::validation_failures failures;
//     config::map_reader map(config::root_field(tree), failures);
//     auto slots = config::read_integer(map.required("slots", "an integer"), 1, 100, failures);
//     map.reject_unknown();

#ifndef TREFOIL_CONFIG_FIELD_READER_H_
#define TREFOIL_CONFIG_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/validation_failure.h"
#include "config/value_limits.h"
#include "config/yaml_node.h"

namespace trefoil::config {

// A position in a tree. `value` is null if the field is absent. The read functions below return
// nothing for an absent field and add no failure; for an invalid value they return nothing and add
// a failure.
//
// A field refers to its parent and its name and must not outlive them. The path is computed only
// when a failure needs it: a large document has thousands of fields, and failures are rare.
struct yaml_field {
    const yaml_node* value = nullptr;
    const yaml_field* parent = nullptr;  // The map or list that holds it; null for the root.
    std::string_view name{};             // Its key in a map.
    std::size_t index = 0;               // Its position in a list.
    bool secret = false;                 // Failures must not show the value.

    std::string path() const;
    location where() const;
    // Returns the text of a scalar, or an empty text if the value must not be shown.
    std::string printable_value() const;
};

yaml_field root_field(const yaml_node& root);

// Reads the fields of one map and records which names were requested, so that unknown fields can be
// reported. Returned fields refer to the reader and must not outlive it.
class map_reader {
public:
    // Adds a failure if the field is present and not a map; all its fields are then absent.
    map_reader(const yaml_field& map, validation_failures& failures);
    map_reader(const map_reader&) = delete;
    map_reader& operator=(const map_reader&) = delete;

    // Names must outlive the reader.
    yaml_field optional(std::string_view name);
    // Like optional(), but adds a failure if the map is present and lacks the field.
    yaml_field required(std::string_view name, std::string_view expected);
    // Like optional(), for a field whose value must not be shown.
    yaml_field secret(std::string_view name);

    // Adds a failure for each field of the map that was not requested before.
    void reject_unknown() const;

    bool is_map() const { return this->source.value != nullptr; }

private:
    yaml_field source;  // `value` is null if the field is not a map.
    std::vector<std::string_view> requested;
    validation_failures& sink;
};

// Returns the entries of a map with arbitrary keys. Adds a failure for a field that is not a map.
std::vector<yaml_field> read_entries(const yaml_field& map, validation_failures& failures);

std::optional<std::string> read_text(const yaml_field& field, std::string_view expected,
                                     validation_failures& failures);
std::optional<std::string> read_name(const yaml_field& field, std::string_view expected,
                                     validation_failures& failures);
// Like read_name(), for a name that is_entry_name() accepts.
std::optional<std::string> read_entry_name(const yaml_field& field, std::string_view expected,
                                           validation_failures& failures);
std::optional<bool> read_boolean(const yaml_field& field, validation_failures& failures);
// Both bounds are inclusive.
std::optional<std::uint32_t> read_integer(const yaml_field& field, std::uint32_t min,
                                          std::uint32_t max, validation_failures& failures);
std::optional<double> read_number(const yaml_field& field, double min, double max,
                                  validation_failures& failures);

inline std::optional<std::uint32_t> read_integer(const yaml_field& field,
                                                 value_range<std::uint32_t> limits,
                                                 validation_failures& failures) {
    return read_integer(field, limits.min, limits.max, failures);
}
inline std::optional<double> read_number(const yaml_field& field, value_range<double> limits,
                                         validation_failures& failures) {
    return read_number(field, limits.min, limits.max, failures);
}

// Returns each element of a list as a field.
std::vector<yaml_field> read_list(const yaml_field& field, std::string_view expected,
                                  validation_failures& failures);

// Adds a failure for a value that has the right type but is not allowed.
void reject_value(const yaml_field& field, std::string_view expected,
                  validation_failures& failures);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_FIELD_READER_H_
