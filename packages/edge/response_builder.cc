// Implements response_builder.

#include "edge/response_builder.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "base/text.h"

namespace trefoil::edge {

namespace {

constexpr unsigned status_switching_protocols = 101;
constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

// Returns nothing for a line other than "HTTP/1.0" or "HTTP/1.1", a space, a status from 100 to 599
// in three digits, and nothing or a space with a reason. Libcurl accepts more: other versions,
// after which it shares the connection between requests, and statuses of other lengths.
std::optional<unsigned> parse_status(std::string_view status_line) {
    constexpr std::size_t status_start = 9;
    constexpr std::size_t status_digits = 3;
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    bool known_version =
        status_line.starts_with("HTTP/1.0 ") || status_line.starts_with("HTTP/1.1 ");
    std::string_view rest = status_line.substr(std::min(status_line.size(), status_start));
    unsigned status = 0;
    const char* end = rest.data() + std::min(rest.size(), status_digits);
    auto parsed = std::from_chars(rest.data(), end, status);
    bool three_digits =
        rest.size() >= status_digits && parsed.ec == std::errc() && parsed.ptr == end;
    bool ends_there = rest.size() == status_digits ||
                      (rest.size() > status_digits &&
                       (rest[status_digits] == ' ' || rest[status_digits] == '\r' ||
                        rest[status_digits] == '\n'));
    bool valid =
        known_version && three_digits && ends_there && status >= min_status && status <= max_status;
    return valid ? std::optional(status) : std::nullopt;
}

bool allows_body(unsigned status) {
    return status >= status_ok && status != status_no_content && status != status_not_modified;
}

// Returns the maximum for a number that is out of range, and 0 for text that is not a number.
std::uint64_t parse_content_length(std::string_view text) {
    std::uint64_t length = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    return parsed.ec == std::errc::result_out_of_range ? std::numeric_limits<std::uint64_t>::max()
                                                       : length;
}

}  // namespace

std::string_view loss_name(response_loss loss) {
    switch (loss) {
        case response_loss::head_too_large:
            return "response_head_too_large";
        case response_loss::too_many_interim_responses:
            return "response_interim_without_end";
        case response_loss::body_too_large:
            return "response_body_too_large";
        case response_loss::too_many_bytes:
            return "response_too_many_bytes";
        case response_loss::buffer_limit:
            return "response_no_room";
        case response_loss::bad_status_line:
            return "response_bad_status_line";
        case response_loss::broken:
            break;
    }
    return "upstream_failed";
}

response_builder::response_builder(const response_limits& bounds, std::string_view method)
    : limits(bounds), head_request(method == "HEAD") {}

bool response_builder::add_line(std::string_view line) {
    this->head_bytes += line.size();
    if (this->head_bytes > this->limits.head_bytes) {
        return this->fail(response_loss::head_too_large);
    }
    if (line.substr(0, 5) == "HTTP/") {
        return this->start_response(line);
    }
    if (trim(line).empty()) {
        return this->end_header();
    }
    this->add_header(line);
    return true;
}

// A status line after the first one follows an interim response.
bool response_builder::start_response(std::string_view status_line) {
    this->response.headers.clear();
    this->complete = false;
    this->declared_length = 0;
    auto stated = parse_status(status_line);
    if (!stated.has_value()) {
        return this->fail(response_loss::bad_status_line);
    }
    this->status = *stated;
    // No request asks for another protocol, whose bytes libcurl would return as a body.
    if (this->status == status_switching_protocols) {
        return this->fail(response_loss::bad_status_line);
    }
    if (this->status < status_ok && ++this->interim_count > this->limits.interim_responses) {
        return this->fail(response_loss::too_many_interim_responses);
    }
    return true;
}

bool response_builder::final_header_complete() const {
    return this->complete && this->status >= status_ok;
}

bool response_builder::end_header() {
    this->complete = true;
    bool body_follows = allows_body(this->status) && !this->head_request;
    return !body_follows || this->declared_length <= this->limits.body_bytes ||
           this->fail(response_loss::body_too_large);
}

void response_builder::add_header(std::string_view line) {
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    std::string_view name = line.substr(0, colon);
    std::string_view value = trim(line.substr(colon + 1));
    if (equal_ignoring_case(name, "Content-Length")) {
        this->declared_length = parse_content_length(value);
    }
    this->response.headers.push_back({.name = std::string(name), .value = std::string(value)});
}

bool response_builder::add_body(std::string_view bytes) {
    if (this->response.body.size() + bytes.size() > this->limits.body_bytes) {
        return this->fail(response_loss::body_too_large);
    }
    this->response.body.append(bytes);
    return true;
}

bool response_builder::fail(response_loss why) {
    this->failure = why;
    return false;
}

http_response response_builder::take(unsigned final_status) {
    this->response.status = final_status;
    return std::move(this->response);
}

}  // namespace trefoil::edge
