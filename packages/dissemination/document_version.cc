// Implements the order of contents.

#include "dissemination/document_version.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

bool same_content(const document_version& one, const document_version& other) {
    return (one.revision == 0) == (other.revision == 0) && one.checksum == other.checksum;
}

// Requires the same content.
document_version join(const document_version& one, const document_version& other) {
    std::uint64_t revision = std::max(one.revision, other.revision);
    return {.revision = revision,
            .checksum = one.checksum,
            .read_revision = std::max({revision, one.read_revision, other.read_revision})};
}

}  // namespace

version_relation relation_to(const document_version& held, const document_version& other) {
    if (same_content(held, other)) {
        return version_relation::same;
    }
    if (other.read_revision == held.read_revision) {
        return version_relation::conflicting;
    }
    return other.read_revision > held.read_revision ? version_relation::newer
                                                    : version_relation::older;
}

document_version merge_peer(const document_version& held, const document_version& peer) {
    version_relation relation = relation_to(held, peer);
    if (relation == version_relation::same) {
        return join(held, peer);
    }
    document_version merged = held;
    if (relation == version_relation::older && held.revision <= peer.revision) {
        merged.revision = held.read_revision;
    }
    return merged;
}

applied_reading apply_reading(const document_version& held, const platform_reading& reading) {
    const document_version& read = reading.version;
    if (same_content(held, read)) {
        if (reading.partial) {
            return {.outcome = reading_outcome::confirmed, .held = held};
        }
        // Another daemon may have read the same content later.
        if (read.read_revision < held.revision) {
            return {.outcome = reading_outcome::outdated, .held = held};
        }
        bool renamed = read.revision > held.revision;
        return {.outcome = renamed ? reading_outcome::newer : reading_outcome::confirmed,
                .held = join(held, read)};
    }
    if (read.revision > held.read_revision) {
        return {.outcome = reading_outcome::newer, .held = read};
    }
    if (read.read_revision < held.read_revision) {
        return {.outcome = reading_outcome::outdated, .held = held};
    }
    if (reading.partial || read.read_revision == held.read_revision) {
        return {.outcome = reading_outcome::conflicting, .held = held};
    }
    document_version replacing = read;
    replacing.revision = read.read_revision;
    return {.outcome = reading_outcome::newer, .held = replacing};
}

}  // namespace trefoil::dissemination
