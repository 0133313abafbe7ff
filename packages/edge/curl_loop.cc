// Implements curl_loop with libcurl's socket interface and Boost.Asio sockets.

#include "edge/curl_loop.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "base/log.h"
#include "edge/received_bytes.h"

namespace trefoil::edge {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Bytes that libcurl reads from a socket at a time.
constexpr std::size_t read_bytes = CURL_MAX_WRITE_SIZE;
// Readable events of a transfer before its received bytes are counted, which takes a system call
// each time. Most responses need fewer events.
constexpr unsigned uncounted_events = 8;
// Limit on the bytes that one call of discard() reads, which takes a few milliseconds. Linux lets a
// receive buffer grow to 6 MiB by default.
constexpr std::size_t discard_limit_bytes = std::size_t{8} << 20U;

void initialise_curl() {
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

}  // namespace

class curl_loop::implementation {
public:
    implementation(io::event_loop& given, const curl_loop_options& settings)
        : options(settings), loop(given), timer(given, [this] { this->on_timer(); }) {
        initialise_curl();
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &implementation::on_watch);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &implementation::on_timeout);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, this->options.max_idle_connections);
    }

    ~implementation() {
        for (auto& [easy, done] : this->transfers) {
            curl_multi_remove_handle(this->multi, easy);
        }
        curl_multi_cleanup(this->multi);
    }

    void start(CURL* easy, completion done) {
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &implementation::on_open);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &implementation::on_close);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        this->transfers[easy] = std::move(done);
        curl_multi_add_handle(this->multi, easy);
    }

    void remove(CURL* easy) {
        if (this->transfers.erase(easy) > 0) {
            curl_multi_remove_handle(this->multi, easy);
        }
    }

private:
    struct watched_socket {
        explicit watched_socket(tcp::socket opened) : socket(std::move(opened)) {}

        // Null: the socket is idle.
        void set_transfer(CURL* transfer) {
            if (transfer != this->easy) {
                this->easy = transfer;
                this->readable_events = 0;
                this->received = 0;
            }
        }
        bool in_use() const { return this->easy != nullptr; }

        tcp::socket socket;
        bool wants_read = false;
        bool wants_write = false;
        bool read_wait_pending = false;
        bool write_wait_pending = false;
        CURL* easy = nullptr;          // Transfer that uses the socket; null when idle.
        unsigned readable_events = 0;  // Of this transfer.
        // Bytes received on the connection before the first counted event.
        std::uint64_t received = 0;
    };
    using socket_ptr = std::shared_ptr<watched_socket>;

    static curl_socket_t on_open(void* target, curlsocktype purpose, curl_sockaddr* address) {
        auto* self = static_cast<implementation*>(target);
        if (purpose != CURLSOCKTYPE_IPCXN || address->family != AF_INET) {
            return CURL_SOCKET_BAD;
        }
        tcp::socket opened(self->loop.context());
        error_code error;
        opened.open(tcp::v4(), error);
        if (error) {
            log(log_level::warning, "socket_failed", {{"detail", error.message()}});
            return CURL_SOCKET_BAD;
        }
        opened.non_blocking(true, error);
        curl_socket_t descriptor = opened.native_handle();
        self->sockets[descriptor] = std::make_shared<watched_socket>(std::move(opened));
        return descriptor;
    }

    static int on_close(void* target, curl_socket_t descriptor) {
        auto* self = static_cast<implementation*>(target);
        auto found = self->sockets.find(descriptor);
        if (found != self->sockets.end()) {
            error_code ignored;
            found->second->socket.close(ignored);
            self->sockets.erase(found);
        }
        return 0;
    }

    static int on_watch(CURL* easy, curl_socket_t descriptor, int what, void* target, void*) {
        auto* self = static_cast<implementation*>(target);
        auto found = self->sockets.find(descriptor);
        if (found != self->sockets.end()) {
            found->second->wants_read = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
            found->second->wants_write = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
            found->second->set_transfer(what == CURL_POLL_REMOVE ? nullptr : easy);
            self->wait_for_events(found->second);
        }
        return 0;
    }

    static int on_timeout(CURLM*, long timeout_ms, void* target) {
        auto* self = static_cast<implementation*>(target);
        if (timeout_ms < 0) {
            self->timer.cancel();
        } else {
            // Libcurl must not be called from its own callback, so a timeout of 0 also goes through
            // the timer.
            self->timer.arm(std::chrono::milliseconds(timeout_ms));
        }
        return 0;
    }

    // Idle sockets are also watched for readability, to detect unexpected bytes.
    void wait_for_events(const socket_ptr& watched) {
        if ((watched->wants_read || !watched->in_use()) && !watched->read_wait_pending) {
            watched->read_wait_pending = true;
            watched->socket.async_wait(
                tcp::socket::wait_read, [this, watched](const error_code& error) {
                    watched->read_wait_pending = false;
                    if (!watched->in_use() && !error) {
                        this->shut_down_idle(watched);
                        return;
                    }
                    this->on_ready(watched, watched->wants_read, CURL_CSELECT_IN, error);
                });
        }
        if (watched->wants_write && !watched->write_wait_pending) {
            watched->write_wait_pending = true;
            watched->socket.async_wait(
                tcp::socket::wait_write, [this, watched](const error_code& error) {
                    watched->write_wait_pending = false;
                    this->on_ready(watched, watched->wants_write, CURL_CSELECT_OUT, error);
                });
        }
    }

    // Shuts down an idle connection that has become readable. Bytes on an idle connection belong to
    // no request, and libcurl does not check for them before it reuses the connection. It treats a
    // connection as closed when a read returns end of file at once.
    void shut_down_idle(const socket_ptr& watched) {
        // The first call frees the receive buffer, so that a peer waiting to send more learns of
        // the shutdown: its next byte is answered with a reset. The second call reads what arrived
        // during the first; after the shutdown no byte is accepted.
        discard(watched->socket);
        error_code ignored;
        watched->socket.shutdown(tcp::socket::shutdown_both, ignored);
        discard(watched->socket);
        this->shut_down_sockets.push_back(watched);
    }

    // Reads the bytes that precede the end of file on connections that were shut down. Must be
    // called right before libcurl checks them: bytes that the peer sends after the shutdown cause a
    // connection error, and libcurl treats a connection with an error as open.
    void discard_after_shutdown() {
        std::erase_if(this->shut_down_sockets, [](const std::weak_ptr<watched_socket>& each) {
            auto watched = each.lock();
            if (watched == nullptr || !watched->socket.is_open()) {
                return true;
            }
            discard(watched->socket);
            return false;
        });
    }

    static void discard(tcp::socket& socket) {
        std::array<char, read_bytes> discarded{};
        std::size_t total = 0;
        error_code error;
        while (error != asio::error::eof && error != asio::error::would_block &&
               total < discard_limit_bytes) {
            total += 1 + socket.read_some(asio::buffer(discarded), error);
        }
    }

    // Whether the connection has received more bytes than a transfer may read.
    bool exceeds_limit(watched_socket& watched) const {
        if (!watched.in_use() || ++watched.readable_events <= uncounted_events) {
            return false;
        }
        auto received = detail::received_bytes(watched.socket.native_handle());
        if (!received.has_value()) {
            return false;  // Only the deadline limits the transfer.
        }
        if (watched.readable_events == uncounted_events + 1) {
            watched.received = *received;
        }
        return *received - watched.received > this->options.max_transfer_bytes;
    }

    // Reports the result of a transfer. If it is still in progress, its connection is closed.
    void complete(CURL* easy, CURLcode outcome) {
        auto found = this->transfers.find(easy);
        if (found == this->transfers.end()) {
            return;
        }
        completion done = std::move(found->second);
        this->transfers.erase(found);
        curl_multi_remove_handle(this->multi, easy);
        done(outcome);
    }

    void on_ready(const socket_ptr& watched, bool wanted, int what, const error_code& error) {
        if (error == asio::error::operation_aborted || !watched->socket.is_open() || !wanted) {
            return;
        }
        if (what == CURL_CSELECT_IN && this->exceeds_limit(*watched)) {
            this->complete(watched->easy, too_many_bytes);
            return;
        }
        this->process(watched->socket.native_handle(), error ? CURL_CSELECT_ERR : what);
        if (watched->socket.is_open()) {
            this->wait_for_events(watched);
        }
    }

    void on_timer() { this->process(CURL_SOCKET_TIMEOUT, 0); }

    void process(curl_socket_t descriptor, int what) {
        this->discard_after_shutdown();
        int running = 0;
        curl_multi_socket_action(this->multi, descriptor, what, &running);
        this->finish_transfers();
    }

    void finish_transfers() {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            this->complete(message->easy_handle, message->data.result);
        }
    }

    const curl_loop_options options;
    io::event_loop& loop;
    io::loop_timer timer;
    CURLM* multi = nullptr;
    std::map<curl_socket_t, socket_ptr> sockets;  // All open sockets, including idle ones.
    std::map<CURL*, completion> transfers;        // In progress.
    std::vector<std::weak_ptr<watched_socket>> shut_down_sockets;  // Not closed by libcurl yet.
};

curl_loop::curl_loop(io::event_loop& loop, const curl_loop_options& options)
    : self(std::make_unique<implementation>(loop, options)) {}

curl_loop::~curl_loop() = default;

void curl_loop::start(CURL* easy, completion done) {
    this->self->start(easy, std::move(done));
}

void curl_loop::remove(CURL* easy) {
    this->self->remove(easy);
}

}  // namespace trefoil::edge
