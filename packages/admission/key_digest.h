// Reads a workspace key from a request, as the digest under which the configuration knows it.
//
// Example:
//
//     auto digest = admission::key_digest("Bearer", authorization_header);
//     // Look the digest up in the snapshot; nothing means `key_missing`.

#ifndef TREFOIL_ADMISSION_KEY_DIGEST_H_
#define TREFOIL_ADMISSION_KEY_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace trefoil::admission {

// Returns the SHA-256 digest (64 lower-case hex digits) of the key in the value of an Authorization
// header, or nothing when the value has another scheme than `scheme` or no key. Schemes are
// case-insensitive (RFC 9110, section 11.1).
std::optional<std::string> key_digest(std::string_view scheme, std::string_view authorization);

inline std::optional<std::string> bearer_key_digest(std::string_view authorization) {
    return key_digest("Bearer", authorization);
}

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_KEY_DIGEST_H_
