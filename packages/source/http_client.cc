// Implements http_client. Each call runs on its own libcurl multi handle, because only a multi
// handle can be woken up from another thread.

#include "source/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <exception>

#include "base/text.h"

namespace trefoil::source {

namespace {

constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;
constexpr std::chrono::milliseconds max_poll_wait{10'000};
// Limit of all header bytes of a response: status lines, headers and trailers, including those of
// interim responses. The platform's responses have a few hundred bytes.
constexpr std::size_t head_bytes_max = 64U << 10U;

// Initializes libcurl once in a thread-safe way. Its implicit initialization with the first handle
// is not thread-safe.
void initialize_curl() {
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialized);
}

// State of a response that is being received.
struct partial_response {
    std::size_t max_body_bytes = 0;
    std::size_t head_bytes = 0;
    bool body_too_large = false;
    http_response response;
};

std::size_t receive_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto& state = *static_cast<partial_response*>(target);
    std::size_t bytes = size * count;
    if (state.response.body.size() + bytes > state.max_body_bytes) {
        state.body_too_large = true;
        return 0;
    }
    state.response.body.append(data, bytes);
    return bytes;
}

std::size_t receive_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string_view line(data, size * count);
    auto& state = *static_cast<partial_response*>(target);
    state.head_bytes += line.size();
    if (state.head_bytes > head_bytes_max) {
        return 0;
    }
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        state.response.headers.emplace_back(trim(line.substr(0, colon)),
                                            trim(line.substr(colon + 1)));
    }
    return line.size();
}

std::chrono::milliseconds time_at_rate(std::size_t bytes, std::size_t bytes_per_second) {
    constexpr std::size_t milliseconds_per_second = 1000;
    return std::chrono::milliseconds(bytes * milliseconds_per_second / bytes_per_second);
}

// Enables TCP keepalive and TCP_USER_TIMEOUT, so that the kernel detects an unresponsive server.
int set_socket_options(void* target, curl_socket_t socket, curlsocktype /*purpose*/) {
    unsigned timeout_ms = *static_cast<unsigned*>(target);
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probe_idle_s, sizeof(probe_idle_s));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof(probe_interval_s));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof(probe_count));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
    return CURL_SOCKOPT_OK;
}

}  // namespace

std::optional<std::string> http_response::header(std::string_view name) const {
    for (const auto& [each, value] : this->headers) {
        if (equal_ignoring_case(each, name)) {
            return value;
        }
    }
    return std::nullopt;
}

class http_client::curl_handle {
public:
    curl_handle() : easy(curl_easy_init()), multi(curl_multi_init()) {}
    ~curl_handle() {
        curl_easy_cleanup(this->easy);
        curl_multi_cleanup(this->multi);
    }
    curl_handle(const curl_handle&) = delete;
    curl_handle& operator=(const curl_handle&) = delete;

    result<http_response, http_failure> get(const std::string& url,
                                            std::chrono::milliseconds timeout,
                                            const http_client_options& options,
                                            const std::atomic<bool>& stopping) {
        if (this->easy == nullptr || this->multi == nullptr) {
            return http_failure{.detail = "libcurl could not allocate memory"};
        }
        partial_response state{.max_body_bytes = options.max_body_bytes,
                               .head_bytes = 0,
                               .body_too_large = false,
                               .response = {}};
        unsigned unacknowledged_ms = static_cast<unsigned>(options.unacknowledged_timeout.count());
        this->prepare(url, options, state, unacknowledged_ms);
        this->ended.store(stopping.load());
        curl_multi_add_handle(this->multi, this->easy);
        CURLcode outcome = this->run(timeout, options.min_bytes_per_second, state.response.body);
        curl_multi_remove_handle(this->multi, this->easy);
        if (outcome != CURLE_OK) {
            return http_failure{.detail = curl_easy_strerror(outcome),
                                .body_too_large = state.body_too_large};
        }
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &state.response.status);
        return std::move(state.response);
    }

    // Ends the call in progress.
    void end_call() {
        this->ended.store(true);
        curl_multi_wakeup(this->multi);
    }

private:
    void prepare(const std::string& url, const http_client_options& options,
                 partial_response& state, unsigned& unacknowledged_ms) {
        curl_easy_reset(this->easy);
        curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
        // Ignores the proxy variables of the environment.
        curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
        curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(options.connect_timeout.count()));
        curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, receive_body);
        curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, &state);
        curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, receive_header);
        curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, &state);
        curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
        curl_easy_setopt(this->easy, CURLOPT_SOCKOPTDATA, &unacknowledged_ms);
    }

    // Runs the transfer until its end or its timeout. `body` grows during the transfer.
    CURLcode run(std::chrono::milliseconds timeout, std::size_t min_bytes_per_second,
                 const std::string& body) {
        auto begin = std::chrono::steady_clock::now();
        while (!this->ended.load()) {
            int running = 0;
            if (curl_multi_perform(this->multi, &running) != CURLM_OK) {
                return CURLE_FAILED_INIT;
            }
            int waiting = 0;
            while (CURLMsg* message = curl_multi_info_read(this->multi, &waiting)) {
                if (message->msg == CURLMSG_DONE) {
                    return message->data.result;
                }
            }
            auto limit = timeout + time_at_rate(body.size(), min_bytes_per_second);
            auto left = std::chrono::ceil<std::chrono::milliseconds>(
                begin + limit - std::chrono::steady_clock::now());
            if (left.count() <= 0) {
                return CURLE_OPERATION_TIMEDOUT;
            }
            auto wait = std::min(left, max_poll_wait);
            curl_multi_poll(this->multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
        }
        return CURLE_ABORTED_BY_CALLBACK;
    }

    std::atomic<bool> ended{false};
    CURL* easy;    // Null when libcurl could not allocate memory.
    CURLM* multi;  // Null when libcurl could not allocate memory.
};

http_client::http_client(http_client_options settings) : options(settings) {
    initialize_curl();
}

http_client::~http_client() = default;

std::shared_ptr<http_client::curl_handle> http_client::acquire_handle() {
    absl::MutexLock lock(&this->mutex);
    std::shared_ptr<curl_handle> taken;
    if (this->idle.empty()) {
        taken = std::make_shared<curl_handle>();
    } else {
        taken = std::move(this->idle.back());
        this->idle.pop_back();
    }
    this->busy.push_back(taken);
    return taken;
}

// A handle whose call failed may hold a broken connection, so it is not reused.
void http_client::release_handle(std::shared_ptr<curl_handle> used, bool reusable) {
    absl::MutexLock lock(&this->mutex);
    this->busy.erase(std::find(this->busy.begin(), this->busy.end(), used));
    if (reusable) {
        this->idle.push_back(std::move(used));
    }
}

result<http_response, http_failure> http_client::get(const std::string& url,
                                                     std::chrono::milliseconds timeout) {
    if (this->stopping.load()) {
        return http_failure{.detail = "stopping"};
    }
    try {
        std::shared_ptr<curl_handle> used = this->acquire_handle();
        auto outcome = used->get(url, timeout, this->options, this->stopping);
        this->release_handle(std::move(used), std::holds_alternative<http_response>(outcome));
        return outcome;
    } catch (const std::exception& error) {
        return http_failure{.detail = error.what()};
    }
}

void http_client::interrupt() {
    absl::MutexLock lock(&this->mutex);
    for (const auto& each : this->busy) {
        each->end_call();
    }
}

void http_client::stop() {
    this->stopping.store(true);
    this->interrupt();
}

}  // namespace trefoil::source
