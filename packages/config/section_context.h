// Input and output shared by the functions that read the sections of a document. Internal to the
// package.
//
// Example:
//
//     void read_services(section_context& context) {
//         context.for_each_entry(context.sections.optional("services"), ...);
//     }

#ifndef TREFOIL_CONFIG_SECTION_CONTEXT_H_
#define TREFOIL_CONFIG_SECTION_CONTEXT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/entry_name.h"
#include "config/field_reader.h"
#include "config/snapshot.h"
#include "config/validation_failure.h"

namespace trefoil::config::detail {

struct section_context {
    map_reader& sections;         // The root map of the merged document.
    validation_failures& sink;    // Receives all failures.
    snapshot_contents& contents;  // Receives the entries.

    // Reads a section of named entries; calls `read_entry` with the name and the map reader of
    // each. Adds failures for invalid names and for unknown fields.
    template <class ReadEntry>
    void for_each_entry(const yaml_field& section, ReadEntry read_entry) {
        for (const yaml_field& field : read_entries(section, this->sink)) {
            if (!is_entry_name(field.name)) {
                this->reject_key(field, expected_entry_name);
            }
            map_reader entry(field, this->sink);
            read_entry(std::string(field.name), entry);
            entry.reject_unknown();
        }
    }

    // Adds a failure for an invalid key of a map. The key is the last part of the failure's path.
    void reject_key(const yaml_field& field, std::string_view expected) {
        this->sink.emplace_back(value_out_of_range{field.where(), std::string(expected), ""});
    }

    void reject_reference(const yaml_field& field, std::string_view expected) {
        this->sink.emplace_back(
            unresolved_reference{field.where(), std::string(expected), field.printable_value()});
    }

    std::optional<std::chrono::milliseconds> read_milliseconds(const yaml_field& field);
    // Returns the names of a list, sorted and unique.
    std::vector<std::string> read_names(const yaml_field& field, std::string_view expected);
    std::optional<std::uint32_t> read_priority(const yaml_field& field);
    // Whether the value is `word`, for fields that accept a word instead of a number.
    static bool is_word(const yaml_field& field, std::string_view word);
};

void read_services(section_context& context);
// Reads the routes and adds `reused`, routes of an earlier version. The services must have been
// read before.
void read_routes(section_context& context, std::vector<route> reused);
// Reads the workspaces, then the API keys, which refer to them.
void read_workspaces_and_keys(section_context& context);

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_SECTION_CONTEXT_H_
