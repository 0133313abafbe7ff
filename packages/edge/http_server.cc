// Implements http_server with libmicrohttpd's epoll threads and suspended connections.

#include "edge/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <set>
#include <thread>
#include <utility>

#include "absl/synchronization/mutex.h"

namespace trefoil::edge {

namespace {

constexpr std::size_t connection_memory_bytes = max_header_bytes + (std::size_t{16} << 10U);
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_headers_too_large = 431;

MHD_Result collect_header(void* target, MHD_ValueKind, const char* name, const char* value) {
    auto* headers = static_cast<std::vector<messages::header>*>(target);
    headers->push_back({.name = name, .value = value == nullptr ? "" : value});
    return MHD_YES;
}

std::size_t header_bytes(const std::vector<messages::header>& headers) {
    std::size_t total = 0;
    for (const messages::header& each : headers) {
        total += each.name.size() + each.value.size() + 4;
    }
    return total;
}

// State of one request, owned by libmicrohttpd's request context and by the responder's users.
class pending_request final : public responder {
public:
    explicit pending_request(MHD_Connection* owner) : connection(owner) {}

    void respond(http_response given) override {
        absl::MutexLock lock(&this->mutex);
        if (this->answered || this->finished) {
            return;
        }
        this->answered = true;
        this->response = std::move(given);
        if (this->suspended) {
            this->suspended = false;
            MHD_resume_connection(this->connection);
        }
    }

    // Suspends the connection unless the response is already there.
    void suspend_until_answered() {
        absl::MutexLock lock(&this->mutex);
        if (!this->answered) {
            this->suspended = true;
            MHD_suspend_connection(this->connection);
        }
    }

    std::optional<http_response> take_response() {
        absl::MutexLock lock(&this->mutex);
        if (!this->answered) {
            return std::nullopt;
        }
        return std::move(this->response);
    }

    // The connection must not be used after this.
    void finish() {
        absl::MutexLock lock(&this->mutex);
        this->finished = true;
    }

    MHD_Connection* const connection;
    http_request request;
    bool begun = false;
    bool handed_over = false;
    unsigned refusal = 0;

private:
    absl::Mutex mutex;
    bool answered = false;   // Guarded by mutex.
    bool suspended = false;  // Guarded by mutex; true only while not answered.
    bool finished = false;   // Guarded by mutex.
    http_response response;  // Guarded by mutex; valid when answered.
};

using pending_ptr = std::shared_ptr<pending_request>;

}  // namespace

class http_server::implementation {
public:
    implementation(http_server_options given, request_handler& receiver)
        : options(std::move(given)), handler(receiver) {}

    result<http_started, http_listen_failure> start() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->options.port);
        if (inet_pton(AF_INET, this->options.ip.c_str(), &address.sin_addr) == 1) {
            this->daemon = MHD_start_daemon(
                MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                this->options.port, nullptr, nullptr, &implementation::on_access, this,
                MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
                MHD_OPTION_THREAD_POOL_SIZE, this->options.threads,
                MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_memory_bytes,
                MHD_OPTION_CONNECTION_TIMEOUT, this->options.idle_timeout_s,
                MHD_OPTION_CONNECTION_LIMIT, this->options.max_connections,
                MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK,
                &implementation::on_target, this, MHD_OPTION_NOTIFY_COMPLETED,
                &implementation::on_completed, this, MHD_OPTION_END);
        }
        if (this->daemon == nullptr) {
            return http_listen_failure{.address = this->options.ip + ":" +
                                                  std::to_string(this->options.port)};
        }
        return http_started{};
    }

    void begin_close() { this->closing = true; }

    void stop_accepting() {
        if (this->daemon != nullptr && !this->quiesced) {
            this->quiesced = true;
            this->listen_socket = MHD_quiesce_daemon(this->daemon);
            // Threads of the library may still watch the socket, so it is closed later. Without the
            // shutdown the kernel would go on completing connections that nobody accepts, and reset
            // them when the socket is closed.
            shutdown(this->listen_socket, SHUT_RDWR);
        }
    }

    std::size_t pending_requests() const {
        absl::MutexLock lock(&this->mutex);
        return this->pending.size();
    }

    unsigned open_connections() const {
        if (this->daemon == nullptr) {
            return 0;
        }
        const MHD_DaemonInfo* info =
            MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
        return info == nullptr ? 0 : info->num_connections;
    }

    void stop() {
        if (this->daemon == nullptr) {
            return;
        }
        this->closing = true;
        this->answer_waiting();
        MHD_stop_daemon(this->daemon);
        this->daemon = nullptr;
        if (this->listen_socket != MHD_INVALID_SOCKET) {
            shutdown(this->listen_socket, SHUT_RDWR);
            ::close(this->listen_socket);
            this->listen_socket = MHD_INVALID_SOCKET;
        }
    }

private:
    static MHD_Result on_access(void* cls, MHD_Connection*, const char*, const char* method,
                                const char*, const char* data, std::size_t* size, void** context) {
        auto* self = static_cast<implementation*>(cls);
        pending_ptr& current = *static_cast<pending_ptr*>(*context);
        if (!current->begun) {
            begin(*current, method);
            return MHD_YES;
        }
        if (*size > 0) {
            self->append_body(*current, {data, *size});
            *size = 0;
            return MHD_YES;
        }
        return self->proceed(current);
    }

    static void on_completed(void* cls, MHD_Connection*, void** context,
                             MHD_RequestTerminationCode) {
        auto* self = static_cast<implementation*>(cls);
        auto* holder = static_cast<pending_ptr*>(*context);
        if (holder == nullptr) {
            return;
        }
        (*holder)->finish();
        {
            absl::MutexLock lock(&self->mutex);
            self->pending.erase(*holder);
        }
        delete holder;
        *context = nullptr;
    }

    // libmicrohttpd decodes the path and the query before it calls on_access. The upstream must get
    // them as the caller wrote them, so they are taken here, before the decoding.
    static void* on_target(void* cls, const char* raw, MHD_Connection* connection) {
        auto* self = static_cast<implementation*>(cls);
        auto current = std::make_shared<pending_request>(connection);
        std::string_view target(raw);
        std::size_t question = target.find('?');
        current->request.path = target.substr(0, question);
        if (question != std::string_view::npos) {
            current->request.query = target.substr(question + 1);
        }
        {
            absl::MutexLock lock(&self->mutex);
            self->pending.insert(current);
        }
        return new pending_ptr(std::move(current));
    }

    static void begin(pending_request& current, const char* method) {
        current.begun = true;
        current.request.method = method;
        MHD_get_connection_values(current.connection, MHD_HEADER_KIND, &collect_header,
                                  &current.request.headers);
        if (header_bytes(current.request.headers) > max_header_bytes) {
            current.refusal = status_headers_too_large;
        }
    }

    void append_body(pending_request& current, std::string_view data) {
        if (current.request.body.size() + data.size() > max_body_bytes) {
            current.refusal = status_too_large;
        }
        if (current.refusal == 0) {
            current.request.body.append(data);
        }
    }

    MHD_Result proceed(const pending_ptr& current) {
        if (current->refusal != 0) {
            return this->queue(*current, this->handler.refuse(current->refusal));
        }
        if (!current->handed_over) {
            current->handed_over = true;
            this->handler.handle(std::move(current->request), current);
            current->suspend_until_answered();
        }
        std::optional<http_response> response = current->take_response();
        if (!response.has_value()) {
            return MHD_YES;
        }
        return this->queue(*current, std::move(*response));
    }

    MHD_Result queue(pending_request& current, http_response response) {
        MHD_Response* message = MHD_create_response_from_buffer(
            response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
        for (const messages::header& each : response.headers) {
            MHD_add_response_header(message, each.name.c_str(), each.value.c_str());
        }
        if (response.close_connection || this->closing) {
            MHD_add_response_header(message, MHD_HTTP_HEADER_CONNECTION, "close");
        }
        MHD_Result queued = MHD_queue_response(current.connection, response.status, message);
        MHD_destroy_response(message);
        return queued;
    }

    void answer_waiting() {
        std::set<pending_ptr> waiting;
        {
            absl::MutexLock lock(&this->mutex);
            waiting = this->pending;
        }
        for (const pending_ptr& each : waiting) {
            each->respond(this->handler.refuse(status_unavailable));
        }
    }

    const http_server_options options;
    request_handler& handler;
    MHD_Daemon* daemon = nullptr;
    MHD_socket listen_socket = MHD_INVALID_SOCKET;
    bool quiesced = false;
    std::atomic<bool> closing{false};
    mutable absl::Mutex mutex;
    std::set<pending_ptr> pending;  // Guarded by mutex; from the first header to completion.
};

http_server::http_server(http_server_options options, request_handler& handler)
    : self(std::make_unique<implementation>(std::move(options), handler)) {}

http_server::~http_server() {
    this->self->stop();
}

result<http_started, http_listen_failure> http_server::start() {
    return this->self->start();
}

void http_server::begin_close() {
    this->self->begin_close();
}

void http_server::stop_accepting() {
    this->self->stop_accepting();
}

std::size_t http_server::pending_requests() const {
    return this->self->pending_requests();
}

unsigned http_server::open_connections() const {
    return this->self->open_connections();
}

void http_server::stop() {
    this->self->stop();
}

}  // namespace trefoil::edge
