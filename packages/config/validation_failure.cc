// Implements the messages of validation failures.

#include "config/validation_failure.h"

#include <fmt/format.h>

#include "base/result.h"
#include "config/redaction.h"

namespace trefoil::config {

namespace {

// Values longer than a name are truncated: a misplaced quotation mark turns the following lines of
// a document, which may contain API keys, into one value.
constexpr std::size_t shown_bytes_max = 64;

// Escapes control characters, which could forge further log lines or change a terminal's state.
std::string without_control_characters(std::string_view text) {
    std::string clean;
    for (char c : text) {
        bool control = static_cast<unsigned char>(c) < ' ' || c == 0x7f;
        if (control) {
            clean += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            clean.push_back(c);
        }
    }
    return clean;
}

std::string with_found(std::string_view expected, std::string_view found) {
    return found.empty() ? fmt::format("expected {}", expected)
                         : fmt::format("expected {}, found \"{}\"", expected,
                                       found.substr(0, shown_bytes_max));
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
    std::string line = without_control_characters(
        fmt::format("{}:{}: {}{}", place.document, place.line, path, text_of(failure)));
    return hide_hex_runs(line, secret_hex_digits_min);
}

}  // namespace trefoil::config
