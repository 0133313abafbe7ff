// Implements upstream_client with one libcurl easy handle per worker thread.

#include "edge/upstream_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

namespace trefoil::edge {

namespace {

constexpr long connect_timeout_ms = 500;

// What the callbacks of one transfer fill in.
struct transfer {
    http_response response;
    const upstream_request* request = nullptr;
    bool too_large = false;
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto* state = static_cast<transfer*>(target);
    if (state->response.body.size() + size * count > max_body_bytes) {
        state->too_large = true;
        return 0;
    }
    state->response.body.append(data, size * count);
    return size * count;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* target) {
    auto* state = static_cast<transfer*>(target);
    std::string_view line(data, size * count);
    if (line.substr(0, 5) == "HTTP/") {
        state->response.headers.clear();  // A later status line follows an interim response.
        return size * count;
    }
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string_view value = line.substr(colon + 1);
        std::size_t first = value.find_first_not_of(" \t");
        std::size_t last = value.find_last_not_of(" \t\r\n");
        value = first == std::string_view::npos ? std::string_view()
                                                : value.substr(first, last - first + 1);
        state->response.headers.push_back(
            {.name = std::string(line.substr(0, colon)), .value = std::string(value)});
    }
    return size * count;
}

int on_progress(void* target, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
    auto* state = static_cast<transfer*>(target);
    const auto& cancelled = state->request->cancelled;
    return cancelled != nullptr && cancelled->load() ? 1 : 0;
}

class header_list {
public:
    explicit header_list(const std::vector<messages::header>& headers) {
        for (const messages::header& each : headers) {
            // "Name;" is libcurl's form of a header without a value.
            std::string line = each.value.empty() ? each.name + ";" : each.name + ": " + each.value;
            this->append(line);
        }
        this->append("Expect:");  // Without it, libcurl delays larger bodies by a round trip.
    }
    ~header_list() { curl_slist_free_all(this->list); }
    header_list(const header_list&) = delete;
    header_list& operator=(const header_list&) = delete;
    curl_slist* get() const { return this->list; }

private:
    void append(const std::string& line) {
        this->list = curl_slist_append(this->list, line.c_str());
    }
    curl_slist* list = nullptr;
};

void set_method(CURL* handle, const upstream_request& request) {
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" ||
        request.method == "PATCH") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    } else if (request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

upstream_result interpret(CURL* handle, CURLcode code, transfer& state) {
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        state.response.status = static_cast<unsigned>(status);
        return std::move(state.response);
    }
    if (code == CURLE_COULDNT_CONNECT) {
        return connection_refused{};
    }
    if (code == CURLE_ABORTED_BY_CALLBACK) {
        return interrupted{.cancelled = true};
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return interrupted{.cancelled = false};
    }
    return response_lost{.detail = state.too_large ? "response body above the limit"
                                                   : curl_easy_strerror(code)};
}

upstream_result perform(CURL* handle, const std::string& address, const upstream_request& request,
                        long timeout_ms) {
    curl_easy_reset(handle);  // Keeps the connection.
    transfer state;
    state.request = &request;
    std::string url = "http://" + address + request.target;
    header_list headers(request.headers);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, std::min(timeout_ms, connect_timeout_ms));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &on_progress);
    curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &state);
    if (!request.idempotent) {
        // libcurl sends a request again when a kept connection dies before the first response byte,
        // whatever the method. On a fresh connection it does not, so the request runs at most once.
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    set_method(handle, request);
    CURLcode code = curl_easy_perform(handle);
    return interpret(handle, code, state);
}

}  // namespace

upstream_client::upstream_client(upstream_client_options given, const time_source& time)
    : options(std::move(given)), clock(time) {
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

upstream_client::~upstream_client() {
    std::vector<std::thread> ending;
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        ending.swap(this->threads);
    }
    for (std::thread& thread : ending) {
        thread.join();
    }
}

void upstream_client::start(upstream_request request, upstream_callback done) {
    absl::MutexLock lock(&this->mutex);
    this->jobs.push_back({.request = std::move(request), .done = std::move(done)});
    bool more_threads = this->jobs.size() > this->idle &&
                        this->threads.size() < this->options.max_threads && !this->stopping;
    if (more_threads) {
        this->threads.emplace_back([this] { this->work(); });
    }
}

bool upstream_client::may_start(const upstream_request& request) const {
    bool cancelled = request.cancelled != nullptr && request.cancelled->load();
    return !cancelled && this->clock.now() < request.deadline;
}

void upstream_client::work() {
    CURL* handle = curl_easy_init();
    while (true) {
        job current;
        {
            absl::MutexLock lock(&this->mutex);
            ++this->idle;
            this->mutex.Await(absl::Condition(this, &upstream_client::has_work_or_stops));
            --this->idle;
            if (this->jobs.empty()) {
                break;
            }
            current = std::move(this->jobs.front());
            this->jobs.pop_front();
        }
        if (!this->may_start(current.request)) {
            current.done(not_started{});
            continue;
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(current.request.deadline -
                                                                          this->clock.now());
        long timeout_ms = std::max<long>(static_cast<long>(left.count()), 1);
        current.done(perform(handle, this->options.address, current.request, timeout_ms));
    }
    curl_easy_cleanup(handle);
}

}  // namespace trefoil::edge
