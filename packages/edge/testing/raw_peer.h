// TCP socket and server for tests that need bytes which no HTTP library sends.

#ifndef TREFOIL_EDGE_TESTING_RAW_PEER_H_
#define TREFOIL_EDGE_TESTING_RAW_PEER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

namespace trefoil::edge::testing {

// Throws std::system_error when a socket call has failed.
inline void throw_on_error(int result, const char* call) {
    if (result != 0) {
        throw std::system_error(errno, std::generic_category(), call);
    }
}

class raw_socket {
public:
    explicit raw_socket(int opened) : descriptor(opened) {}
    raw_socket(raw_socket&& other) noexcept : descriptor(std::exchange(other.descriptor, -1)) {}
    ~raw_socket() { this->close(); }

    // A small `receive_buffer` (bytes; 0: the system's default) makes the peer notice early that
    // this side does not read.
    static raw_socket connect_to(std::uint16_t port, int receive_buffer = 0) {
        return connect_to(loopback(port), receive_buffer);
    }
    static raw_socket connect_to(const sockaddr_in& address, int receive_buffer = 0) {
        raw_socket made(::socket(AF_INET, SOCK_STREAM, 0));
        if (receive_buffer > 0) {
            throw_on_error(::setsockopt(made.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                                        sizeof(receive_buffer)),
                           "setsockopt");
        }
        throw_on_error(::connect(made.descriptor, reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)),
                       "connect");
        return made;
    }

    static sockaddr_in loopback(std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void write(std::string_view bytes) const {
        ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    struct readiness {
        bool writable = false;
        bool readable = false;
    };
    // Waits until bytes can be written.
    readiness wait_writable(std::chrono::milliseconds limit) const {
        pollfd entry{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        ::poll(&entry, 1, static_cast<int>(limit.count()));
        bool writable = (entry.revents & POLLOUT) != 0;
        entry = {.fd = this->descriptor, .events = POLLIN, .revents = 0};
        return {.writable = writable, .readable = ::poll(&entry, 1, 0) > 0};
    }
    // Writes what can be written without waiting. Returns the number of bytes, 0 on an error.
    std::size_t write_some(std::string_view bytes) const {
        auto sent =
            ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    // Writes `unit` repeatedly until the peer closes the connection. Returns whether it did so
    // within the limit.
    bool write_until_closed(std::string_view unit, std::chrono::milliseconds pause,
                            std::chrono::milliseconds limit) const {
        auto end = std::chrono::steady_clock::now() + limit;
        timeval send_timeout{.tv_sec = 0, .tv_usec = 50'000};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
                     sizeof(send_timeout));
        std::size_t done = 0;  // Bytes of `unit` written in this round.
        while (std::chrono::steady_clock::now() < end) {
            auto sent =
                ::send(this->descriptor, unit.data() + done, unit.size() - done, MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
                return true;
            }
            if (sent > 0) {
                done = (done + static_cast<std::size_t>(sent)) % unit.size();
            }
            std::this_thread::sleep_for(pause);
        }
        return false;
    }

    // Reads until the text contains `end`, the peer closes, or nothing arrives for `timeout_ms`.
    std::string read_until(std::string_view end, int timeout_ms = 2000) const {
        std::string text;
        char bytes[4096];
        while (end.empty() || text.find(end) == std::string::npos) {
            pollfd entry{.fd = this->descriptor, .events = POLLIN, .revents = 0};
            if (::poll(&entry, 1, timeout_ms) <= 0) {
                break;
            }
            auto got = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
            if (got <= 0) {
                break;
            }
            text.append(bytes, static_cast<std::size_t>(got));
        }
        return text;
    }
    std::string read_all(int timeout_ms = 2000) const { return this->read_until("", timeout_ms); }

    // Waits for bytes and returns up to `max_bytes`; none when the peer closes or nothing arrives
    // for `timeout_ms`.
    std::string read_some(std::size_t max_bytes, int timeout_ms = 2000) const {
        std::string bytes(max_bytes, '\0');
        pollfd entry{.fd = this->descriptor, .events = POLLIN, .revents = 0};
        if (::poll(&entry, 1, timeout_ms) <= 0) {
            return {};
        }
        auto got = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
        bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return bytes;
    }

    // Whether the peer closes the connection within the time.
    bool closed_by_peer(int timeout_ms) const {
        pollfd entry{.fd = this->descriptor, .events = POLLIN, .revents = 0};
        char byte = 0;
        return ::poll(&entry, 1, timeout_ms) > 0 &&
               ::recv(this->descriptor, &byte, 1, MSG_PEEK) <= 0;
    }

    void close() {
        if (this->descriptor >= 0) {
            ::close(std::exchange(this->descriptor, -1));
        }
    }

private:
    int descriptor;
};

// Accepts connections one after the other and passes each to `serve` on a separate thread, with the
// number of the connection, starting from 1.
class raw_server {
public:
    explicit raw_server(std::function<void(raw_socket, int)> serve)
        : raw_server(raw_socket::loopback(0), std::move(serve)) {}
    raw_server(sockaddr_in address, std::function<void(raw_socket, int)> serve)
        : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
        int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        throw_on_error(
            ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), "bind");
        ::listen(this->listener, 128);
        socklen_t size = sizeof(address);
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        this->bound_port = ntohs(address.sin_port);
        this->thread = std::thread([this, serve = std::move(serve)] {
            for (int number = 1;; ++number) {
                int accepted = ::accept(this->listener, nullptr, nullptr);
                if (accepted < 0) {
                    return;
                }
                std::thread(serve, raw_socket(accepted), number).detach();
            }
        });
    }
    ~raw_server() {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint16_t port() const { return this->bound_port; }

private:
    int listener;
    std::uint16_t bound_port = 0;
    std::thread thread;
};

}  // namespace trefoil::edge::testing

#endif  // TREFOIL_EDGE_TESTING_RAW_PEER_H_
