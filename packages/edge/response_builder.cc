// Implements response_builder.

#include "edge/response_builder.h"

#include <charconv>
#include <limits>
#include <utility>

#include "base/text.h"

namespace trefoil::edge {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

unsigned parse_status(std::string_view status_line) {
    unsigned status = 0;
    std::size_t space = status_line.find(' ');
    if (space != std::string_view::npos) {
        std::string_view rest = trim(status_line.substr(space));
        std::from_chars(rest.data(), rest.data() + rest.size(), status);
    }
    return status;
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
    this->status = parse_status(status_line);
    if (this->status < status_ok && ++this->interim_count > this->limits.interim_responses) {
        return this->fail(response_loss::too_many_interim_responses);
    }
    return true;
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
