// What the kernel says of a TCP connection. Apart from curl_loop, because the kernel's own header
// for this does not go together with the one of the C library, which Boost.Asio includes.

#ifndef TREFOIL_EDGE_RECEIVED_BYTES_H_
#define TREFOIL_EDGE_RECEIVED_BYTES_H_

#include <cstdint>
#include <optional>

namespace trefoil::edge::detail {

// Bytes of the stream that have arrived since the connection was opened, read or not. Nothing when
// the kernel does not say.
std::optional<std::uint64_t> received_bytes(int descriptor);

}  // namespace trefoil::edge::detail

#endif  // TREFOIL_EDGE_RECEIVED_BYTES_H_
