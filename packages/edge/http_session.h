// One connection of a caller: reads requests, passes them to the handler and writes their responses
// in the same order. request_line decides when a request is passed on. Internal to the package.

#ifndef TREFOIL_EDGE_HTTP_SESSION_H_
#define TREFOIL_EDGE_HTTP_SESSION_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "edge/http_server.h"
#include "edge/request_line.h"

namespace trefoil::edge::detail {

class http_session;

// What a session needs from its server. Used on the loop only.
class session_owner {
public:
    // Size of read_buffer().
    static constexpr std::size_t read_bytes = std::size_t{16} << 10U;

    virtual ~session_owner() = default;
    virtual const server_limits& limits() const = 0;
    virtual request_handler& handler() = 0;
    virtual io::event_loop& loop() = 0;
    // Receives the bytes of one read. Shared by all sessions, because a read does not wait and its
    // bytes are copied at once.
    virtual boost::asio::mutable_buffer read_buffer() = 0;
    // Whether every response must close its connection.
    virtual bool keep_alive_disabled() const = 0;
    // Whether connections are closed that have been idle for idle_close_delay. True after
    // http_server::stop_accepting().
    virtual bool closes_idle_connections() const = 0;
    // How long a caller may make no progress while closes_idle_connections() is true.
    virtual std::chrono::milliseconds stall_timeout() const = 0;
    // Whether requests are still passed to the handler. Otherwise they are refused with
    // request_handler::refuse_during_shutdown().
    virtual bool accepts_requests() const = 0;
    // Count requests for http_server::pipelining().
    virtual void count_ran_ahead() = 0;
    virtual void count_dropped(std::size_t requests) = 0;
    // Null: memory is not bounded.
    virtual memory_account* memory() = 0;
    // Drops another connection's request or response to make room for `asking`. Returns false if
    // `asking` itself has to yield.
    virtual bool make_room(const http_session& asking) = 0;
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
    // Closes the connection or refuses the request when a time limit of the current phase has
    // passed.
    void enforce_timeouts(clock::time_point now);
    // Closes the connection after the responses to the requests that were passed to the handler, or
    // after the response to one that is in the receive buffer; an idle connection is closed at
    // once. The receive buffer is read first, because a close with unread bytes would lose a
    // request. When the server accepts no more requests, a partly received request is refused.
    void close_gracefully();
    // No byte of a request has arrived since the last response.
    bool idle() const { return this->state == phase::idle; }
    clock::time_point phase_began() const { return this->phase_start; }
    // See http_server::pending_requests().
    std::size_t request_count() const;
    // Answers the requests that are being handled with `status` and closes the connection
    // afterwards.
    void refuse_pending(unsigned status);
    void close();

    // Bytes of an incomplete request in memory; 0 if there is none.
    std::size_t incomplete_bytes() const;
    // A response is being written of which the caller reads nothing.
    bool writing() const { return this->state == phase::responding; }
    // A request is incomplete, and none before it is unanswered.
    bool receiving() const { return this->state == phase::receiving; }
    // The last response is written, and the caller has not closed its side.
    bool lingering() const { return this->state == phase::lingering; }
    // When the caller took the last bytes of the response that is being written, or, without one,
    // when the last bytes arrived. What a caller sends does not show that it reads.
    clock::time_point last_progress() const {
        return this->writing() ? this->phase_start : std::max(this->phase_start, this->last_read);
    }
    // Refuses the incomplete request, which frees its memory.
    void drop_request();

    // Writes the response to the request that `from` represents, once it is due.
    void deliver(const caller_link* from, http_response response);

private:
    struct outgoing_response;
    // Follows the first request in the line; further ones may be received at the same time.
    enum class phase { idle, receiving, handling, responding, lingering, closed };
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void on_readable(const boost::system::error_code& error);
    std::size_t receive(boost::system::error_code& error);
    void close_idle();
    void read_available();
    bool may_parse() const;
    void parse();
    bool parse_request();
    bool check_header();
    void send_due_continue();
    bool account_received();
    void account_buffer();
    void release_buffer();
    bool lacks_memory() const;
    void discard_received();
    bool exceeds_limit() const;
    void refuse(unsigned status);
    void refuse_during_shutdown();
    void refuse_received(http_response response);
    bool has_caller_closed();
    void on_caller_closed();
    void add_request();
    void start_requests();
    bool must_close() const;
    void settle_dropped();
    void write_ready();
    void write(ready_response ready);
    void write_some(const std::shared_ptr<outgoing_response>& response);
    void send(std::string bytes, std::function<void()> then);
    void on_written(bool keep_connection);
    void begin_next();
    void linger();
    void enter(phase next);
    bool stalls_shutdown(clock::time_point now) const;

    boost::asio::ip::tcp::socket socket;
    session_owner& owner;
    // Received bytes that are not parsed yet. No pending operation refers to it, so that requests
    // can be parsed and consumed at any time.
    boost::beast::flat_buffer buffer;
    std::optional<parser_type> parser;  // Parses the request that is being received.
    std::size_t parsed_bytes = 0;       // Bytes of that request parsed so far.
    bool continue_due = false;          // That request waits for "100 Continue".
    // The requests that were received and whose responses are not written. Empty in the phases idle
    // and receiving.
    request_line line;
    // Counts the buffer and the body of the request that is being received.
    std::shared_ptr<memory_reservation> held;
    std::size_t discarded_bytes = 0;       // In phase lingering.
    memory_reservation waiting_responses;  // Counts the responses in the line.
    phase state = phase::idle;
    clock::time_point phase_start;  // When the phase began.
    clock::time_point last_read;    // When the last bytes arrived.
    // The idle timeout that was in force when the last response began, or when the connection was
    // opened. A lower timeout set later does not apply, since the caller may rely on this one.
    std::chrono::milliseconds promised_idle_timeout{0};
    bool wait_in_progress = false;  // For bytes to read.
    bool close_requested = false;   // See close_gracefully().
    bool caller_disconnected = false;
};

}  // namespace trefoil::edge::detail

#endif  // TREFOIL_EDGE_HTTP_SESSION_H_
