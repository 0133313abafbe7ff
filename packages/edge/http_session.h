// One connection of a caller: reads requests one after the other, hands each to the handler and
// writes its response. Internal to the package.

#ifndef TREFOIL_EDGE_HTTP_SESSION_H_
#define TREFOIL_EDGE_HTTP_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "edge/http_server.h"

namespace trefoil::edge::detail {

class http_session;
class pending_response;

// What a session needs of its server. Used on the loop only.
class session_owner {
public:
    virtual ~session_owner() = default;
    virtual const server_limits& limits() const = 0;
    virtual request_handler& handler() = 0;
    virtual io::event_loop& loop() = 0;
    // Whether callers are asked to leave.
    virtual bool closing() const = 0;
    // Whether a connection is closed as soon as it has no request.
    virtual bool closes_idle() const = 0;
    virtual void on_closed(const std::shared_ptr<http_session>& session) = 0;
};

// Used on the loop only.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    using clock = std::chrono::steady_clock;

    http_session(boost::asio::ip::tcp::socket accepted, session_owner& server);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();
    // Closes the connection when it has waited for too long.
    void check_time(clock::time_point now);
    // No byte of a request has arrived since the last response.
    bool idle() const { return this->state == phase::idle; }
    clock::time_point idle_since() const { return this->since; }
    // The handler has the request and has not answered.
    bool handling() const { return this->state == phase::handling; }
    bool has_request() const { return this->state != phase::idle && this->state != phase::closed; }
    // Answers the request that waits, with `status`, and closes the connection afterwards.
    void refuse_waiting(unsigned status);
    void close();

    // The response to the request that `from` stands for.
    void deliver(const pending_response* from, http_response response);

private:
    enum class phase { idle, receiving, handling, responding, lingering, closed };
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void on_read(const boost::system::error_code& error, std::size_t bytes);
    void parse();
    bool accept_header();
    bool passes_limit() const;
    void refuse(unsigned status);
    void hand_over();
    void write(http_response response, bool keep_connection);
    void send(std::string bytes, std::function<void()> then);
    void on_written(bool keep_connection);
    void linger();
    void enter(phase next);

    boost::asio::ip::tcp::socket socket;
    session_owner& owner;
    boost::beast::flat_buffer buffer;           // Bytes that arrived and were not parsed.
    std::optional<parser_type> parser;          // Of the request that arrives.
    std::size_t parsed_bytes = 0;               // Likewise.
    std::shared_ptr<pending_response> waiting;  // Set while the handler has the request.
    phase state = phase::idle;
    clock::time_point since;  // When the phase began.
    bool reading = false;     // Whether a read is in progress.
    bool caller_left = false;
    bool keep_alive = true;  // Of the request that was read last.
    bool head_request = false;
};

}  // namespace trefoil::edge::detail

#endif  // TREFOIL_EDGE_HTTP_SESSION_H_
