// Implements the bounds of a response.

#include "edge/arriving_response.h"

#include <charconv>
#include <limits>
#include <utility>

#include "base/text.h"

namespace trefoil::edge {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

unsigned status_of(std::string_view status_line) {
    unsigned status = 0;
    std::size_t space = status_line.find(' ');
    if (space != std::string_view::npos) {
        std::string_view rest = trim(status_line.substr(space));
        std::from_chars(rest.data(), rest.data() + rest.size(), status);
    }
    return status;
}

bool has_body(unsigned status) {
    return status >= status_ok && status != status_no_content && status != status_not_modified;
}

// A number that does not fit counts as the largest one, and a text that is no number as none.
std::uint64_t length_of(std::string_view text) {
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
        case response_loss::interim_without_end:
            return "response_interim_without_end";
        case response_loss::body_too_large:
            return "response_body_too_large";
        case response_loss::too_many_bytes:
            return "response_too_many_bytes";
        case response_loss::no_room:
            return "response_no_room";
        case response_loss::broken:
            break;
    }
    return "upstream_failed";
}

arriving_response::arriving_response(const response_limits& bounds, std::string_view method)
    : limits(bounds), head_request(method == "HEAD") {}

bool arriving_response::add_line(std::string_view line) {
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

// A later status line follows an interim response.
bool arriving_response::start_response(std::string_view status_line) {
    this->response.headers.clear();
    this->complete = false;
    this->declared_length = 0;
    this->status = status_of(status_line);
    if (this->status < status_ok && ++this->interim > this->limits.interim_responses) {
        return this->fail(response_loss::interim_without_end);
    }
    return true;
}

bool arriving_response::end_header() {
    this->complete = true;
    bool body_follows = has_body(this->status) && !this->head_request;
    return !body_follows || this->declared_length <= this->limits.body_bytes ||
           this->fail(response_loss::body_too_large);
}

void arriving_response::add_header(std::string_view line) {
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    std::string_view name = line.substr(0, colon);
    std::string_view value = trim(line.substr(colon + 1));
    if (equal_ignoring_case(name, "Content-Length")) {
        this->declared_length = length_of(value);
    }
    this->response.headers.push_back({.name = std::string(name), .value = std::string(value)});
}

bool arriving_response::add_body(std::string_view bytes) {
    if (this->response.body.size() + bytes.size() > this->limits.body_bytes) {
        return this->fail(response_loss::body_too_large);
    }
    this->response.body.append(bytes);
    return true;
}

bool arriving_response::fail(response_loss why) {
    this->passed = why;
    return false;
}

http_response arriving_response::take(unsigned final_status) {
    this->response.status = final_status;
    return std::move(this->response);
}

}  // namespace trefoil::edge
