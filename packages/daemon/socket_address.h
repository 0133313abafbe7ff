// An IP address with a TCP port, as written in settings: "127.0.0.1:7001" or "[::1]:7001".
//
// Example:
//
//     auto address = daemon::parse_socket_address("127.0.0.1:7001");
//     if (address && !address->is_unspecified()) { ... }

#ifndef TREFOIL_DAEMON_SOCKET_ADDRESS_H_
#define TREFOIL_DAEMON_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil::daemon {

struct socket_address {
    std::string ip{};  // IPv4 or IPv6, without brackets.
    std::uint16_t port = 0;

    // Returns the form that settings use, with brackets around IPv6.
    std::string text() const;

    // Whether this is the wildcard address (0.0.0.0 or ::), which can be listened on but which
    // other machines cannot connect to.
    bool is_unspecified() const;

    friend bool operator==(const socket_address&, const socket_address&) = default;
};

// Returns nothing for host names, a missing port and port 0.
std::optional<socket_address> parse_socket_address(std::string_view text);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SOCKET_ADDRESS_H_
