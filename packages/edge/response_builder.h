// Builds a response from the lines and body bytes that arrive, within size limits: a faulty
// upstream may send endless data in the head or in the body.
//
// Example:
//
//     edge::response_builder response({}, "GET");
//     response.add_line("HTTP/1.1 200 OK\r\n");
//     if (!response.add_body(bytes)) { ... response.loss() ... }

#ifndef TREFOIL_EDGE_RESPONSE_BUILDER_H_
#define TREFOIL_EDGE_RESPONSE_BUILDER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "edge/http_types.h"

namespace trefoil::edge {

// Total bytes of all lines of one response: status lines, headers and trailers, including those of
// interim responses. Four times the limit for a request; common servers limit theirs to less than
// 64 KiB.
constexpr std::size_t max_response_head_bytes = std::size_t{64} << 10U;
// Interim responses (1xx) allowed before the final response. Servers send one 100 and a few 102 or
// 103.
constexpr unsigned max_interim_responses = 16;

struct response_limits {
    std::size_t head_bytes = max_response_head_bytes;
    unsigned interim_responses = max_interim_responses;
    // A frame between daemons has room for a body and a head of maximum size.
    std::size_t body_bytes = max_body_bytes;

    friend bool operator==(const response_limits&, const response_limits&) = default;
};

// Why a request that was sent has no response.
enum class response_loss {
    broken,                      // The connection failed, or the bytes are not an HTTP response.
    head_too_large,              // Above response_limits::head_bytes.
    too_many_interim_responses,  // Above response_limits::interim_responses.
    body_too_large,              // Above response_limits::body_bytes, as received or as declared.
    too_many_bytes,              // Above curl_loop_options::max_transfer_bytes.
    buffer_limit,     // Dropped to stay within upstream_client_options::max_buffered_bytes.
    bad_status_line,  // Not a status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599.
};

// Returns the name used in logs and metrics.
std::string_view loss_name(response_loss loss);

class response_builder {
public:
    response_builder(const response_limits& bounds, std::string_view method);

    // Add one line of the head or the trailer, with its line end, or a part of the body. They
    // return false when the response exceeds a limit; loss() then tells which one.
    bool add_line(std::string_view line);
    bool add_body(std::string_view bytes);

    // Whether the empty line after the headers has arrived.
    bool header_complete() const { return this->complete; }
    // Whether that line ended the headers of the final response.
    bool final_header_complete() const;
    // The value of a header that has arrived, or nothing.
    std::optional<std::string> header(std::string_view name) const {
        return find_header(this->response.headers, name);
    }
    std::optional<response_loss> loss() const { return this->failure; }
    // Bytes of the body that are in memory.
    std::size_t buffered_bytes() const { return this->response.body.size(); }

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
    unsigned interim_count = 0;         // Interim responses received so far.
    unsigned status = 0;                // From the last status line; 0 before it.
    std::uint64_t declared_length = 0;  // Content-Length; 0 when there is none.
    bool complete = false;
    std::optional<response_loss> failure;
};

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_RESPONSE_BUILDER_H_
