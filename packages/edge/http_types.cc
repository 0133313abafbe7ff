// Implements the header and query functions.

#include "edge/http_types.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "base/text.h"

namespace trefoil::edge {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers = {"connection",
                                                                 "keep-alive",
                                                                 "proxy-authenticate",
                                                                 "proxy-authorization",
                                                                 "proxy-connection",
                                                                 "te",
                                                                 "trailer",
                                                                 "transfer-encoding",
                                                                 "upgrade",
                                                                 "content-length"};

constexpr std::string_view mesh_prefix = "trefoil-";

std::string decode_percent(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        bool escaped =
            text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ptr == &text[i + 1] + 2;
        if (escaped) {
            decoded.push_back(static_cast<char>(value));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

}  // namespace

std::optional<std::string> find_header(const std::vector<messages::header>& headers,
                                       std::string_view name) {
    for (const messages::header& each : headers) {
        if (equal_ignoring_case(each.name, name)) {
            return each.value;
        }
    }
    return std::nullopt;
}

bool is_hop_by_hop_header(std::string_view name) {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [name](std::string_view hop) { return equal_ignoring_case(hop, name); });
}

bool is_mesh_header(std::string_view name) {
    return equal_ignoring_case(name, "authorization") ||
           starts_with_ignoring_case(name, mesh_prefix);
}

std::vector<messages::header> forwardable_headers(const std::vector<messages::header>& headers) {
    std::vector<messages::header> kept;
    for (const messages::header& each : headers) {
        if (!is_hop_by_hop_header(each.name) && !is_mesh_header(each.name)) {
            kept.push_back(each);
        }
    }
    return kept;
}

std::optional<std::string> query_parameter(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        std::size_t end = query.find('&');
        std::string_view pair = query.substr(0, end);
        std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : decode_percent(pair.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return std::nullopt;
}

}  // namespace trefoil::edge
