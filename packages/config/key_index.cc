// Implements the index of API keys as a sorted array.

#include "config/key_index.h"

#include <algorithm>
#include <cstring>

namespace trefoil::config {

namespace {

// The first bytes of a digest as a number; decides almost every comparison.
std::uint64_t leading_bytes(const sha256_digest& digest) {
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

bool is_less(const sha256_digest& left, const sha256_digest& right) {
    std::uint64_t left_bytes = leading_bytes(left);
    std::uint64_t right_bytes = leading_bytes(right);
    return left_bytes != right_bytes ? left_bytes < right_bytes : left < right;
}

}  // namespace

bool key_index::entry::precedes(const entry& other) const {
    return is_less(this->digest, other.digest) ||
           (this->digest == other.digest && this->workspace < other.workspace);
}

key_index::key_index(const std::map<std::string, workspace, std::less<>>& workspaces,
                     const std::map<std::string, access_key, std::less<>>& keys) {
    std::size_t count = keys.size();
    for (const auto& [name, each] : workspaces) {
        count += each.key_digests.size();
    }
    this->entries.reserve(count);
    std::map<std::string_view, std::uint32_t> positions;
    for (const auto& [name, each] : workspaces) {
        auto position = static_cast<std::uint32_t>(this->names.size());
        positions.emplace(name, position);
        this->names.push_back(name);
        for (const sha256_digest& digest : each.key_digests) {
            this->entries.push_back({.digest = digest, .workspace = position});
        }
    }
    for (const auto& [id, key] : keys) {
        auto digest = parse_sha256_hex(key.sha256);
        auto position = positions.find(key.workspace);
        if (digest && position != positions.end()) {
            this->entries.push_back({.digest = *digest, .workspace = position->second});
        }
    }
    std::sort(this->entries.begin(), this->entries.end(),
              [](const entry& left, const entry& right) { return left.precedes(right); });
}

const std::string* key_index::find(const sha256_digest& digest) const {
    auto found = std::lower_bound(this->entries.begin(), this->entries.end(), digest,
                                  [](const entry& each, const sha256_digest& wanted) {
                                      return is_less(each.digest, wanted);
                                  });
    bool exists = found != this->entries.end() && found->digest == digest;
    return exists ? &this->names[found->workspace] : nullptr;
}

std::optional<std::pair<std::string, std::string>> key_index::find_duplicate() const {
    auto found = std::adjacent_find(
        this->entries.begin(), this->entries.end(),
        [](const entry& left, const entry& right) { return left.digest == right.digest; });
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return std::pair(this->names[found->workspace], this->names[std::next(found)->workspace]);
}

}  // namespace trefoil::config
