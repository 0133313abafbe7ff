// Implements http_client over libcurl and the server over libmicrohttpd.

#include "support/http.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <poll.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>

namespace trefoil::testing {

namespace {

using text_map = std::map<std::string, std::string>;

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string value_or_empty(const text_map& values, const std::string& name) {
    auto found = values.find(name);
    return found == values.end() ? "" : found->second;
}

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<http_reply*>(target)->body.append(data, size * count);
    return size * count;
}

std::size_t store_header(char* data, std::size_t size, std::size_t count, void* target) {
    std::string line(data, size * count);
    std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string value = line.substr(colon + 2);
        value.erase(value.find_last_not_of("\r\n") + 1);
        static_cast<http_reply*>(target)->headers[to_lower(line.substr(0, colon))] = value;
    }
    return size * count;
}

std::string error_class(CURLcode code) {
    static const std::map<CURLcode, std::string> names = {
        {CURLE_OK, ""}, {CURLE_COULDNT_CONNECT, "refused"}, {CURLE_OPERATION_TIMEDOUT, "timeout"}};
    return names.count(code) > 0 ? names.at(code) : "reset";
}

MHD_Result store_field(void* target, MHD_ValueKind, const char* key, const char* value) {
    (*static_cast<text_map*>(target))[to_lower(key)] = value != nullptr ? value : "";
    return MHD_YES;
}

MHD_Result send_response(MHD_Connection* connection, const http_response& response) {
    // MHD_RESPMEM_MUST_COPY copies the body, so casting away const is safe.
    MHD_Response* reply = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : response.headers) {
        MHD_add_response_header(reply, name.c_str(), value.c_str());
    }
    MHD_Result queued = MHD_queue_response(connection, response.status, reply);
    MHD_destroy_response(reply);
    return queued;
}

// Called once with the headers, then for each part of the body, then once with *size == 0.
MHD_Result on_request(void* context, MHD_Connection* connection, const char* url,
                      const char* method, const char*, const char* data, size_t* size,
                      void** state) {
    auto* request = static_cast<http_request*>(*state);
    if (request == nullptr) {
        *state = request = new http_request{.method = method, .path = url};
        MHD_get_connection_values(connection, MHD_HEADER_KIND, store_field, &request->headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, store_field, &request->query);
        request->socket =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        return MHD_YES;
    }
    if (*size > 0) {
        request->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return send_response(connection, (*static_cast<http_handler*>(context))(*request));
}

void on_completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
    delete static_cast<http_request*>(*state);
    *state = nullptr;
}

}  // namespace

std::string http_reply::header(const std::string& name) const {
    return value_or_empty(this->headers, name);
}

nlohmann::json outcome_fields(const http_reply& reply, const std::string& request) {
    return {{"request", request},
            {"status", reply.status},
            {"reason", reply.header("trefoil-reason")},
            {"outcome", reply.header("trefoil-outcome")},
            {"error", reply.error}};
}

http_client::http_client() : handle(curl_easy_init()) {}

http_client::~http_client() {
    curl_easy_cleanup(this->handle);
}

http_reply http_client::perform(const http_call& call) {
    http_reply reply;
    auto set = [this](CURLoption option, auto value) {
        curl_easy_setopt(this->handle, option, value);
    };
    curl_easy_reset(this->handle);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : call.headers) {
        headers = curl_slist_append(headers, header.c_str());
    }
    set(CURLOPT_URL, call.url.c_str());
    set(CURLOPT_CUSTOMREQUEST, call.method.c_str());
    set(CURLOPT_HTTPHEADER, headers);
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_PROXY, "");
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    set(CURLOPT_WRITEFUNCTION, append_body);
    set(CURLOPT_WRITEDATA, &reply);
    set(CURLOPT_HEADERFUNCTION, store_header);
    set(CURLOPT_HEADERDATA, &reply);
    set(CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
    set(CURLOPT_FORBID_REUSE, call.fresh_connection ? 1L : 0L);
    if (call.method != "GET") {
        set(CURLOPT_POSTFIELDS, call.body.data());
        set(CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    }
    reply.error = error_class(curl_easy_perform(this->handle));
    curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &reply.status);
    curl_slist_free_all(headers);
    return reply;
}

std::string http_request::header(const std::string& name) const {
    return value_or_empty(this->headers, name);
}

std::int64_t http_request::number(const std::string& name, std::int64_t fallback) const {
    std::string text = value_or_empty(this->query, name);
    char* end = nullptr;
    std::int64_t number = std::strtoll(text.c_str(), &end, 10);
    return !text.empty() && *end == '\0' ? number : fallback;
}

bool http_request::wait(std::chrono::milliseconds duration) const {
    pollfd closed{.fd = this->socket, .events = POLLRDHUP, .revents = 0};
    return ::poll(&closed, 1, static_cast<int>(duration.count())) <= 0;
}

sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void serve(std::uint16_t port, http_handler handle) {
    sigset_t signals = block_stop_signals();
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr unsigned connection_limit = 1000;
    MHD_Daemon* daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, port,
        nullptr, nullptr, on_request, &handle, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, nullptr, MHD_OPTION_CONNECTION_LIMIT,
        connection_limit, MHD_OPTION_END);
    if (daemon == nullptr) {
        throw std::runtime_error("cannot listen on 127.0.0.1:" + std::to_string(port));
    }
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

}  // namespace trefoil::testing
