// Implements received_bytes with TCP_INFO of Linux 4.1 and later.

#include "edge/received_bytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace trefoil::edge::detail {

std::optional<std::uint64_t> received_bytes(int descriptor) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    constexpr std::size_t needed =
        offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < needed) {
        return std::nullopt;
    }
    return info.tcpi_bytes_received;
}

}  // namespace trefoil::edge::detail
