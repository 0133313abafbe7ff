// Implements the splitting of JSON with simdjson's on-demand parser, which finds the end of a value
// without parsing it.

#include "base/json_pieces.h"

#include <simdjson.h>

#include <algorithm>
#include <cstddef>

namespace trefoil {

namespace {

namespace ondemand = simdjson::ondemand;

// Whether `text` has only printable ASCII characters that need no escape in a JSON string.
bool is_plain(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= ' ' && c < 0x7f && c != '"' && c != '\\'; });
}

// Whether `text` is a scalar that means the same on its own as inside a larger document. Parsers
// skip some characters, such as a byte order mark or a NUL, at the start or end of a document but
// reject them within one; scalars other than strings must therefore consist of plain characters.
bool is_standalone_scalar(std::string_view text) {
    bool is_string = !text.empty() && text.front() == '"';
    return !text.empty() && (is_string || is_plain(text));
}

// Splits one text. Its functions throw simdjson_error when the text is malformed.
class splitter {
public:
    explicit splitter(std::string_view given)
        : text(given), padded(given), document(parser().iterate(this->padded)) {}

    std::vector<json_piece> split_object() {
        std::vector<json_piece> pieces;
        for (ondemand::field member : this->document.get_object()) {
            const char* name = member.key().raw();
            std::size_t end = this->padded_text().find('"', this->offset_of(name));
            pieces.push_back({.name = this->original(name, end - this->offset_of(name)),
                              .text = this->text_of(member.value())});
        }
        this->require_end();
        return pieces;
    }

    std::vector<json_piece> split_array() {
        std::vector<json_piece> pieces;
        for (ondemand::value element : this->document.get_array()) {
            pieces.push_back({.name = {}, .text = this->text_of(element)});
        }
        this->require_end();
        return pieces;
    }

private:
    static ondemand::parser& parser() {
        thread_local ondemand::parser instance;
        return instance;
    }

    std::string_view padded_text() const { return {this->padded.data(), this->padded.size()}; }

    std::size_t offset_of(const char* position) const {
        return static_cast<std::size_t>(position - this->padded.data());
    }

    // Returns the range of the original text that corresponds to `size` bytes at `begin` in the
    // padded copy.
    std::string_view original(const char* begin, std::size_t size) const {
        return this->text.substr(this->offset_of(begin), size);
    }

    std::string_view text_of(ondemand::value value) const {
        bool nested = value.type() == ondemand::json_type::object ||
                      value.type() == ondemand::json_type::array;
        std::string_view found = simdjson::to_json_string(value);
        if (!nested && !is_standalone_scalar(found)) {
            throw simdjson::simdjson_error(simdjson::TAPE_ERROR);
        }
        return this->original(found.data(), found.size());
    }

    void require_end() {
        if (this->document.current_location().error() != simdjson::OUT_OF_BOUNDS) {
            throw simdjson::simdjson_error(simdjson::TRAILING_CONTENT);
        }
    }

    const std::string_view text;
    const simdjson::padded_string padded;  // simdjson may read past the end of its input.
    ondemand::document document;
};

bool has_duplicate_name(const std::vector<json_piece>& pieces) {
    auto by_name = [](const json_piece& left, const json_piece& right) {
        return left.name < right.name;
    };
    std::vector<json_piece> sorted;
    const std::vector<json_piece>* ordered = &pieces;
    // Documents written by programs usually have sorted names already, which saves the copy.
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
    try {
        std::vector<json_piece> members = splitter(text).split_object();
        bool readable = std::all_of(members.begin(), members.end(),
                                    [](const json_piece& each) { return is_plain(each.name); });
        return readable && !has_duplicate_name(members) ? std::optional(std::move(members))
                                                        : std::nullopt;
    } catch (const simdjson::simdjson_error&) {
        return std::nullopt;  // The caller falls back to a parser, which reports the error.
    }
}

std::optional<std::vector<json_piece>> split_json_array(std::string_view text) {
    try {
        return splitter(text).split_array();
    } catch (const simdjson::simdjson_error&) {
        return std::nullopt;
    }
}

std::optional<std::string_view> plain_json_string(std::string_view text) {
    if (text.size() < 2 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    std::string_view characters = text.substr(1, text.size() - 2);
    return is_plain(characters) ? std::optional(characters) : std::nullopt;
}

}  // namespace trefoil
