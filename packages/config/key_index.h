// Maps API keys, given by their SHA-256 digests, to workspaces. A configuration may contain more
// than a hundred thousand keys, so an entry takes only a few bytes more than its digest.
//
// Example:
//
//     config::key_index index(contents.workspaces, contents.keys);
//     const std::string* workspace = index.find(sha256("key"));

#ifndef TREFOIL_CONFIG_KEY_INDEX_H_
#define TREFOIL_CONFIG_KEY_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "config/values.h"

namespace trefoil::config {

// Immutable.
class key_index {
public:
    // Indexes the digests of the workspaces and those of the keys with ids.
    key_index(const std::map<std::string, workspace, std::less<>>& workspaces,
              const std::map<std::string, access_key, std::less<>>& keys);

    // Returns the name of the workspace, or null if no key has the digest.
    const std::string* find(const sha256_digest& digest) const;

    // Returns the workspaces of two entries with the same digest, if there are any.
    std::optional<std::pair<std::string, std::string>> find_duplicate() const;

private:
    struct entry {
        sha256_digest digest{};
        std::uint32_t workspace = 0;  // Position in `names`.

        bool precedes(const entry& other) const;

        friend bool operator==(const entry&, const entry&) = default;
    };

    std::vector<std::string> names;
    std::vector<entry> entries;  // Sorted by entry::precedes().
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_KEY_INDEX_H_
