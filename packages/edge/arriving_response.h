// The response to one request while it arrives, within bounds: an upstream in trouble may send
// bytes without end, in the head or in the body.
//
// Example:
//
//     edge::arriving_response response({}, "GET");
//     response.add_line("HTTP/1.1 200 OK\r\n");
//     if (!response.add_body(bytes)) { ... response.loss() ... }

#ifndef TREFOIL_EDGE_ARRIVING_RESPONSE_H_
#define TREFOIL_EDGE_ARRIVING_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "edge/http_types.h"

namespace trefoil::edge {

// Bytes of all lines of one response: status lines, headers and trailers, also those of interim
// responses. Four times what a request may have; common servers keep theirs below 64 KiB.
constexpr std::size_t max_response_head_bytes = std::size_t{64} << 10U;
// Interim responses (1xx) before a response. Servers send one 100 and a few 102 or 103.
constexpr unsigned max_interim_responses = 16;

struct response_limits {
    std::size_t head_bytes = max_response_head_bytes;
    unsigned interim_responses = max_interim_responses;
    // A frame between daemons has room for a body and a head of full size.
    std::size_t body_bytes = max_body_bytes;

    friend bool operator==(const response_limits&, const response_limits&) = default;
};

// Why a request has no response although it was sent.
enum class response_loss {
    broken,               // The connection broke, or the bytes are no response.
    head_too_large,       // Above response_limits::head_bytes.
    interim_without_end,  // Above response_limits::interim_responses.
    body_too_large,       // Above response_limits::body_bytes, as sent or as declared.
    too_many_bytes,       // Above what a response of full size takes on the connection.
    no_room,              // All responses together would take too much memory.
};

// The name for logs and metrics.
std::string_view loss_name(response_loss loss);

class arriving_response {
public:
    arriving_response(const response_limits& bounds, std::string_view method);

    // Take a line of the head or the trailer with its line end, and a part of the body. They return
    // false when the response passes a bound, which loss() names.
    bool add_line(std::string_view line);
    bool add_body(std::string_view bytes);

    // The empty line after the header was seen.
    bool header_complete() const { return this->complete; }
    std::optional<response_loss> loss() const { return this->passed; }
    // Bytes of the body that are in memory.
    std::size_t held_bytes() const { return this->response.body.size(); }

    http_response take(unsigned final_status);

private:
    bool fail(response_loss why);
    bool start_response(std::string_view status_line);
    bool end_header();
    void add_header(std::string_view line);

    const response_limits limits;
    const bool head_request;
    http_response response;
    std::size_t head_bytes = 0;
    unsigned interim = 0;               // Interim responses so far.
    unsigned status = 0;                // Of the last status line; 0 when it has none.
    std::uint64_t declared_length = 0;  // Of the body, by the last header.
    bool complete = false;
    std::optional<response_loss> passed;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_ARRIVING_RESPONSE_H_
