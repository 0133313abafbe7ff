// Reads the number of received bytes of a TCP connection from the kernel. Kept apart from
// curl_loop, because <linux/tcp.h> conflicts with <netinet/tcp.h>, which Boost.Asio includes.

#ifndef TREFOIL_EDGE_RECEIVED_BYTES_H_
#define TREFOIL_EDGE_RECEIVED_BYTES_H_

#include <cstdint>
#include <optional>

namespace trefoil::edge::detail {

// Returns the bytes that have arrived since the connection was opened, including unread ones, or
// nothing when the kernel does not report them.
std::optional<std::uint64_t> received_bytes(int descriptor);

}  // namespace trefoil::edge::detail

#endif  // TREFOIL_EDGE_RECEIVED_BYTES_H_
