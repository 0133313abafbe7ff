// Implements the server: accepting, the set of connections and their time limits.

#include "edge/http_server.h"

#include <algorithm>
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
// How often time limits are checked; a limit is exceeded by at most this time.
constexpr std::chrono::milliseconds check_interval{250};
// Pause after the system has no descriptor for a new connection.
constexpr std::chrono::milliseconds accept_pause{50};
// How long responses may take to leave, and callers to close, when the server ends.
constexpr std::chrono::milliseconds flush_time{150};
constexpr std::chrono::milliseconds flush_check_interval{5};

}  // namespace

class http_server::implementation final : public detail::session_owner,
                                          public std::enable_shared_from_this<implementation> {
public:
    implementation(http_server_options given, request_handler& receiver)
        : options(std::move(given)),
          receiving(receiver),
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
            kept->checks.emplace(kept->event_loop, [raw = kept.get()] { raw->check_times(); });
            kept->checks->arm(check_interval);
            kept->accept();
        });
        return http_started{};
    }

    void set_limits(const server_limits& next) {
        this->event_loop.post(
            [kept = this->shared_from_this(), next] { kept->current_limits = next; });
    }

    void disable_keep_alive() { this->asks_to_leave = true; }

    void stop_accepting() {
        this->run([this] {
            this->close_listener();
            this->check_sessions();
        });
    }

    std::size_t pending_requests() const {
        std::size_t count = 0;
        this->run([&] {
            count = static_cast<std::size_t>(
                std::count_if(this->sessions.begin(), this->sessions.end(),
                              [](const auto& each) { return each->has_request(); }));
        });
        return count;
    }

    std::size_t open_connections() const { return this->connections.load(); }

    void stop() {
        if (!this->started || std::exchange(this->stopped, true)) {
            return;
        }
        this->asks_to_leave = true;
        this->run([this] {
            this->ending = true;
            this->close_listener();
            for (const auto& each : this->copy_of_sessions()) {
                each->refuse_waiting(status_unavailable);
                each->end();
            }
        });
        this->await_close();
        this->run([this] {
            this->checks.reset();
            for (const auto& each : this->copy_of_sessions()) {
                each->close();
            }
        });
        // The operations that were ended above hold this object until they have run.
        this->run([] {});
        if (this->own_loop != nullptr) {
            this->own_loop->stop();
        }
    }

    const server_limits& limits() const override { return this->current_limits; }
    request_handler& handler() override { return this->receiving; }
    io::event_loop& loop() override { return this->event_loop; }
    bool closing() const override { return this->asks_to_leave.load(); }
    bool closes_unused() const override { return !this->accepting; }
    std::chrono::milliseconds stall_limit() const override { return this->options.stall_limit; }
    bool takes_requests() const override { return !this->ending; }
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
    void run(Action action) const {
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

    session_set copy_of_sessions() const { return this->sessions; }

    void accept() {
        if (!this->accepting) {
            return;
        }
        this->acceptor.async_accept([kept = this->shared_from_this()](
                                        const error_code& error, asio::ip::tcp::socket accepted) {
            kept->on_accept(error, std::move(accepted));
        });
    }

    // A connection that was accepted in the moment in which the server stops to accept is served.
    void on_accept(const error_code& error, asio::ip::tcp::socket accepted) {
        if (!error) {
            this->admit(std::move(accepted));
        } else if (this->accepting && error != asio::error::operation_aborted) {
            log(log_level::warning, "accept_failed", {{"detail", error.message()}});
            this->accept_retry.emplace(this->event_loop, [this] { this->accept(); });
            this->accept_retry->arm(accept_pause);
            return;
        }
        this->accept();
    }

    void admit(asio::ip::tcp::socket accepted) {
        if (this->sessions.size() >= this->options.max_connections) {
            this->end_longest_idle();
        }
        auto session = std::make_shared<detail::http_session>(std::move(accepted), *this);
        this->sessions.insert(session);
        this->connections = this->sessions.size();
        session->start();
    }

    // Closing a listener resets the connections that wait to be accepted, so those are taken first.
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
                this->admit(std::move(waiting));
            }
        }
        error_code ignored;
        this->acceptor.close(ignored);
    }

    // Waits until the connections have closed, for at most flush_time.
    void await_close() const {
        auto end = std::chrono::steady_clock::now() + flush_time;
        while (this->connections.load() > 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(flush_check_interval);
        }
    }

    void end_longest_idle() {
        std::shared_ptr<detail::http_session> oldest;
        for (const auto& each : this->sessions) {
            if (each->idle() && (oldest == nullptr || each->idle_since() < oldest->idle_since())) {
                oldest = each;
            }
        }
        if (oldest != nullptr) {
            oldest->end();
        }
    }

    void check_sessions() {
        auto now = detail::http_session::clock::now();
        for (const auto& each : this->copy_of_sessions()) {
            each->check_time(now);
        }
    }

    void check_times() {
        this->check_sessions();
        this->checks->arm(check_interval);
    }

    const http_server_options options;
    request_handler& receiving;
    std::unique_ptr<io::event_loop> own_loop;
    io::event_loop& event_loop;
    std::atomic<bool> asks_to_leave{false};
    std::atomic<std::size_t> connections{0};
    bool started = false;  // Set once, before the loop uses this object.
    bool stopped = false;  // Used by the owner's thread only.
    // Used on the loop only.
    asio::ip::tcp::acceptor acceptor;
    bool accepting = true;
    bool ending = false;
    server_limits current_limits;
    session_set sessions;
    std::optional<io::loop_timer> checks;
    std::optional<io::loop_timer> accept_retry;
};

http_response request_handler::refuse_during_shutdown() {
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

void http_server::stop() {
    this->self->stop();
}

}  // namespace trefoil::edge
