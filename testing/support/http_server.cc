// Implements the HTTP server on libmicrohttpd.

#include "support/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <utility>

namespace trefoil::testing {

namespace {

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

MHD_Result add_header(void* target, MHD_ValueKind, const char* key, const char* value) {
    static_cast<http_request*>(target)->headers[lower(key)] = value != nullptr ? value : "";
    return MHD_YES;
}

MHD_Result add_argument(void* target, MHD_ValueKind, const char* key, const char* value) {
    static_cast<http_request*>(target)->query[key] = value != nullptr ? value : "";
    return MHD_YES;
}

MHD_Result queue(MHD_Connection* connection, const http_response& response) {
    // The library copies the body; its parameter is not const for historical reasons.
    MHD_Response* reply = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : response.headers) {
        MHD_add_response_header(reply, name.c_str(), value.c_str());
    }
    MHD_Result queued = MHD_queue_response(connection, response.status, reply);
    MHD_destroy_response(reply);
    return queued;
}

// Called once with the headers, then per part of the body, then once with no data left.
MHD_Result on_request(void* context, MHD_Connection* connection, const char* url,
                      const char* method, const char*, const char* data, size_t* size,
                      void** state) {
    if (*state == nullptr) {
        auto request = std::make_unique<http_request>();
        request->method = method;
        request->path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header, request.get());
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, add_argument, request.get());
        request->socket =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *state = request.release();
        return MHD_YES;
    }
    auto* request = static_cast<http_request*>(*state);
    if (*size > 0) {
        request->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return queue(connection, (*static_cast<http_server::handler*>(context))(*request));
}

void on_completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
    delete static_cast<http_request*>(*state);
    *state = nullptr;
}

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

}  // namespace

std::string http_request::header(const std::string& name) const {
    auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

std::int64_t http_request::number(const std::string& name, std::int64_t fallback) const {
    auto found = this->query.find(name);
    if (found == this->query.end() || found->second.empty()) {
        return fallback;
    }
    char* end = nullptr;
    std::int64_t value = std::strtoll(found->second.c_str(), &end, 10);
    return *end == '\0' ? value : fallback;
}

bool http_request::wait(std::chrono::milliseconds duration) const {
    pollfd closed{.fd = this->socket, .events = POLLRDHUP, .revents = 0};
    return ::poll(&closed, 1, static_cast<int>(duration.count())) <= 0;
}

http_server::http_server(std::uint16_t port, handler answer) : respond(std::move(answer)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, port,
        nullptr, nullptr, on_request, &this->respond, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, nullptr, MHD_OPTION_CONNECTION_LIMIT, 1000U,
        MHD_OPTION_END);
    if (this->daemon == nullptr) {
        std::fprintf(stderr, "cannot listen on 127.0.0.1:%u\n", port);
        std::exit(2);
    }
}

http_server::~http_server() {
    MHD_stop_daemon(this->daemon);
}

void block_stop_signals() {
    sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal() {
    sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

}  // namespace trefoil::testing
