// The reasons why a pair of documents is invalid. Each failure states the document, the line, the
// path within the document and what was expected.
//
// Example:
//
//     for (const config::validation_failure& failure : failures) {
//         std::cerr << config::describe(failure) << '\n';
//     }
//
// prints `base:12: routes.readings.service: expected the name of a service, found "statoin"`.
// Values under `keys` are never part of a failure, because an operator could have written an API
// key there instead of its digest.

#ifndef TREFOIL_CONFIG_VALIDATION_FAILURE_H_
#define TREFOIL_CONFIG_VALIDATION_FAILURE_H_

#include <string>
#include <variant>
#include <vector>

namespace trefoil::config {

struct location {
    std::string document{};  // Name of the document that contains the invalid node.
    int line = 0;            // Counted from 1.
    std::string path{};  // Keys joined by dots, list elements as [index]; empty for the document.

    friend bool operator==(const location&, const location&) = default;
};

// The body is not valid YAML, or uses YAML features that are not allowed (aliases, tags, several
// documents in one body).
struct malformed_document {
    location where{};
    std::string expected{};

    friend bool operator==(const malformed_document&, const malformed_document&) = default;
};

// A key occurs more than once in a map.
struct duplicate_key {
    location where{};

    friend bool operator==(const duplicate_key&, const duplicate_key&) = default;
};

// A map contains an unknown key; `expected` lists the known ones.
struct unknown_field {
    location where{};
    std::string expected{};

    friend bool operator==(const unknown_field&, const unknown_field&) = default;
};

struct missing_field {
    location where{};
    std::string expected{};

    friend bool operator==(const missing_field&, const missing_field&) = default;
};

struct wrong_type {
    location where{};
    std::string expected{};
    std::string found{};  // The kind of node, never its value.

    friend bool operator==(const wrong_type&, const wrong_type&) = default;
};

// A value that has the right type but is not allowed.
struct value_out_of_range {
    location where{};
    std::string expected{};
    std::string found{};  // Empty if the value must not be shown.

    friend bool operator==(const value_out_of_range&, const value_out_of_range&) = default;
};

// A name that refers to no entry of the merged document.
struct unresolved_reference {
    location where{};
    std::string expected{};
    std::string found{};  // Empty if the value must not be shown.

    friend bool operator==(const unresolved_reference&, const unresolved_reference&) = default;
};

// Two entries that exclude each other, such as two routes that match the same requests.
struct conflicting_entries {
    location where{};
    std::string expected{};

    friend bool operator==(const conflicting_entries&, const conflicting_entries&) = default;
};

// An overlay contains a section that is allowed in the base document only, because it applies to
// the whole fleet.
struct fleet_wide_section {
    location where{};

    friend bool operator==(const fleet_wide_section&, const fleet_wide_section&) = default;
};

using validation_failure =
    std::variant<malformed_document, duplicate_key, unknown_field, missing_field, wrong_type,
                 value_out_of_range, unresolved_reference, conflicting_entries, fleet_wide_section>;

using validation_failures = std::vector<validation_failure>;

const location& where(const validation_failure& failure);

// Returns one line: "document:line: path: expected ..., found ...".
std::string describe(const validation_failure& failure);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_VALIDATION_FAILURE_H_
