// Implements the splitting of JSON. It follows strings and the depth of brackets, and stops at
// every character that cannot stand outside of strings.

#include "base/json_pieces.h"

#include <algorithm>
#include <cstddef>
#include <string>

namespace trefoil {

namespace {

bool is_space(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

// Parsers give some other characters at the start or end of a text a meaning, such as a byte order
// mark or a zero, that they do not have within a larger text.
bool may_stand_outside_strings(char c) {
    return is_space(c) || (c > ' ' && c < 0x7f);
}

bool is_plain(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= ' ' && c < 0x7f && c != '"' && c != '\\'; });
}

class splitter {
public:
    explicit splitter(std::string_view given) : rest(given) {}

    // Splits `open` name: text, ... `close`, or without names for an array.
    std::optional<std::vector<json_piece>> split(char open, char close, bool named) {
        std::vector<json_piece> pieces;
        if (!this->take(open)) {
            return std::nullopt;
        }
        bool empty = this->take(close);
        while (!empty) {
            json_piece piece;
            if ((named && !this->take_name(piece.name)) || !this->take_value(piece.text)) {
                return std::nullopt;
            }
            pieces.push_back(piece);
            if (this->take(close)) {
                break;
            }
            if (!this->take(',')) {
                return std::nullopt;
            }
        }
        this->skip_space();
        return this->rest.empty() ? std::optional(std::move(pieces)) : std::nullopt;
    }

private:
    void skip_space() {
        auto first = std::find_if_not(this->rest.begin(), this->rest.end(), is_space);
        this->rest.remove_prefix(static_cast<std::size_t>(first - this->rest.begin()));
    }

    bool take(char expected) {
        this->skip_space();
        bool found = !this->rest.empty() && this->rest.front() == expected;
        this->rest.remove_prefix(found ? 1 : 0);
        return found;
    }

    bool take_name(std::string_view& name) {
        this->skip_space();
        std::size_t size = this->string_size(0);
        if (size == 0) {
            return false;
        }
        name = this->rest.substr(1, size - 2);
        this->rest.remove_prefix(size);
        return is_plain(name) && this->take(':');
    }

    // The value ends before the comma or bracket that does not belong to it.
    bool take_value(std::string_view& value) {
        this->skip_space();
        std::size_t depth = 0;
        std::size_t end = 0;
        while (end < this->rest.size()) {
            char c = this->rest[end];
            if (c == '"') {
                std::size_t size = this->string_size(end);
                if (size == 0) {
                    return false;
                }
                end += size;
                continue;
            }
            bool closes = c == '}' || c == ']';
            if (!may_stand_outside_strings(c)) {
                return false;
            }
            if (depth == 0 && (closes || c == ',')) {
                break;
            }
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= closes ? 1 : 0;
            ++end;
        }
        value = this->rest.substr(0, end);
        this->rest.remove_prefix(end);
        while (!value.empty() && is_space(value.back())) {
            value.remove_suffix(1);
        }
        return !value.empty();
    }

    // Bytes of the string that starts at `start`, with its quotation marks; 0 without one.
    std::size_t string_size(std::size_t start) const {
        if (start >= this->rest.size() || this->rest[start] != '"') {
            return 0;
        }
        std::size_t end = start;
        bool escaped = true;
        while (escaped) {
            end = this->rest.find('"', end + 1);
            if (end == std::string_view::npos) {
                return 0;
            }
            // A quotation mark is escaped behind an odd number of backslashes.
            std::size_t before = end;
            while (this->rest[before - 1] == '\\') {
                --before;
            }
            escaped = (end - before) % 2 == 1;
        }
        return end - start + 1;
    }

    std::string_view rest;
};

bool has_repeated_name(const std::vector<json_piece>& pieces) {
    auto by_name = [](const json_piece& left, const json_piece& right) {
        return left.name < right.name;
    };
    std::vector<json_piece> sorted;
    const std::vector<json_piece>* ordered = &pieces;
    // Programs write names in order.
    if (!std::is_sorted(pieces.begin(), pieces.end(), by_name)) {
        sorted = pieces;
        std::sort(sorted.begin(), sorted.end(), by_name);
        ordered = &sorted;
    }
    return std::adjacent_find(ordered->begin(), ordered->end(),
                              [](const json_piece& left, const json_piece& right) {
                                  return left.name == right.name;
                              }) != ordered->end();
}

}  // namespace

std::optional<std::vector<json_piece>> split_json_object(std::string_view text) {
    auto members = splitter(text).split('{', '}', true);
    return members && !has_repeated_name(*members) ? members : std::nullopt;
}

std::optional<std::vector<json_piece>> split_json_array(std::string_view text) {
    return splitter(text).split('[', ']', false);
}

std::optional<std::string_view> plain_json_string(std::string_view text) {
    if (text.size() < 2 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    std::string_view characters = text.substr(1, text.size() - 2);
    return is_plain(characters) ? std::optional(characters) : std::nullopt;
}

}  // namespace trefoil
