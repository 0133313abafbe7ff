// Implements http_client. Each call runs on a libcurl multi handle of its own, because only these
// can be woken from another thread.

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
constexpr int poll_timeout_ms = 10'000;
// Bytes of all lines of an answer: status lines, headers and trailers, also of interim responses.
// The platform's answers have a few hundred.
constexpr std::size_t head_bytes_max = 64U << 10U;

// libcurl initialises itself with the first handle in a way that is not safe between threads, so
// it is initialised once before.
void initialise_curl() {
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

// The answer of one call while it arrives.
struct arriving_answer {
    std::size_t max_body_bytes = 0;
    std::size_t head_bytes = 0;
    bool body_too_large = false;
    http_response answer;
};

std::size_t receive_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto& state = *static_cast<arriving_answer*>(target);
    std::size_t bytes = size * count;
    if (state.answer.body.size() + bytes > state.max_body_bytes) {
        state.body_too_large = true;
        return 0;
    }
    state.answer.body.append(data, bytes);
    return bytes;
}

std::size_t receive_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string_view line(data, size * count);
    auto& state = *static_cast<arriving_answer*>(target);
    state.head_bytes += line.size();
    if (state.head_bytes > head_bytes_max) {
        return 0;
    }
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        state.answer.headers.emplace_back(trim(line.substr(0, colon)),
                                          trim(line.substr(colon + 1)));
    }
    return line.size();
}

// Makes the kernel notice a peer that went silent.
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

class http_client::channel {
public:
    channel() : easy(curl_easy_init()), multi(curl_multi_init()) {}
    ~channel() {
        curl_easy_cleanup(this->easy);
        curl_multi_cleanup(this->multi);
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    result<http_response, http_failure> get(const std::string& url,
                                            std::chrono::milliseconds timeout,
                                            const http_client_options& options,
                                            const std::atomic<bool>& stopping) {
        if (this->easy == nullptr || this->multi == nullptr) {
            return http_failure{.detail = "libcurl has no memory"};
        }
        arriving_answer state{.max_body_bytes = options.max_body_bytes,
                              .head_bytes = 0,
                              .body_too_large = false,
                              .answer = {}};
        unsigned silence_ms = static_cast<unsigned>(options.silence_limit.count());
        this->prepare(url, timeout, options, state, silence_ms);
        this->ended.store(stopping.load());
        curl_multi_add_handle(this->multi, this->easy);
        CURLcode outcome = this->run();
        curl_multi_remove_handle(this->multi, this->easy);
        if (outcome != CURLE_OK) {
            return http_failure{.detail = curl_easy_strerror(outcome),
                                .body_too_large = state.body_too_large};
        }
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &state.answer.status);
        return std::move(state.answer);
    }

    // Ends the call in progress.
    void end_call() {
        this->ended.store(true);
        curl_multi_wakeup(this->multi);
    }

private:
    void prepare(const std::string& url, std::chrono::milliseconds timeout,
                 const http_client_options& options, arriving_answer& state, unsigned& silence_ms) {
        curl_easy_reset(this->easy);
        curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(this->easy, CURLOPT_PROXY, "");  // Ignores variables of the environment.
        curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(options.connect_timeout.count()));
        curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
        curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, receive_body);
        curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, &state);
        curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, receive_header);
        curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, &state);
        curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
        curl_easy_setopt(this->easy, CURLOPT_SOCKOPTDATA, &silence_ms);
    }

    CURLcode run() {
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
            curl_multi_poll(this->multi, nullptr, 0, poll_timeout_ms, nullptr);
        }
        return CURLE_ABORTED_BY_CALLBACK;
    }

    std::atomic<bool> ended{false};
    CURL* easy;    // Null when libcurl has no memory.
    CURLM* multi;  // Likewise.
};

http_client::http_client(http_client_options settings) : options(settings) {
    initialise_curl();
}

http_client::~http_client() = default;

std::shared_ptr<http_client::channel> http_client::take_channel() {
    absl::MutexLock lock(&this->mutex);
    std::shared_ptr<channel> taken;
    if (this->idle.empty()) {
        taken = std::make_shared<channel>();
    } else {
        taken = std::move(this->idle.back());
        this->idle.pop_back();
    }
    this->busy.push_back(taken);
    return taken;
}

// A channel whose call failed may hold a connection that went silent, so it is not used again.
void http_client::return_channel(std::shared_ptr<channel> used, bool reusable) {
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
        std::shared_ptr<channel> used = this->take_channel();
        auto outcome = used->get(url, timeout, this->options, this->stopping);
        this->return_channel(std::move(used), std::holds_alternative<http_response>(outcome));
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
