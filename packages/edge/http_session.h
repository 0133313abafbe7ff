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
    // Whether connections are closed that have been unused for settle_time.
    virtual bool closes_unused() const = 0;
    // How long a caller may neither send nor take a byte while such connections are closed.
    virtual std::chrono::milliseconds stall_limit() const = 0;
    // Whether requests still go to the handler; otherwise they are refused as late.
    virtual bool takes_requests() const = 0;
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
    // Ends the connection when it has waited for too long.
    void check_time(clock::time_point now);
    // Ends the connection after the response to the request that it has, or that has arrived and
    // was not read. Without one it is closed. A close with bytes unread would lose a request. When
    // the server takes no requests any more, a part of one is refused.
    void end();
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
    struct outgoing_response;
    enum class phase { idle, receiving, handling, responding, lingering, closed };
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void on_read(const boost::system::error_code& error, std::size_t bytes);
    void end_idle();
    void read_last();
    void parse();
    bool accept_header();
    bool passes_limit() const;
    void refuse(unsigned status);
    void refuse_during_shutdown();
    bool caller_has_left();
    void hand_over();
    void write(http_response response, bool keep_connection);
    void write_some(const std::shared_ptr<outgoing_response>& response);
    void send(std::string bytes, std::function<void()> then);
    void on_written(bool keep_connection);
    void linger();
    void enter(phase next);
    bool holds_stop(clock::time_point now) const;

    boost::asio::ip::tcp::socket socket;
    session_owner& owner;
    boost::beast::flat_buffer buffer;           // Bytes that arrived and were not parsed.
    std::optional<parser_type> parser;          // Of the request that arrives.
    std::size_t parsed_bytes = 0;               // Likewise.
    std::shared_ptr<pending_response> waiting;  // Set while the handler has the request.
    phase state = phase::idle;
    clock::time_point since;      // When the phase began.
    clock::time_point last_read;  // When the last bytes arrived.
    // The idle time that was in force when the last response began, or the connection. Its caller
    // may count on it.
    std::chrono::milliseconds idle_limit{0};
    bool reading = false;  // Whether a read is in progress.
    bool ending = false;   // Whether no further request is taken after the present one.
    bool caller_left = false;
    bool keep_alive = true;  // Of the request that was read last.
    bool head_request = false;
};

}  // namespace trefoil::edge::detail

#endif  // TREFOIL_EDGE_HTTP_SESSION_H_
