// Splits a JSON object or array into the texts of its members or elements ("pieces"), many times
// faster than a full parse. Successive versions of a large document differ in few members, so only
// the pieces that changed have to be parsed again.
//
// Example:
//
//     auto routes = split_json_object(text);
//     if (routes) { for (const json_piece& each : *routes) { ... each.name, each.text ... } }
//
// The pieces themselves are not validated: the whole text is valid JSON when a parser accepts each
// piece. nlohmann::json, which parses all other JSON in this project, is not used here because it
// does not report the position of a value in the text.

#ifndef TREFOIL_BASE_JSON_PIECES_H_
#define TREFOIL_BASE_JSON_PIECES_H_

#include <optional>
#include <string_view>
#include <vector>

namespace trefoil {

// A view into the text that was split; valid as long as that text is.
struct json_piece {
    std::string_view name;  // Without quotation marks; empty for an array element.
    std::string_view text;  // Without surrounding white space.

    friend bool operator==(const json_piece&, const json_piece&) = default;
};

// Returns the members of an object in document order. Returns nullopt when `text` is not an object,
// and when the object needs a full parser: member names that are not printable ASCII, that contain
// escapes, or that occur more than once.
std::optional<std::vector<json_piece>> split_json_object(std::string_view text);

// Returns the elements of an array in order, or nullopt when `text` is not an array.
std::optional<std::vector<json_piece>> split_json_array(std::string_view text);

// Returns the characters of a JSON string literal without escapes. Returns nullopt for any other
// text and for strings with characters that are not printable ASCII.
std::optional<std::string_view> plain_json_string(std::string_view text);

}  // namespace trefoil

#endif  // TREFOIL_BASE_JSON_PIECES_H_
