// Decides which of two contents of a document is the newer one, and what a reading of the platform
// or the digest of a peer changes.
//
// The platform counts all its changes with one revision. A content gets the revision at which a
// daemon first read it, so a change that is undone leaves two daemons with the same revision for
// what one of them read before the change and the other after its reversal. Contents are therefore
// ordered by the last revision of the platform at which they are known to have been read: of two
// readings, the one at the higher revision shows what the platform had later. A content is
// confirmed only by a reading that returned this content.
//
// Example:
//
//     applied_reading result = apply_reading(held, reading);
//     if (result.outcome == reading_outcome::confirmed) { ... }

#ifndef TREFOIL_DISSEMINATION_DOCUMENT_VERSION_H_
#define TREFOIL_DISSEMINATION_DOCUMENT_VERSION_H_

#include <cstdint>

namespace trefoil::dissemination {

// A content of a document, as this daemon holds it or as a peer or the platform states it.
struct document_version {
    // Names the content between daemons; 0 when there is none.
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;
    // The last revision of the platform at which this content is known to have been read, by this
    // daemon or by another one. At least `revision`.
    std::uint64_t read_revision = 0;

    friend bool operator==(const document_version&, const document_version&) = default;
};

enum class version_relation : std::uint8_t {
    same,         // The same content, or both have none.
    newer,        // The other content is the newer one.
    older,        // The held content is the newer one.
    conflicting,  // Two contents at one revision of the platform.
};

// Returns how the version of another daemon relates to the held one.
version_relation relation_to(const document_version& held, const document_version& other);

// Returns what is known of the held content after a peer has stated its version:
// * if both hold the same content, the higher of each revision;
// * if the held content is the newer one, a revision above that of the peer, so that the peer
//   adopts it;
// * otherwise the held version unchanged.
document_version merge_peer(const document_version& held, const document_version& peer);

// A content that the platform returned.
struct platform_reading {
    // `revision` is the one at which the platform is known to have had this content;
    // `read_revision` is that of the platform when it was read.
    document_version version;
    // Whether parts of the content were not read but kept from before, because the platform has
    // lost them for now. Such a reading does not show that another content is outdated.
    bool partial = false;

    friend bool operator==(const platform_reading&, const platform_reading&) = default;
};

enum class reading_outcome : std::uint8_t {
    confirmed,    // The platform has the held content.
    newer,        // The platform has a newer content, or a newer revision of the held one.
    outdated,     // The platform was read before the held content is known to have been.
    conflicting,  // Another content, but the revisions do not tell which one is the newer.
};

struct applied_reading {
    reading_outcome outcome = reading_outcome::outdated;
    // What is held from now on. Differs in more than its `read_revision` only if the outcome is
    // `newer`.
    document_version held;

    friend bool operator==(const applied_reading&, const applied_reading&) = default;
};

applied_reading apply_reading(const document_version& held, const platform_reading& reading);

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_DOCUMENT_VERSION_H_
