// Implements the configuration service's protocol with libcurl.

#include "platform/http_configuration_service.h"

#include <curl/curl.h>

#include <charconv>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

#include "fmt/format.h"

namespace trefoil::platform {

namespace {

constexpr std::string_view revision_header = "revision:";

// libcurl initialises itself with the first handle in a way that is not safe between threads, so
// it is initialised once before.
void initialise_curl() {
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

// The response of one call while it arrives.
struct response {
    std::size_t max_body_bytes = 0;
    const std::atomic<bool>* stopping = nullptr;
    std::string body;
    std::optional<std::uint64_t> revision;
};

std::size_t receive_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto& answer = *static_cast<response*>(target);
    std::size_t bytes = size * count;
    if (answer.body.size() + bytes > answer.max_body_bytes) {
        return 0;
    }
    answer.body.append(data, bytes);
    return bytes;
}

// Parses the value of the header `Revision`, whose name is case-insensitive.
std::optional<std::uint64_t> parse_revision(std::string_view line) {
    if (line.size() < revision_header.size()) {
        return std::nullopt;
    }
    std::string_view name = line.substr(0, revision_header.size());
    if (!curl_strnequal(name.data(), revision_header.data(), revision_header.size())) {
        return std::nullopt;
    }
    std::string_view value = line.substr(revision_header.size());
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
        value.remove_prefix(1);
    }
    while (!value.empty() &&
           (value.back() == '\r' || value.back() == '\n' || value.back() == ' ')) {
        value.remove_suffix(1);
    }
    std::uint64_t revision = 0;
    auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), revision);
    if (error != std::errc() || end != value.data() + value.size()) {
        return std::nullopt;
    }
    return revision;
}

std::size_t receive_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string_view line(data, size * count);
    auto revision = parse_revision(line);
    if (revision.has_value()) {
        static_cast<response*>(target)->revision = revision;
    }
    return line.size();
}

// Asked by libcurl at least once a second; a value other than 0 ends the call.
int report_progress(void* target, curl_off_t /*total_down*/, curl_off_t /*down*/,
                    curl_off_t /*total_up*/, curl_off_t /*up*/) {
    return static_cast<response*>(target)->stopping->load() ? 1 : 0;
}

// Percent-encodes every byte of a document name that is neither unreserved nor a slash (RFC 3986).
std::string encode_name(std::string_view name) {
    std::string encoded;
    for (char c : name) {
        bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                     c == '-' || c == '.' || c == '_' || c == '~' || c == '/';
        if (plain) {
            encoded.push_back(c);
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

read_result interpret(const read_request& request, long status, response& answer) {
    if (status == 404) {
        return absent{};
    }
    if (status != 200 && status != 304) {
        return unavailable{.detail = fmt::format("status {}", status)};
    }
    if (!answer.revision.has_value()) {
        return unavailable{.detail = "the response has no valid header Revision"};
    }
    if (status == 304) {
        return unchanged{.revision = *answer.revision};
    }
    if (*answer.revision <= request.after) {
        return unavailable{.detail = fmt::format("revision {} is not greater than {}",
                                                 *answer.revision, request.after)};
    }
    return document{.revision = *answer.revision, .body = std::move(answer.body)};
}

}  // namespace

class http_configuration_service::handle {
public:
    handle() : curl(curl_easy_init()) {}
    ~handle() { curl_easy_cleanup(this->curl); }
    handle(const handle&) = delete;
    handle& operator=(const handle&) = delete;

    CURL* get() { return this->curl; }

private:
    CURL* curl;  // Null when libcurl has no memory.
};

http_configuration_service::http_configuration_service(http_configuration_service_options settings)
    : options(std::move(settings)) {
    initialise_curl();
}

http_configuration_service::~http_configuration_service() = default;

std::unique_ptr<http_configuration_service::handle> http_configuration_service::take_handle() {
    absl::MutexLock lock(&this->mutex);
    if (this->idle.empty()) {
        return std::make_unique<handle>();
    }
    std::unique_ptr<handle> taken = std::move(this->idle.back());
    this->idle.pop_back();
    return taken;
}

void http_configuration_service::return_handle(std::unique_ptr<handle> used) {
    absl::MutexLock lock(&this->mutex);
    this->idle.push_back(std::move(used));
}

read_result http_configuration_service::read(const read_request& request) {
    this->started.fetch_add(1);
    read_result answer = unavailable{.detail = "stopping"};
    if (!this->stopping.load()) {
        try {
            std::unique_ptr<handle> connection = this->take_handle();
            answer = this->perform(*connection, request);
            // A handle that failed may hold a connection that went silent, so it is not reused.
            if (!std::holds_alternative<unavailable>(answer)) {
                this->return_handle(std::move(connection));
            }
        } catch (const std::exception& error) {
            answer = unavailable{.detail = error.what()};
        }
    }
    if (std::holds_alternative<unavailable>(answer)) {
        this->failed.fetch_add(1);
    }
    return answer;
}

read_result http_configuration_service::perform(handle& connection, const read_request& request) {
    CURL* curl = connection.get();
    if (curl == nullptr) {
        return unavailable{.detail = "libcurl has no handle"};
    }
    response answer;
    answer.max_body_bytes = this->options.max_body_bytes;
    answer.stopping = &this->stopping;
    std::string url = fmt::format("{}/documents/{}?after={}&wait_ms={}", this->options.url,
                                  encode_name(request.name), request.after, request.wait.count());
    auto total = request.wait + this->options.connect_timeout + this->options.response_timeout;
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_PROXY, "");  // Ignores proxy variables of the environment.
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(this->options.connect_timeout.count()));
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(total.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, report_progress);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &answer);
    CURLcode outcome = curl_easy_perform(curl);
    if (outcome != CURLE_OK) {
        return unavailable{.detail = curl_easy_strerror(outcome)};
    }
    this->received_bytes.fetch_add(answer.body.size());
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    return interpret(request, status, answer);
}

http_configuration_service::call_counts http_configuration_service::counts() const {
    return {.started = this->started.load(),
            .unavailable = this->failed.load(),
            .body_bytes = this->received_bytes.load()};
}

}  // namespace trefoil::platform
