// Implements the server: accepting, the set of connections and their time limits.

#include "edge/http_server.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <set>
#include <utility>

#include "base/log.h"
#include "edge/http_session.h"

namespace trefoil::edge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr unsigned status_unavailable = 503;
constexpr int listen_backlog = 1024;
// Interval between checks of the time limits; a limit is exceeded by at most this time.
constexpr std::chrono::milliseconds check_interval{250};
// Delay after a failed accept, for example when the process has no file descriptors left.
constexpr std::chrono::milliseconds accept_retry_delay{50};
// How long stop() waits for responses to be written and callers to close their connections.
constexpr std::chrono::milliseconds flush_timeout{150};
constexpr std::chrono::milliseconds flush_check_interval{5};
// Without memory, a request on which nothing has arrived for this time is dropped first.
constexpr std::chrono::seconds stall_before_drop{1};
// Without memory or connections, a response of which the caller has read nothing for this time may
// be dropped.
constexpr std::chrono::seconds unread_before_drop{5};
// Shortest time between two log lines about dropped requests.
constexpr std::chrono::seconds drop_log_interval{1};

}  // namespace

class http_server::implementation final : public detail::session_owner,
                                          public std::enable_shared_from_this<implementation> {
public:
    implementation(http_server_options given, request_handler& receiver)
        : options(std::move(given)),
          target_handler(receiver),
          own_loop(this->options.loop == nullptr ? std::make_unique<io::event_loop>() : nullptr),
          event_loop(this->options.loop == nullptr ? *this->own_loop : *this->options.loop),
          acceptor(this->event_loop.context()),
          current_limits(this->options.limits) {}

    result<http_started, http_listen_failure> start() {
        error_code error;
        auto address = asio::ip::make_address(this->options.ip, error);
        if (!error) {
            error = this->listen(asio::ip::tcp::endpoint(address, this->options.port));
        }
        if (error) {
            error_code ignored;
            this->acceptor.close(ignored);
            return http_listen_failure{.address = this->options.ip + ":" +
                                                  std::to_string(this->options.port)};
        }
        this->started = true;
        if (this->own_loop != nullptr) {
            this->own_loop->start();
        }
        this->event_loop.post([kept = this->shared_from_this()] {
            kept->check_timer.emplace(kept->event_loop,
                                      [raw = kept.get()] { raw->on_check_timer(); });
            kept->check_timer->arm(check_interval);
            kept->accept();
        });
        return http_started{};
    }

    void set_limits(const server_limits& next) {
        this->event_loop.post(
            [kept = this->shared_from_this(), next] { kept->current_limits = next; });
    }

    void disable_keep_alive() { this->no_keep_alive = true; }

    void stop_accepting() {
        this->run_on_loop([this] {
            this->close_listener();
            this->enforce_session_timeouts();
        });
    }

    std::size_t pending_requests() const {
        std::size_t count = 0;
        this->run_on_loop([&] {
            for (const auto& each : this->sessions) {
                count += each->request_count();
            }
        });
        return count;
    }

    std::size_t open_connections() const { return this->connections.load(); }

    pipelining_totals pipelining() const {
        return {.ran_ahead = this->ran_ahead.load(), .dropped = this->dropped.load()};
    }

    void stop() {
        if (!this->started || std::exchange(this->stopped, true)) {
            return;
        }
        this->no_keep_alive = true;
        this->run_on_loop([this] {
            this->shutting_down = true;
            this->close_listener();
            for (const auto& each : this->copy_sessions()) {
                each->refuse_pending(status_unavailable);
                each->close_gracefully();
            }
        });
        this->wait_until_closed();
        this->run_on_loop([this] {
            this->check_timer.reset();
            for (const auto& each : this->copy_sessions()) {
                each->close();
            }
        });
        // The aborted operations keep this object alive until their handlers have run.
        this->run_on_loop([] {});
        if (this->own_loop != nullptr) {
            this->own_loop->stop();
        }
    }

    const server_limits& limits() const override { return this->current_limits; }
    request_handler& handler() override { return this->target_handler; }
    io::event_loop& loop() override { return this->event_loop; }
    asio::mutable_buffer read_buffer() override { return asio::buffer(this->received); }
    bool keep_alive_disabled() const override { return this->no_keep_alive.load(); }
    bool closes_idle_connections() const override { return !this->accepting; }
    std::chrono::milliseconds stall_timeout() const override { return this->options.stall_timeout; }
    bool accepts_requests() const override { return !this->shutting_down; }
    void count_ran_ahead() override { ++this->ran_ahead; }
    void count_dropped(std::size_t requests) override { this->dropped += requests; }
    memory_account* memory() override { return this->options.memory; }

    // The incomplete request that has stalled for the longest time is dropped first, then the one
    // that holds the most, then a response that its caller does not read.
    bool make_room(const detail::http_session& asking) override {
        auto now = detail::http_session::clock::now();
        std::shared_ptr<detail::http_session> stalled;
        std::shared_ptr<detail::http_session> largest;
        std::shared_ptr<detail::http_session> unread;
        auto earlier = [](const auto& each, const auto& found) {
            return found == nullptr || each->last_progress() < found->last_progress();
        };
        for (const auto& each : this->sessions) {
            auto waited = now - each->last_progress();
            std::size_t bytes = each.get() == &asking ? 0 : each->incomplete_bytes();
            if (bytes > 0 && waited > stall_before_drop && earlier(each, stalled)) {
                stalled = each;
            }
            if (bytes >
                (largest == nullptr ? asking.incomplete_bytes() : largest->incomplete_bytes())) {
                largest = each;
            }
            if (each.get() != &asking && each->writing() && waited > unread_before_drop &&
                earlier(each, unread)) {
                unread = each;
            }
        }
        if (stalled != nullptr || largest != nullptr) {
            (stalled != nullptr ? stalled : largest)->drop_request();
            return true;
        }
        if (unread != nullptr) {
            this->options.memory->count_dropped_response();
            unread->close();
            return true;
        }
        return false;
    }

    void on_closed(const std::shared_ptr<detail::http_session>& session) override {
        this->sessions.erase(session);
        this->connections = this->sessions.size();
    }

private:
    using session_set = std::set<std::shared_ptr<detail::http_session>>;

    error_code listen(const asio::ip::tcp::endpoint& endpoint) {
        error_code error;
        this->acceptor.open(endpoint.protocol(), error);
        if (!error) {
            this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            this->acceptor.bind(endpoint, error);
        }
        if (!error) {
            this->acceptor.listen(listen_backlog, error);
        }
        return error;
    }

    // Runs an action on the loop and waits for it.
    template <class Action>
    void run_on_loop(Action action) const {
        if (!this->started) {
            return;
        }
        std::promise<void> done;
        this->event_loop.post([&] {
            action();
            done.set_value();
        });
        done.get_future().get();
    }

    session_set copy_sessions() const { return this->sessions; }

    void accept() {
        if (!this->accepting) {
            return;
        }
        this->acceptor.async_accept([kept = this->shared_from_this()](
                                        const error_code& error, asio::ip::tcp::socket accepted) {
            kept->on_accept(error, std::move(accepted));
        });
    }

    // A connection that was accepted while the server stopped accepting is still served.
    void on_accept(const error_code& error, asio::ip::tcp::socket accepted) {
        if (!error) {
            this->add_session(std::move(accepted));
        } else if (this->accepting && error != asio::error::operation_aborted) {
            log(log_level::warning, "accept_failed", {{"detail", error.message()}});
            this->accept_retry_timer.emplace(this->event_loop, [this] { this->accept(); });
            this->accept_retry_timer->arm(accept_retry_delay);
            return;
        }
        this->accept();
    }

    void add_session(asio::ip::tcp::socket accepted) {
        if (this->sessions.size() >= this->options.max_connections && !this->close_one()) {
            this->count_closed_connection();
            return;  // Closes the new connection.
        }
        auto session = std::make_shared<detail::http_session>(std::move(accepted), *this);
        this->sessions.insert(session);
        this->connections = this->sessions.size();
        session->start();
    }

    // Closing a listener resets the connections in its accept queue, so these are accepted first.
    void close_listener() {
        if (!std::exchange(this->accepting, false)) {
            return;
        }
        error_code error;
        this->acceptor.non_blocking(true, error);
        for (int i = 0; i < listen_backlog && !error; ++i) {
            asio::ip::tcp::socket waiting(this->event_loop.context());
            this->acceptor.accept(waiting, error);
            if (!error) {
                this->add_session(std::move(waiting));
            }
        }
        error_code ignored;
        this->acceptor.close(ignored);
    }

    // Waits until all connections are closed, for at most flush_timeout.
    void wait_until_closed() const {
        auto end = std::chrono::steady_clock::now() + flush_timeout;
        while (this->connections.load() > 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(flush_check_interval);
        }
    }

    // Closes the connection that http_server_options::max_connections describes. Returns false if
    // there is none.
    bool close_one() {
        auto now = detail::http_session::clock::now();
        std::shared_ptr<detail::http_session> idle;
        std::shared_ptr<detail::http_session> stalled;
        std::shared_ptr<detail::http_session> lingering;
        std::shared_ptr<detail::http_session> unread;
        auto keep_earliest = [](std::shared_ptr<detail::http_session>& found, const auto& each,
                                auto time) {
            if (found == nullptr || ((*each).*time)() < ((*found).*time)()) {
                found = each;
            }
        };
        for (const auto& each : this->sessions) {
            if (each->idle()) {
                keep_earliest(idle, each, &detail::http_session::phase_began);
            } else if (each->receiving()) {
                keep_earliest(stalled, each, &detail::http_session::last_progress);
            } else if (each->lingering()) {
                keep_earliest(lingering, each, &detail::http_session::phase_began);
            } else if (each->writing() && now - each->last_progress() > unread_before_drop) {
                keep_earliest(unread, each, &detail::http_session::last_progress);
            }
        }
        if (idle != nullptr) {
            idle->close_gracefully();
            return true;
        }
        for (const auto& each : {stalled, lingering, unread}) {
            if (each != nullptr) {
                this->count_closed_connection();
                each->close();
                return true;
            }
        }
        return false;
    }

    void count_closed_connection() {
        if (this->options.memory != nullptr) {
            this->options.memory->count_closed_connection();
        }
    }

    void log_drops() {
        auto now = detail::http_session::clock::now();
        if (this->options.memory == nullptr || now - this->drops_logged < drop_log_interval) {
            return;
        }
        memory_usage usage = this->options.memory->usage();
        std::uint64_t drops = usage.dropped_requests + usage.dropped_responses +
                              usage.refused_bodies + usage.closed_connections;
        if (drops != std::exchange(this->known_drops, drops)) {
            this->drops_logged = now;
            log(log_level::warning, "callers_dropped",
                {{"held_bytes", std::to_string(usage.held_bytes)},
                 {"limit_bytes", std::to_string(usage.limit_bytes)},
                 {"requests", std::to_string(usage.dropped_requests)},
                 {"responses", std::to_string(usage.dropped_responses)},
                 {"peer_bodies", std::to_string(usage.refused_bodies)},
                 {"connections", std::to_string(usage.closed_connections)}});
        }
    }

    void enforce_session_timeouts() {
        auto now = detail::http_session::clock::now();
        for (const auto& each : this->copy_sessions()) {
            each->enforce_timeouts(now);
        }
    }

    void on_check_timer() {
        this->enforce_session_timeouts();
        this->log_drops();
        this->check_timer->arm(check_interval);
    }

    const http_server_options options;
    request_handler& target_handler;
    std::unique_ptr<io::event_loop> own_loop;
    io::event_loop& event_loop;
    std::atomic<bool> no_keep_alive{false};
    std::atomic<std::size_t> connections{0};
    std::atomic<std::uint64_t> ran_ahead{0};
    std::atomic<std::uint64_t> dropped{0};
    bool started = false;  // Set once, before the loop uses this object.
    bool stopped = false;  // Used by the owner's thread only.
    // Used on the loop only.
    std::array<char, detail::session_owner::read_bytes> received{};
    asio::ip::tcp::acceptor acceptor;
    bool accepting = true;
    bool shutting_down = false;
    server_limits current_limits;
    session_set sessions;
    std::uint64_t known_drops = 0;  // As last logged.
    detail::http_session::clock::time_point drops_logged;
    std::optional<io::loop_timer> check_timer;
    std::optional<io::loop_timer> accept_retry_timer;
};

bool request_handler::may_run_ahead(const http_request& /*request*/) const {
    return false;
}

http_response request_handler::refuse_during_shutdown() {
    return this->refuse(status_unavailable);
}

http_response request_handler::refuse_without_memory() {
    return this->refuse(status_unavailable);
}

http_server::http_server(http_server_options options, request_handler& handler)
    : self(std::make_shared<implementation>(std::move(options), handler)) {}

http_server::~http_server() {
    this->self->stop();
}

result<http_started, http_listen_failure> http_server::start() {
    return this->self->start();
}

void http_server::set_limits(const server_limits& limits) {
    this->self->set_limits(limits);
}

void http_server::disable_keep_alive() {
    this->self->disable_keep_alive();
}

void http_server::stop_accepting() {
    this->self->stop_accepting();
}

std::size_t http_server::pending_requests() const {
    return this->self->pending_requests();
}

std::size_t http_server::open_connections() const {
    return this->self->open_connections();
}

pipelining_totals http_server::pipelining() const {
    return this->self->pipelining();
}

void http_server::stop() {
    this->self->stop();
}

}  // namespace trefoil::edge
