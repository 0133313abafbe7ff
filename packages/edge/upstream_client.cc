// Implements upstream_client with libcurl's easy handles on a curl_loop.

#include "edge/upstream_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

#include "base/text.h"
#include "edge/curl_loop.h"

namespace trefoil::edge {

namespace {

// A connection is not reused during this time before the upstream closes it, so that no request is
// sent while the close is in transit.
constexpr std::chrono::seconds idle_margin{1};

class header_list {
public:
    explicit header_list(const std::vector<messages::header>& headers) {
        for (const messages::header& each : headers) {
            // Libcurl's notation for a header without a value is "Name;".
            this->append(each.value.empty() ? each.name + ";" : each.name + ": " + each.value);
        }
        // Unless these are disabled, libcurl adds headers of its own, and its "Expect:
        // 100-continue" delays larger bodies by a round trip.
        for (const char* name : {"Accept", "Content-Type", "Expect", "User-Agent"}) {
            if (!find_header(headers, name).has_value()) {
                this->append(std::string(name) + ":");
            }
        }
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

// Buffered bytes of the bodies of all responses in progress.
struct buffer_usage {
    std::size_t limit = 0;
    std::size_t bytes = 0;
    std::function<void()> on_limit_exceeded;
};

// State of one request from start to result.
struct transfer {
    transfer(upstream_request given, upstream_callback callback, const response_limits& limits)
        : request(std::move(given)),
          done(std::move(callback)),
          headers(request.headers),
          response(limits, request.method) {}

    upstream_request request;
    upstream_callback done;
    header_list headers;
    CURL* easy = nullptr;
    response_builder response;
    std::string_view header_for_reuse;               // Of the client's options.
    std::optional<std::string> echo_for_reuse = {};  // The request's value of that header.
    buffer_usage* shared_usage = nullptr;
    bool sent = false;  // Bytes of the request may have been sent.
};

// Libcurl aborts a transfer and closes its connection when a callback takes fewer bytes than given.
std::size_t on_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto* state = static_cast<transfer*>(target);
    if (!state->response.add_body({data, size * count})) {
        return 0;
    }
    state->shared_usage->bytes += size * count;
    if (state->shared_usage->bytes > state->shared_usage->limit) {
        state->shared_usage->on_limit_exceeded();
    }
    return size * count;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* target) {
    auto* state = static_cast<transfer*>(target);
    if (!state->response.add_line({data, size * count})) {
        return 0;
    }
    const auto& expected = state->echo_for_reuse;
    bool forbid = expected.has_value() && state->response.final_header_complete() &&
                  state->response.header(state->header_for_reuse) != expected;
    if (forbid) {
        curl_easy_setopt(state->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    return size * count;
}

// Called before each send. Libcurl resends a request with any method when a reused connection
// closes before the first byte of the response. That resend is aborted here, since retries are up
// to the owner of the client.
int before_send(void* target, char*, char*, int, int) {
    auto* state = static_cast<transfer*>(target);
    if (state->sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    state->sent = true;
    return CURL_PREREQFUNC_OK;
}

void set_method(CURL* handle, const upstream_request& request) {
    std::string_view body = request.body == nullptr ? std::string_view("") : *request.body;
    if (!body.empty() || request.method == "POST" || request.method == "PUT" ||
        request.method == "PATCH") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
    } else if (request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

response_lost describe_loss(CURLcode code, const transfer& state) {
    if (auto exceeded = state.response.loss()) {
        return {.why = *exceeded, .detail = std::string(loss_name(*exceeded))};
    }
    if (code == curl_loop::too_many_bytes) {
        return {.why = response_loss::too_many_bytes,
                .detail = std::string(loss_name(response_loss::too_many_bytes))};
    }
    return {.detail = curl_easy_strerror(code)};
}

upstream_result interpret(CURLcode code, transfer& state) {
    // Libcurl reports success when a connection ends within the headers.
    if (code == CURLE_OK && !state.response.header_complete()) {
        return response_lost{.detail = "incomplete header"};
    }
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(state.easy, CURLINFO_RESPONSE_CODE, &status);
        return state.response.take(static_cast<unsigned>(status));
    }
    if (!state.sent) {
        return code == CURLE_OPERATION_TIMEDOUT ? upstream_result(not_started{})
                                                : upstream_result(connection_refused{});
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return interrupted{.cancelled = false};
    }
    return describe_loss(code, state);
}

// Returns the idle timeout that the upstream announces in Keep-Alive.
std::optional<std::chrono::seconds> keep_alive_timeout(const http_response& response) {
    constexpr std::string_view name = "timeout=";
    std::string text = lower_case(find_header(response.headers, "Keep-Alive").value_or(""));
    std::size_t start = text.find(name);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    long seconds = 0;
    const char* first = text.data() + start + name.size();
    if (std::from_chars(first, text.data() + text.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

}  // namespace

class upstream_client::implementation {
public:
    implementation(upstream_client_options given, const time_source& time)
        : options(std::move(given)),
          clock(time),
          own_loop(this->options.loop == nullptr ? std::make_unique<io::event_loop>() : nullptr),
          loop(this->options.loop == nullptr ? *this->own_loop : *this->options.loop),
          transfers(this->loop, {.max_idle_connections = this->options.max_idle_connections}),
          idle_timeout(this->options.idle_timeout) {
        this->usage.limit = this->options.max_buffered_bytes;
        // Libcurl must not be called from its own callback.
        this->usage.on_limit_exceeded = [this] {
            this->loop.post([this] { this->drop_largest_responses(); });
        };
        if (this->own_loop != nullptr) {
            this->own_loop->start();
        }
    }

    ~implementation() {
        if (this->own_loop != nullptr) {
            this->own_loop->stop();
        }
        for (auto& [number, each] : this->running) {
            this->transfers.remove(each->easy);
            curl_easy_cleanup(each->easy);
        }
    }

    request_number start(upstream_request request, upstream_callback done) {
        request_number number = this->next_number.fetch_add(1);
        auto state =
            std::make_shared<transfer>(std::move(request), std::move(done), this->options.limits);
        this->loop.dispatch([this, number, state] { this->start_transfer(number, state); });
        return number;
    }

    void cancel(request_number number) {
        this->loop.dispatch([this, number] { this->abort(number); });
    }

    upstream_client_totals totals() const {
        return {.connections_opened = this->opened, .requests_sent = this->sent};
    }

private:
    void start_transfer(request_number number, const std::shared_ptr<transfer>& state) {
        auto left = std::chrono::floor<std::chrono::milliseconds>(state->request.deadline -
                                                                  this->clock.now());
        // After a pause of the process the deadline may have passed; such a request must not be
        // sent.
        state->easy = left.count() > 0 ? curl_easy_init() : nullptr;
        if (state->easy == nullptr) {
            this->loop.post([state] { state->done(not_started{}); });
            return;
        }
        this->configure_handle(*state, left);
        this->running[number] = state;
        this->transfers.start(state->easy,
                              [this, number](CURLcode code) { this->finish(number, code); });
    }

    void configure_handle(transfer& state, std::chrono::milliseconds left) {
        CURL* handle = state.easy;
        const upstream_request& request = state.request;
        std::string url = "http://" + this->options.address + request.target;
        state.shared_usage = &this->usage;
        state.header_for_reuse = this->options.header_for_reuse;
        state.echo_for_reuse = find_header(request.headers, state.header_for_reuse);
        auto connect = std::min(left, this->options.connect_timeout);
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
        // Otherwise a status line of HTTP/2 makes libcurl share the connection between requests.
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, state.headers.get());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect.count()));
        this->limit_connection_reuse(handle);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &before_send);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &state);
        set_method(handle, request);
    }

    // Libcurl counts whole seconds and reuses a connection up to one second beyond the given limit.
    void limit_connection_reuse(CURL* handle) const {
        auto idle_seconds = static_cast<long>(this->idle_timeout.count());
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, std::max(idle_seconds - 1, 0L));
        if (idle_seconds < 1) {
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        }
    }

    // Returns null when the request has already ended.
    std::shared_ptr<transfer> remove_running(request_number number) {
        auto found = this->running.find(number);
        if (found == this->running.end()) {
            return nullptr;
        }
        auto state = std::move(found->second);
        this->running.erase(found);
        this->sent += state->sent ? 1 : 0;
        this->usage.bytes -= state->response.buffered_bytes();
        long connects = 0;
        curl_easy_getinfo(state->easy, CURLINFO_NUM_CONNECTS, &connects);
        this->opened += static_cast<std::uint64_t>(connects);
        return state;
    }

    static void free_handle(transfer& state) {
        curl_easy_cleanup(state.easy);
        state.easy = nullptr;
    }

    void finish(request_number number, CURLcode code) {
        auto state = this->remove_running(number);
        if (state == nullptr) {
            return;
        }
        upstream_result result = interpret(code, *state);
        free_handle(*state);
        if (const auto* response = std::get_if<http_response>(&result)) {
            this->update_idle_timeout(*response);
        }
        state->done(std::move(result));
    }

    void update_idle_timeout(const http_response& response) {
        if (auto stated = keep_alive_timeout(response)) {
            this->idle_timeout = std::max(*stated - idle_margin, std::chrono::seconds(0));
        }
    }

    void abort(request_number number) {
        auto state = this->remove_running(number);
        if (state == nullptr) {
            return;
        }
        this->transfers.remove(state->easy);
        free_handle(*state);
        if (state->sent) {
            state->done(interrupted{.cancelled = true});
        } else {
            state->done(not_started{});
        }
    }

    // Drops the largest responses until the total is within the limit.
    void drop_largest_responses() {
        while (this->usage.bytes > this->usage.limit) {
            auto largest = std::max_element(this->running.begin(), this->running.end(),
                                            [](const auto& a, const auto& b) {
                                                return a.second->response.buffered_bytes() <
                                                       b.second->response.buffered_bytes();
                                            });
            auto state = this->remove_running(largest->first);
            this->transfers.remove(state->easy);
            free_handle(*state);
            state->done(
                response_lost{.why = response_loss::buffer_limit,
                              .detail = std::string(loss_name(response_loss::buffer_limit))});
        }
    }

    const upstream_client_options options;
    const time_source& clock;
    std::unique_ptr<io::event_loop> own_loop;
    io::event_loop& loop;
    std::atomic<request_number> next_number{1};
    std::atomic<std::uint64_t> opened{0};
    std::atomic<std::uint64_t> sent{0};
    // Used on the loop only.
    buffer_usage usage;
    curl_loop transfers;
    std::map<request_number, std::shared_ptr<transfer>> running;
    std::chrono::seconds idle_timeout;
};

upstream_client::upstream_client(upstream_client_options options, const time_source& clock)
    : self(std::make_unique<implementation>(std::move(options), clock)) {}

upstream_client::~upstream_client() = default;

request_number upstream_client::start(upstream_request request, upstream_callback done) {
    return this->self->start(std::move(request), std::move(done));
}

void upstream_client::cancel(request_number number) {
    this->self->cancel(number);
}

upstream_client_totals upstream_client::totals() const {
    return this->self->totals();
}

}  // namespace trefoil::edge
