// Splits JSON into the texts of its members, many times faster than a parser reads it. Versions of
// a large document differ in few members, so that only these have to be read again.
//
// Example:
//
//     auto routes = split_json_object(text);
//     if (routes) { for (const json_piece& each : *routes) { ... each.name, each.text ... } }
//
// The texts themselves are not checked: the whole is valid JSON when a parser accepts each of them.
// The parser of this project's other JSON, nlohmann::json, does not tell where a value stands.

#ifndef TREFOIL_BASE_JSON_PIECES_H_
#define TREFOIL_BASE_JSON_PIECES_H_

#include <optional>
#include <string_view>
#include <vector>

namespace trefoil {

// Refers to the text that was split.
struct json_piece {
    std::string_view name;  // Without quotation marks; empty for the element of an array.
    std::string_view text;  // Without white space around it.

    friend bool operator==(const json_piece&, const json_piece&) = default;
};

// The members of an object, in their order. Returns nothing for what is no object, and for an
// object that only a parser reads safely: with names that are not printable ASCII or are escaped,
// or that occur twice.
std::optional<std::vector<json_piece>> split_json_object(std::string_view text);

// The elements of an array. Returns nothing for what is no array.
std::optional<std::vector<json_piece>> split_json_array(std::string_view text);

// The characters of a string without escapes. Returns nothing for any other text, and for
// characters that are not printable ASCII.
std::optional<std::string_view> plain_json_string(std::string_view text);

}  // namespace trefoil

#endif  // TREFOIL_BASE_JSON_PIECES_H_
