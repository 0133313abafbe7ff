// Lossless compression (Zstandard) of data that is sent to several peers.
//
// Example:
//
//     std::string packed = trefoil::compress(body);
//     std::optional<std::string> body = trefoil::decompress(packed, max_body_bytes);

#ifndef TREFOIL_BASE_COMPRESSION_H_
#define TREFOIL_BASE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

// Returns one Zstandard frame that states the size of its content. Throws std::bad_alloc when there
// is no memory for it.
std::string compress(std::string_view data);

// Returns the content of a frame made by compress(), or nothing if `data` is not exactly one intact
// frame or its content is larger than `max_bytes`. Never allocates more than `max_bytes` for the
// content.
std::optional<std::string> decompress(std::string_view data, std::size_t max_bytes);

}  // namespace trefoil

#endif  // TREFOIL_BASE_COMPRESSION_H_
