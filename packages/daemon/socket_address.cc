// Implements the parsing of socket addresses.

#include "daemon/socket_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <system_error>

namespace trefoil::daemon {

namespace {

bool is_ipv4(const std::string& ip) {
    in_addr parsed{};
    return inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

bool is_ipv6(const std::string& ip, in6_addr& parsed) {
    return inet_pton(AF_INET6, ip.c_str(), &parsed) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto [rest, error] = std::from_chars(text.data(), end, port);
    bool complete = error == std::errc() && rest == end && port != 0;
    return complete ? std::optional(port) : std::nullopt;
}

}  // namespace

std::string socket_address::text() const {
    bool is_v6 = this->ip.find(':') != std::string::npos;
    return is_v6 ? fmt::format("[{}]:{}", this->ip, this->port)
                 : fmt::format("{}:{}", this->ip, this->port);
}

bool socket_address::is_unspecified() const {
    in6_addr parsed{};
    bool is_v6 = is_ipv6(this->ip, parsed);
    return this->ip == "0.0.0.0" || (is_v6 && IN6_IS_ADDR_UNSPECIFIED(&parsed));
}

std::optional<socket_address> parse_socket_address(std::string_view text) {
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::optional<std::uint16_t> port = parse_port(text.substr(colon + 1));
    std::string ip(text.substr(0, colon));
    bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    in6_addr parsed{};
    bool valid_ip = bracketed ? is_ipv6(ip, parsed) : is_ipv4(ip);
    if (!port || !valid_ip) {
        return std::nullopt;
    }
    return socket_address{.ip = std::move(ip), .port = *port};
}

}  // namespace trefoil::daemon
