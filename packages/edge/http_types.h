// HTTP requests and responses as the daemon handles them, and the rules for forwarding headers.
//
// Example:
//
//     edge::http_response response{.status = 200, .body = "ok\n"};

#ifndef TREFOIL_EDGE_HTTP_TYPES_H_
#define TREFOIL_EDGE_HTTP_TYPES_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "messages/messages.h"

namespace trefoil::edge {

class memory_reservation;

constexpr std::size_t max_body_bytes = std::size_t{1} << 20U;
constexpr std::size_t max_header_bytes = std::size_t{16} << 10U;

struct http_request {
    std::string method;
    std::string path;   // As received, not percent-decoded.
    std::string query;  // As received, without the question mark.
    std::vector<messages::header> headers;
    std::string body;
    // How long it waited on its connection for earlier requests to be answered.
    std::chrono::steady_clock::duration waited{0};
    std::shared_ptr<memory_reservation> held = nullptr;  // Counts the body; may be null.

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
    unsigned status = 200;
    std::vector<messages::header> headers;
    std::string body;
    bool close_connection = false;

    friend bool operator==(const http_response&, const http_response&) = default;
};

// Returns the value of the first header with this name, ignoring case.
std::optional<std::string> find_header(const std::vector<messages::header>& headers,
                                       std::string_view name);

// Whether a header applies to one connection only (RFC 9110, section 7.6.1), or is computed by the
// HTTP library of each hop.
bool is_hop_by_hop_header(std::string_view name);

// Whether a header is for the mesh only: Authorization, which carries the key, and every header
// that starts with Trefoil-.
bool is_mesh_header(std::string_view name);

// Returns the headers without hop-by-hop and mesh headers.
std::vector<messages::header> forwardable_headers(const std::vector<messages::header>& headers);

// Returns the percent-decoded value of a query parameter, or nothing when it is absent.
std::optional<std::string> query_parameter(std::string_view query, std::string_view name);

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_HTTP_TYPES_H_
