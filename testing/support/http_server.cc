// Implements the HTTP server on libmicrohttpd.

#include "support/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <strings.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>

namespace trefoil::testing {

namespace {

MHD_Result add_field(void* target, MHD_ValueKind, const char* key, const char* value) {
    std::string name(key);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    (*static_cast<std::map<std::string, std::string>*>(target))[name] = value ? value : "";
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
    auto* request = static_cast<http_request*>(*state);
    if (request == nullptr) {
        *state = request = new http_request{.method = method, .path = url};
        MHD_get_connection_values(connection, MHD_HEADER_KIND, add_field, &request->headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, add_field, &request->query);
        request->socket =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        return MHD_YES;
    }
    if (*size > 0) {
        request->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    return queue(connection, (*static_cast<http_handler*>(context))(*request));
}

void on_completed(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
    delete static_cast<http_request*>(*state);
    *state = nullptr;
}

}  // namespace

std::string http_request::header(const std::string& name) const {
    auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

std::int64_t http_request::number(const std::string& name, std::int64_t fallback) const {
    auto found = this->query.find(name);
    char* end = nullptr;
    std::int64_t value =
        found == this->query.end() ? 0 : std::strtoll(found->second.c_str(), &end, 10);
    return end != nullptr && end != found->second.c_str() && *end == '\0' ? value : fallback;
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
