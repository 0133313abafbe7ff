// Implements base64 with OpenSSL's libcrypto.

#include "base/base64.h"

#include <openssl/evp.h>

namespace trefoil {

std::string encode_base64(std::string_view bytes) {
    std::string text(base64_size(bytes.size()) + 1, '\0');  // libcrypto appends a NUL.
    int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                               reinterpret_cast<const unsigned char*>(bytes.data()),
                               static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
    constexpr std::size_t group = 4;
    if (text.size() % group != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / group * 3, '\0');
    int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                               reinterpret_cast<const unsigned char*>(text.data()),
                               static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock includes the padding in the size.
    std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

}  // namespace trefoil
