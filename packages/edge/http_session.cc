// Implements http_session with Boost.Beast.

#include "edge/http_session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "base/time.h"

namespace trefoil::edge::detail {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limit on the bytes that are read while a request is handled or answered and that the line does
// not accept. Once it is reached, reading stops and a disconnect of the caller is not detected
// until the response is written.
constexpr std::size_t max_read_ahead_bytes = 64U << 10U;
// Bytes that a request may take per byte of its body limit. A chunk of one byte takes six.
constexpr std::size_t framing_factor = 8;
constexpr std::chrono::seconds linger_timeout{1};
// Bytes that are read and discarded after a response that closes the connection.
constexpr std::size_t max_discarded_bytes = std::size_t{4} << 20U;
// Capacity that an empty receive buffer keeps.
constexpr std::size_t kept_buffer_bytes = std::size_t{4} << 10U;
// Size from which on the capacity for a body in chunks is reserved at once. Its untouched pages are
// not resident, and a body that grows by doubling exists twice while it is copied.
constexpr std::size_t large_body_bytes = std::size_t{64} << 10U;
// Memory of a request besides its body and the receive buffer.
constexpr std::size_t request_overhead_bytes = std::size_t{8} << 10U;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

// Measures how long requests wait. Advances while the machine is suspended, as deadlines do.
const machine_time_source line_clock;

unsigned status_of(const error_code& error) {
    if (error == http::error::header_limit) {
        return status_headers_too_large;
    }
    return error == http::error::body_limit ? status_too_large : status_bad_request;
}

http_request make_request(http::request<http::string_body> message) {
    http_request request;
    request.method = std::string(message.method_string());
    std::string_view target(message.target().data(), message.target().size());
    std::size_t question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string_view::npos) {
        request.query = target.substr(question + 1);
    }
    for (const auto& field : message) {
        request.headers.push_back(
            {.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

}  // namespace

// Connects one request at the handler with its session. The handler may keep it indefinitely, also
// after the session has ended.
class pending_response final : public caller_link,
                               public std::enable_shared_from_this<pending_response> {
public:
    pending_response(std::weak_ptr<http_session> session, io::event_loop& server_loop)
        : target(std::move(session)), loop(server_loop) {}

    void respond(http_response response) override {
        {
            absl::MutexLock lock(&this->mutex);
            if (std::exchange(this->answered, true)) {
                return;
            }
            this->gone_action = nullptr;
        }
        auto shared = std::make_shared<http_response>(std::move(response));
        this->loop.dispatch([kept = this->shared_from_this(), shared] {
            if (auto session = kept->target.lock()) {
                session->deliver(kept.get(), std::move(*shared));
            }
        });
    }

    void on_caller_gone(std::function<void()> action) override {
        {
            absl::MutexLock lock(&this->mutex);
            if (this->answered) {
                return;
            }
            if (!this->gone) {
                this->gone_action = std::move(action);
                return;
            }
        }
        this->loop.post(std::move(action));
    }

    void notify_caller_gone() override {
        std::function<void()> action;
        {
            absl::MutexLock lock(&this->mutex);
            this->gone = true;
            action = std::exchange(this->gone_action, nullptr);
        }
        if (action) {
            action();
        }
    }

private:
    const std::weak_ptr<http_session> target;
    io::event_loop& loop;
    absl::Mutex mutex;
    bool answered = false;              // Guarded by mutex.
    bool gone = false;                  // Guarded by mutex.
    std::function<void()> gone_action;  // Guarded by mutex; null after the response.
};

http_session::http_session(asio::ip::tcp::socket accepted, session_owner& server)
    : socket(std::move(accepted)),
      owner(server),
      waiting_responses(server.memory()),
      phase_start(clock::now()) {}

http_session::~http_session() = default;

void http_session::start() {
    error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);  // For read_available().
    this->promised_idle_timeout = this->owner.limits().idle_timeout;
    this->enter(phase::idle);
    this->read();
}

void http_session::enter(phase next) {
    this->state = next;
    this->phase_start = clock::now();
}

void http_session::read() {
    bool answering = this->state == phase::handling || this->state == phase::responding;
    bool no_memory = this->buffer.size() > 0 && this->lacks_memory();
    bool full = answering && (this->buffer.size() >= max_read_ahead_bytes || no_memory);
    if (this->wait_in_progress || this->state == phase::closed || full) {
        return;
    }
    this->wait_in_progress = true;
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [kept = this->shared_from_this()](const error_code& error) { kept->on_readable(error); });
}

// Appends the bytes that can be read without waiting to the buffer and returns their number.
// Discards them while the connection only waits for its end.
std::size_t http_session::receive(error_code& error) {
    asio::mutable_buffer space = this->owner.read_buffer();
    std::size_t bytes = this->socket.read_some(space, error);
    if (bytes > 0 && this->state == phase::lingering) {
        this->discarded_bytes += bytes;
    } else if (bytes > 0) {
        this->buffer.commit(asio::buffer_copy(this->buffer.prepare(bytes), space, bytes));
        this->last_read = clock::now();
    }
    return bytes;
}

void http_session::on_readable(const error_code& wait_error) {
    this->wait_in_progress = false;
    if (this->state == phase::closed) {
        return;
    }
    if (wait_error == asio::error::operation_aborted && this->close_requested &&
        this->state == phase::idle) {
        this->read_available();
        return;
    }
    error_code error = wait_error;
    if (!error) {
        this->receive(error);
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        this->on_caller_closed();
        return;
    }
    if (this->state == phase::lingering) {
        if (this->discarded_bytes > max_discarded_bytes) {
            this->close();
            return;
        }
    } else {
        this->parse();
    }
    this->read();
}

void http_session::on_caller_closed() {
    this->caller_disconnected = true;
    if (this->state != phase::responding) {
        this->close();
        return;
    }
    // The caller may still read the response that is being written.
    this->line.abandon();
    this->settle_dropped();
}

void http_session::close_gracefully() {
    this->close_requested = true;
    if (this->state == phase::idle) {
        this->close_idle();
    } else if (this->state == phase::receiving && !this->owner.accepts_requests()) {
        this->refuse_during_shutdown();
    } else {
        this->line.close_after_started();
        this->settle_dropped();
    }
}

// Refuses a partly received request.
void http_session::refuse_during_shutdown() {
    this->refuse_received(this->owner.handler().refuse_during_shutdown());
}

// Replaces what was received by a refusal, which closes the connection in its turn. On a line that
// is closing already, nothing is added behind the response that closes it.
void http_session::refuse_received(http_response response) {
    this->discard_received();
    if (!this->line.closing()) {
        this->line.add_refused(std::move(response));
        this->write_ready();
    }
}

void http_session::close_idle() {
    if (this->wait_in_progress) {
        error_code ignored;
        this->socket.cancel(ignored);  // on_readable() continues.
    } else {
        this->read_available();
    }
}

// Reads the bytes in the receive buffer of an idle connection that is to be closed, without
// waiting.
void http_session::read_available() {
    error_code error;
    if (this->receive(error) == 0) {
        this->close();
        return;
    }
    this->parse();
    this->read();
}

bool http_session::may_parse() const {
    return this->buffer.size() > 0 && this->state != phase::lingering &&
           this->state != phase::closed &&
           this->line.accepts(this->parser.has_value() ? this->parsed_bytes : 0);
}

void http_session::parse() {
    while (this->may_parse() && this->parse_request()) {
    }
    if (this->buffer.size() > 0) {
        this->account_buffer();
    }
}

// Returns whether a complete request was parsed.
bool http_session::parse_request() {
    if (!this->parser.has_value()) {
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->header_limit(static_cast<std::uint32_t>(this->owner.limits().header_bytes));
        this->parser->body_limit(this->owner.limits().body_bytes);
        this->parsed_bytes = 0;
        this->continue_due = false;
        if (this->line.empty()) {
            this->enter(phase::receiving);
        }
    }
    bool had_header = this->parser->is_header_done();
    error_code error;
    std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    this->parsed_bytes += used;
    if (error && error != http::error::need_more) {
        this->refuse(status_of(error));
        return false;
    }
    if (!this->account_received() ||
        (this->parser->is_header_done() && !had_header && !this->check_header())) {
        return false;
    }
    if (this->parser->is_done()) {
        this->add_request();
        return true;
    }
    if (!this->owner.accepts_requests()) {
        this->refuse_during_shutdown();
    } else if (this->exceeds_limit()) {
        this->refuse(status_headers_too_large);
    }
    return false;
}

// Whether an incomplete request exceeds its limits. The parser limits neither the length of a chunk
// header and of the trailer, which it leaves in the buffer until they are complete, nor the total
// size of all chunk extensions.
bool http_session::exceeds_limit() const {
    const server_limits& limits = this->owner.limits();
    return this->buffer.size() > limits.header_bytes ||
           this->parsed_bytes >
               limits.header_bytes + session_owner::read_bytes + framing_factor * limits.body_bytes;
}

// Counts the bytes of the request that is being received. Returns false when there is no room, and
// the request was refused.
bool http_session::account_received() {
    std::string& body = this->parser->get().body();
    if (body.size() >= large_body_bytes) {
        body.reserve(this->owner.limits().body_bytes);
    }
    if (this->held == nullptr) {
        this->held = std::make_shared<memory_reservation>(this->owner.memory());
    }
    std::size_t total = request_overhead_bytes + this->buffer.capacity() + body.size();
    while (!this->held->resize(total)) {
        if (!this->owner.make_room(*this)) {
            this->drop_request();
            return false;
        }
        if (!this->parser.has_value()) {
            return false;  // Making room has ended this request, too.
        }
    }
    return true;
}

// Counts the bytes that were read ahead, which are in memory already, with the request that is
// being received.
void http_session::account_buffer() {
    if (this->held == nullptr) {
        this->held = std::make_shared<memory_reservation>(this->owner.memory());
    }
    std::size_t parsed =
        this->parser.has_value() ? request_overhead_bytes + this->parser->get().body().size() : 0;
    this->held->resize_unchecked(parsed + this->buffer.capacity());
}

std::size_t http_session::incomplete_bytes() const {
    return this->parser.has_value() && this->held != nullptr ? this->held->size() : 0;
}

void http_session::drop_request() {
    if (this->owner.memory() != nullptr) {
        this->owner.memory()->count_dropped_request();
    }
    this->refuse_received(this->owner.handler().refuse_without_memory());
}

// Checks a request whose headers are complete. Returns false when it was refused.
bool http_session::check_header() {
    const auto& message = this->parser->get();
    // With several Host headers, the next hop could choose another one than this daemon.
    if (message.count(http::field::host) > 1) {
        this->refuse(status_bad_request);
        return false;
    }
    this->continue_due = message[http::field::expect] == "100-continue" && !this->parser->is_done();
    this->send_due_continue();
    return true;
}

// An interim response is sent in the turn of its request, too.
void http_session::send_due_continue() {
    if (this->state == phase::receiving && std::exchange(this->continue_due, false)) {
        this->send(std::string(continue_response), [] {});
    }
}

void http_session::refuse(unsigned status) {
    this->refuse_received(this->owner.handler().refuse(status));
}

// Whether the caller closed the connection after the bytes that were read. When the loop is
// overloaded, the close would otherwise be read only after the request was forwarded.
bool http_session::has_caller_closed() {
    char byte = 0;
    error_code error;
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

void http_session::add_request() {
    auto message = this->parser->release();
    this->parser.reset();
    bool keep_alive = message.keep_alive();
    bool head = message.method() == http::verb::head;
    this->held->resize(request_overhead_bytes + message.body().size());
    auto request_memory = std::exchange(this->held, nullptr);
    this->release_buffer();
    http_request request = make_request(std::move(message));
    request.held = std::move(request_memory);
    bool may_run_ahead = this->owner.handler().may_run_ahead(request);
    this->line.add({.request = std::move(request),
                    .may_run_ahead = may_run_ahead,
                    .keep_alive = keep_alive,
                    .head = head,
                    .bytes = this->parsed_bytes,
                    .arrived = line_clock.now()});
    if (this->state == phase::receiving) {
        this->enter(phase::handling);
    }
    this->start_requests();
}

// Passes on the requests that are due.
void http_session::start_requests() {
    while (this->line.can_start()) {
        if (this->has_caller_closed()) {
            this->on_caller_closed();
            return;
        }
        if (this->line.next_is_ahead() && this->must_close()) {
            this->line.close_after_started();
        }
        if (!this->line.can_start() || (this->line.next_is_ahead() && this->lacks_memory())) {
            break;  // What may not run ahead is passed on when the responses before it are written.
        }
        if (!this->owner.accepts_requests()) {
            this->line.refuse_next(this->owner.handler().refuse_during_shutdown());
            break;
        }
        auto link = std::make_shared<pending_response>(this->weak_from_this(), this->owner.loop());
        if (this->line.next_is_ahead()) {
            this->owner.count_ran_ahead();
        }
        http_request request = this->line.start(link, line_clock.now());
        this->owner.handler().handle(std::move(request), std::move(link));
    }
    this->write_ready();
}

// Whether the connection is closed after the requests that were passed on.
bool http_session::must_close() const {
    return this->close_requested || this->owner.keep_alive_disabled();
}

// Notifies later, because what the handler frees then is passed to other sessions, which may drop
// the request that this or an outer call is receiving.
void http_session::settle_dropped() {
    if (std::size_t count = this->line.take_dropped_count(); count > 0) {
        this->owner.count_dropped(count);
    }
    for (const auto& each : this->line.take_dropped()) {
        this->owner.loop().post([each] { each->notify_caller_gone(); });
    }
}

void http_session::deliver(const caller_link* from, http_response response) {
    if (!this->line.finish(from, std::move(response))) {
        return;
    }
    this->write_ready();
    this->settle_dropped();
    if (this->lacks_memory()) {
        this->owner.make_room(*this);
    }
}

bool http_session::lacks_memory() const {
    memory_account* memory = this->owner.memory();
    return memory != nullptr && memory->exceeded();
}

std::size_t http_session::request_count() const {
    switch (this->state) {
        case phase::closed:
            return 0;
        case phase::lingering:
            return 1;
        default: {
            bool receiving = this->parser.has_value() || this->buffer.size() > 0;
            return this->line.size() + (receiving && !this->line.closing() ? 1 : 0);
        }
    }
}

void http_session::refuse_pending(unsigned status) {
    this->line.close_after_started();
    for (const auto& each : this->line.unanswered()) {
        each->respond(this->owner.handler().refuse(status));
    }
}

// A response that is being written.
struct http_session::outgoing_response {
    outgoing_response(http::response<http::string_body> given, bool keep, memory_account* account)
        : message(std::move(given)),
          serializer(this->message),
          keep_connection(keep),
          held(account) {
        this->held.resize_unchecked(this->message.body().size());
    }

    http::response<http::string_body> message;
    http::response_serializer<http::string_body> serializer;
    const bool keep_connection;
    memory_reservation held;
};

// Writes the response that is due, if it has arrived.
void http_session::write_ready() {
    if (this->line.has_ready()) {
        if (this->must_close()) {
            this->line.close_after_started();
        }
        this->write(this->line.take_ready());
    }
    this->waiting_responses.resize_unchecked(this->line.response_bytes());
}

void http_session::write(ready_response ready) {
    this->enter(phase::responding);
    this->promised_idle_timeout = this->owner.limits().idle_timeout;
    http_response& response = ready.response;
    bool bodiless = response.status == status_no_content || response.status == status_not_modified;
    http::response<http::string_body> message;
    message.result(response.status);
    for (const messages::header& each : response.headers) {
        message.insert(each.name, each.value);
    }
    message.keep_alive(ready.keep_connection);
    if (!bodiless && !ready.head) {
        message.body() = std::move(response.body);
        message.prepare_payload();
    }
    if (!ready.keep_connection) {
        this->discard_received();
    }
    this->write_some(std::make_shared<outgoing_response>(std::move(message), ready.keep_connection,
                                                         this->owner.memory()));
}

// Frees what was received on a connection that is to be closed.
void http_session::discard_received() {
    this->parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->held.reset();
}

// Writes in steps, so that the time limit restarts with each step.
void http_session::write_some(const std::shared_ptr<outgoing_response>& response) {
    http::async_write_some(
        this->socket, response->serializer,
        [kept = this->shared_from_this(), response](const error_code& error, std::size_t) {
            if (error) {
                kept->close();
            } else if (response->serializer.is_done()) {
                kept->on_written(response->keep_connection);
            } else if (kept->state == phase::responding) {
                kept->enter(phase::responding);
                kept->write_some(response);
            }
        });
}

void http_session::send(std::string bytes, std::function<void()> then) {
    auto kept_bytes = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(this->socket, asio::buffer(*kept_bytes),
                      [kept = this->shared_from_this(), kept_bytes, then = std::move(then)](
                          const error_code& error, std::size_t) {
                          if (!error) {
                              then();
                          }
                      });
}

void http_session::on_written(bool keep_connection) {
    if (this->state != phase::responding) {
        return;
    }
    this->line.on_written();
    if (this->caller_disconnected) {
        this->close();
    } else if (!keep_connection) {
        this->linger();
    } else {
        this->begin_next();
    }
}

// Continues with what was received behind a request that is answered.
void http_session::begin_next() {
    if (!this->line.empty()) {
        this->enter(phase::handling);
        this->start_requests();
    } else if (!this->parser.has_value()) {
        this->enter(phase::idle);
        this->release_buffer();
    } else {
        this->enter(phase::receiving);
        if (!this->owner.accepts_requests()) {
            this->refuse_during_shutdown();
        }
        this->send_due_continue();
    }
    this->parse();
    this->read();
    if (this->close_requested && this->state == phase::idle) {
        this->close_idle();
    }
}

// Frees the memory of an empty buffer, except a little that saves most requests an allocation.
void http_session::release_buffer() {
    if (this->buffer.size() == 0 && this->buffer.capacity() > kept_buffer_bytes) {
        this->buffer.shrink_to_fit();
    }
    if (this->buffer.size() == 0) {
        this->held.reset();
    }
}

// Closing a socket with unread bytes would reset the connection, and the caller could lose the
// response. So received bytes are discarded until the caller closes its side.
void http_session::linger() {
    this->enter(phase::lingering);
    this->discard_received();
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->read();
}

// Whether the caller makes no progress while the server stops. The regular time limits can be much
// longer than the time allowed for a stop.
bool http_session::stalls_shutdown(clock::time_point now) const {
    return this->owner.closes_idle_connections() &&
           now - this->last_progress() > this->owner.stall_timeout();
}

void http_session::enforce_timeouts(clock::time_point now) {
    const server_limits& limits = this->owner.limits();
    auto waited = now - this->phase_start;
    switch (this->state) {
        case phase::idle:
            if (waited > std::max(limits.idle_timeout, this->promised_idle_timeout) ||
                (this->owner.closes_idle_connections() && waited > http_server::idle_close_delay)) {
                this->close_gracefully();
            }
            break;
        case phase::responding:
            if (waited > limits.idle_timeout || this->stalls_shutdown(now)) {
                this->close();
            }
            break;
        case phase::receiving: {
            bool in_body = this->parser.has_value() && this->parser->is_header_done();
            auto allowed =
                in_body ? limits.header_timeout + limits.idle_timeout : limits.header_timeout;
            bool stopped = in_body && now - this->last_progress() > limits.idle_timeout;
            if (waited > allowed || stopped || this->stalls_shutdown(now)) {
                this->refuse(status_request_timeout);
            }
            break;
        }
        case phase::lingering:
            if (waited > linger_timeout) {
                this->close();
            }
            break;
        case phase::handling:
        case phase::closed:
            break;
    }
}

void http_session::close() {
    if (this->state == phase::closed) {
        return;
    }
    auto kept = this->shared_from_this();
    this->line.abandon();
    this->enter(phase::closed);
    this->discard_received();
    error_code ignored;
    this->socket.close(ignored);
    this->owner.on_closed(kept);
    this->settle_dropped();
}

}  // namespace trefoil::edge::detail
