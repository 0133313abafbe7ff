// Selects which versions of the base document and of the site's overlay a daemon applies. Documents
// may be offered in any order.
//
// Terms:
// - In force: the version of a document, or the pair of both, that the daemon currently applies.
// - Newest: the version with the highest revision that was offered, valid or not.
//
// Example:
//
//     config::active_configuration active("north");
//     active.offer(config::make_document("base", 7, body));
//     auto outcome = active.offer(config::empty_overlay("north"));
//     if (auto* change = std::get_if<config::applied>(&outcome)) { use(change->current); }
//
// No pair is in force until both documents were offered. If the platform (404) or a peer reports
// that the site has no overlay, the caller offers empty_overlay(site). The class does not assume a
// missing overlay by itself: a base that is invalid with the site's overlay, and that the other
// daemons therefore rejected, could otherwise come into force, and the daemon could not return to
// the older base.
//
// Not safe for concurrent use; other threads read published snapshots.

#ifndef TREFOIL_CONFIG_ACTIVE_CONFIGURATION_H_
#define TREFOIL_CONFIG_ACTIVE_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "config/document.h"
#include "config/snapshot.h"
#include "config/snapshot_builder.h"
#include "config/validation_failure.h"

namespace trefoil::config {

// Outcome of an offer: a new pair is in force.
struct applied {
    std::shared_ptr<const snapshot> current;
};

// Outcome of an offer: the document is stored, but the pair in force did not change, because the
// other document is missing or no pair with this document is valid (see last_failure()).
struct stored {
    friend bool operator==(const stored&, const stored&) = default;
};

// Outcome of an offer: the document is already stored or is older than the one in force.
struct ignored {
    friend bool operator==(const ignored&, const ignored&) = default;
};

// Outcome of an offer: the checksum does not match the body.
struct damaged_document {
    friend bool operator==(const damaged_document&, const damaged_document&) = default;
};

// Outcome of an offer: the document is neither the base nor the overlay of this site, or it has
// revision 0 without being an empty overlay.
struct unknown_document {
    friend bool operator==(const unknown_document&, const unknown_document&) = default;
};

// Outcome of an offer: a document with the same revision and another checksum is already stored.
// The stored one stays.
struct conflicting_document {
    std::uint64_t stored_checksum = 0;

    friend bool operator==(const conflicting_document&, const conflicting_document&) = default;
};

using offer_outcome = std::variant<applied, stored, ignored, damaged_document, unknown_document,
                                   conflicting_document>;

// An invalid pair of documents and the reasons.
struct rejected_pair {
    std::uint64_t base_revision = 0;
    std::uint64_t overlay_revision = 0;
    validation_failures failures;

    friend bool operator==(const rejected_pair&, const rejected_pair&) = default;
};

// The stored versions of one document. `newest` is absent before the first offer, `in_force` before
// the first valid pair. A missing overlay has revision 0.
struct document_status {
    std::string name;
    std::optional<document_version> newest;
    std::optional<document_version> in_force;

    friend bool operator==(const document_status&, const document_status&) = default;
};

class active_configuration {
public:
    // A base document larger than `max_document_bytes` is invalid.
    explicit active_configuration(std::string_view site,
                                  std::size_t max_document_bytes = document_bytes_max);

    // Stores the document and applies the first valid pair in this order: (newest base, newest
    // overlay), (newest base, overlay in force), (base in force, newest overlay), then pairs with a
    // fallback, that is a document older than the newest one. Fallbacks are needed because peers
    // send the version in force after a newer invalid one. A document in force is never replaced
    // by an older one.
    offer_outcome offer(document offered);

    // Returns the snapshot of the pair in force, or null before the first valid pair.
    std::shared_ptr<const snapshot> in_force() const { return this->current; }

    // Return a stored document, for peers that request its body. Return null if there is none.
    const document* newest(std::string_view name) const;
    const document* in_force(std::string_view name) const;
    const document* find(std::string_view name, std::uint64_t revision) const;

    // Returns the status of the base, then of the overlay.
    std::vector<document_status> versions() const;

    // Returns why the newest documents are not in force; empty if they are, or if one of the two
    // was never offered.
    const std::optional<rejected_pair>& last_failure() const { return this->failure; }

private:
    using shared_document = std::shared_ptr<const document>;

    // The stored versions of one document. Invariant: in_force <= fallback < newest by revision,
    // for those that are set.
    struct tracked_document {
        std::string name;
        shared_document newest;
        shared_document fallback;  // Older than `newest`; used if `newest` is invalid.
        shared_document in_force;

        shared_document find(std::uint64_t revision) const;
        // Returns the distinct versions.
        std::vector<shared_document> versions_newest_first() const;
    };

    tracked_document* find_tracked(std::string_view name);
    const tracked_document* find_tracked(std::string_view name) const;
    void store(tracked_document& target, shared_document accepted) const;
    std::vector<std::pair<shared_document, shared_document>> candidate_pairs() const;
    bool activate_best_pair();
    bool activate_if_valid(const shared_document& base_choice,
                           const shared_document& overlay_choice);
    void drop_superseded();

    tracked_document base;
    tracked_document overlay;
    snapshot_builder builder;
    std::shared_ptr<const snapshot> current;
    std::optional<rejected_pair> failure;
    // Base and overlay revisions of invalid pairs, which are not validated again.
    std::set<std::pair<std::uint64_t, std::uint64_t>> invalid_pairs;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ACTIVE_CONFIGURATION_H_
