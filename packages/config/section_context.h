// What the readers of the sections share: where they read, where they report and what they fill.
// Internal to the package.
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

#include "config/field_reader.h"
#include "config/snapshot.h"
#include "config/validation_failure.h"

namespace trefoil::config::detail {

struct section_context {
    map_reader& sections;
    validation_failures& sink;
    snapshot_contents& contents;

    // Reads a section of named entries; `read_entry` gets the name and the reader of its map.
    template <class ReadEntry>
    void for_each_entry(const yaml_field& section, ReadEntry read_entry) {
        for (const yaml_field& field : read_entries(section, this->sink)) {
            if (!is_name(field.name)) {
                this->reject_key(
                    field, "a name of 1 to 64 letters, digits, dots, hyphens and underscores");
            }
            map_reader entry(field, this->sink);
            read_entry(std::string(field.name), entry);
            entry.reject_unknown();
        }
    }

    // The offending text is the last part of the path.
    void reject_key(const yaml_field& field, std::string_view expected) {
        this->sink.emplace_back(value_out_of_range{field.where(), std::string(expected), ""});
    }

    void reject_reference(const yaml_field& field, std::string_view expected) {
        this->sink.emplace_back(
            unresolved_reference{field.where(), std::string(expected), field.shown()});
    }

    std::optional<std::chrono::milliseconds> read_milliseconds(const yaml_field& field);
    // A list of names, sorted and unique.
    std::vector<std::string> read_names(const yaml_field& field, std::string_view expected);
    std::optional<std::uint32_t> read_priority(const yaml_field& field);
    // Whether the field holds `word` instead of a number.
    static bool is_word(const yaml_field& field, std::string_view word);
};

void read_services(section_context& context);
// Reads the routes, beside those of an earlier version; requires that the services were read.
void read_routes(section_context& context, std::vector<route> kept);
// Reads workspaces, then keys, which refer to them.
void read_workspaces_and_keys(section_context& context);

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_SECTION_CONTEXT_H_
