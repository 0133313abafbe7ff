// Computes the digest of the workspace key in a request. The configuration stores keys as digests.
//
// Example:
//
//     auto digest = admission::key_digest("Bearer", authorization_header);
//     // Look the digest up in the snapshot; without a digest the reason is `key_missing`.

#ifndef TREFOIL_ADMISSION_KEY_DIGEST_H_
#define TREFOIL_ADMISSION_KEY_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace trefoil::admission {

// Returns the SHA-256 digest (64 lower-case hexadecimal digits) of the key in the value of an
// Authorization header. Returns nothing when the value has no key or a scheme other than `scheme`.
// Schemes are compared without regard to case (RFC 9110, section 11.1).
std::optional<std::string> key_digest(std::string_view scheme, std::string_view authorization);

inline std::optional<std::string> bearer_key_digest(std::string_view authorization) {
    return key_digest("Bearer", authorization);
}

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_KEY_DIGEST_H_
