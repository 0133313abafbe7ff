// One persistent HTTP/1.1 connection to a daemon. libcurl retries a request by itself when a reused
// connection closes before the response; this client sends each request exactly once, so that the
// reported outcome is the one that the daemon caused.
//
// Example:
//
//     persistent_connection connection;
//     if (connection.open("127.0.0.1:8001")) {
//         http_reply reply = connection.perform({.url = "http://127.0.0.1:8001/station/a"});
//     }

#ifndef TREFOIL_TESTING_LOAD_CLIENT_PERSISTENT_CONNECTION_H_
#define TREFOIL_TESTING_LOAD_CLIENT_PERSISTENT_CONNECTION_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "support/event_log.h"
#include "support/http.h"

namespace trefoil::testing {

class persistent_connection {
public:
    persistent_connection() = default;
    ~persistent_connection() { this->close(); }
    persistent_connection(const persistent_connection&) = delete;
    persistent_connection& operator=(const persistent_connection&) = delete;

    // Connects to `target` ("ip:port") unless the current connection is still open. Returns false
    // when the connection attempt fails.
    bool open(const std::string& target) {
        if (this->descriptor >= 0 && this->is_idle_and_open()) {
            return true;
        }
        this->close();
        std::size_t colon = target.rfind(':');
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(target.substr(colon + 1))));
        ::inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr);
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0) {
            this->close();
            return false;
        }
        return true;
    }

    // Sends the request and waits for the response, for at most `call.timeout`. Requires that
    // open() returned true since the previous call. Closes the connection after an error ("reset"
    // or "timeout") or a response with Connection: close.
    http_reply perform(const http_call& call) {
        std::string bytes = serialize_request(call);
        if (::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(bytes.size())) {
            this->close();
            return {.error = "reset"};
        }
        http_reply reply = this->receive(now_us() + call.timeout.count() * 1000);
        if (!reply.error.empty() || reply.header("connection") == "close") {
            this->close();
        }
        return reply;
    }

private:
    static constexpr std::size_t read_chunk_bytes = 16384;

    // An idle connection becomes readable only when the daemon has closed it.
    bool is_idle_and_open() const {
        pollfd state{.fd = this->descriptor, .events = POLLIN, .revents = 0};
        return ::poll(&state, 1, 0) == 0;
    }

    void close() {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

    static std::string serialize_request(const http_call& call) {
        std::size_t host = call.url.find("//") + 2;
        std::size_t path = call.url.find('/', host);
        std::string bytes = call.method + " " + call.url.substr(path) +
                            " HTTP/1.1\r\nHost: " + call.url.substr(host, path - host) + "\r\n";
        for (const std::string& header : call.headers) {
            bytes += header + "\r\n";
        }
        if (call.method != "GET") {
            bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
        }
        return bytes + "\r\n" + call.body;
    }

    http_reply receive(std::int64_t end_us) {
        std::string text;
        std::size_t body = std::string::npos;
        std::size_t length = 0;
        http_reply reply;
        while (body == std::string::npos || text.size() < body + length) {
            pollfd state{.fd = this->descriptor, .events = POLLIN, .revents = 0};
            int left_ms = static_cast<int>(std::max<std::int64_t>((end_us - now_us()) / 1000, 0));
            if (::poll(&state, 1, left_ms) == 0) {
                return {.error = "timeout"};
            }
            std::string more(read_chunk_bytes, '\0');
            ssize_t got = ::recv(this->descriptor, more.data(), more.size(), 0);
            if (got <= 0) {
                return {.error = "reset"};
            }
            text.append(more, 0, static_cast<std::size_t>(got));
            std::size_t head_end = text.find("\r\n\r\n");
            if (body == std::string::npos && head_end != std::string::npos) {
                body = head_end + 4;
                parse_head(text.substr(0, head_end), reply);
                length = std::stoul("0" + reply.header("content-length"));
            }
        }
        reply.body = text.substr(body, length);
        return reply;
    }

    static void parse_head(const std::string& head, http_reply& reply) {
        reply.status = std::stol("0" + head.substr(std::min(head.size(), head.find(' ') + 1), 3));
        for (std::size_t at = head.find("\r\n"); at != std::string::npos;) {
            std::size_t next = head.find("\r\n", at + 2);
            std::string line =
                head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            std::size_t colon = line.find(": ");
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            reply.headers[name] = colon == std::string::npos ? "" : line.substr(colon + 2);
            at = next;
        }
    }

    int descriptor = -1;  // -1 while closed.
};

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_LOAD_CLIENT_PERSISTENT_CONNECTION_H_
