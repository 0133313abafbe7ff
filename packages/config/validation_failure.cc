// Implements the texts of validation failures.

#include "config/validation_failure.h"

#include <fmt/format.h>

#include "base/result.h"

namespace trefoil::config {

namespace {

std::string with_found(std::string_view expected, std::string_view found) {
    return found.empty() ? fmt::format("expected {}", expected)
                         : fmt::format("expected {}, found \"{}\"", expected, found);
}

std::string text_of(const validation_failure& failure) {
    return std::visit(
        overloaded{
            [](const malformed_document& f) { return "expected " + f.expected; },
            [](const duplicate_key&) -> std::string { return "expected each key once in a map"; },
            [](const unknown_field& f) {
                return fmt::format("unknown field, expected one of {}", f.expected);
            },
            [](const missing_field& f) {
                return fmt::format("missing field, expected {}", f.expected);
            },
            [](const wrong_type& f) {
                return fmt::format("expected {}, found {}", f.expected, f.found);
            },
            [](const value_out_of_range& f) { return with_found(f.expected, f.found); },
            [](const unresolved_reference& f) { return with_found(f.expected, f.found); },
            [](const conflicting_entries& f) { return "expected " + f.expected; },
            [](const fleet_wide_section&) -> std::string {
                return "expected in the base document only, because the section is fleet-wide";
            },
        },
        failure);
}

}  // namespace

const location& where(const validation_failure& failure) {
    return std::visit([](const auto& f) -> const location& { return f.where; }, failure);
}

std::string describe(const validation_failure& failure) {
    const location& place = where(failure);
    std::string path = place.path.empty() ? "" : place.path + ": ";
    return fmt::format("{}:{}: {}{}", place.document, place.line, path, text_of(failure));
}

}  // namespace trefoil::config
