// Chooses the pair of base document and overlay in force from the documents that a daemon is
// offered, in any order.
//
// Example:
//
//     config::active_configuration active("north");
//     active.offer(config::make_document("base", 7, body));
//     auto outcome = active.offer(config::empty_overlay("north"));
//     if (auto* change = std::get_if<config::applied>(&outcome)) { slot.publish(change->current); }
//
// No pair is in force until both documents were offered. When the platform (404) or a peer says
// that the site has no overlay, offer empty_overlay(site). Assuming this without being told could
// put a base into force that is invalid with the site's overlay and that other daemons therefore
// refused, and there would be no way back to the older base.
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

// The pair in force changed.
struct applied {
    std::shared_ptr<const snapshot> current;
};

// The document is kept, but the pair in force did not change: the other document is missing, or no
// pair with this document is valid (see last_failure()).
struct held {
    friend bool operator==(const held&, const held&) = default;
};

// The document is held already or is older than the one in force.
struct ignored {
    friend bool operator==(const ignored&, const ignored&) = default;
};

// The checksum does not fit the body.
struct damaged_document {
    friend bool operator==(const damaged_document&, const damaged_document&) = default;
};

// The document is neither the base nor the overlay of this site, or it has a body and revision 0.
struct unknown_document {
    friend bool operator==(const unknown_document&, const unknown_document&) = default;
};

// A document with the same revision and another checksum is held; the held one stays.
struct conflicting_document {
    std::uint64_t held_checksum = 0;

    friend bool operator==(const conflicting_document&, const conflicting_document&) = default;
};

using offer_outcome =
    std::variant<applied, held, ignored, damaged_document, unknown_document, conflicting_document>;

// A pair that was not put into force, with the reasons.
struct rejected_pair {
    std::uint64_t base_revision = 0;
    std::uint64_t overlay_revision = 0;
    validation_failures failures;

    friend bool operator==(const rejected_pair&, const rejected_pair&) = default;
};

// What is held of one document. Absent revisions mean that nothing is held or in force; the missing
// overlay is held with revision 0.
struct document_status {
    std::string name;
    std::optional<document_version> newest;
    std::optional<document_version> in_force;

    friend bool operator==(const document_status&, const document_status&) = default;
};

class active_configuration {
public:
    explicit active_configuration(std::string_view site);

    // Tries (newest base, newest overlay), (newest base, overlay in force), (base in force, newest
    // overlay), then pairs with a document that was offered although a newer one was held: peers
    // send the version in force after a newer invalid one. A document in force is never replaced by
    // an older one.
    offer_outcome offer(document offered);

    // Returns null before a first valid pair.
    std::shared_ptr<const snapshot> in_force() const { return this->current; }

    // The bodies, so that peers can ask for either. Null when nothing is held under that name.
    const document* newest(std::string_view name) const;
    const document* in_force(std::string_view name) const;
    const document* find(std::string_view name, std::uint64_t revision) const;

    // The base, then the overlay.
    std::vector<document_status> versions() const;

    // Why the newest documents are not in force; empty when they are or when one was never offered.
    const std::optional<rejected_pair>& last_failure() const { return this->failure; }

private:
    using shared_document = std::shared_ptr<const document>;

    // Invariant: in_force <= candidate < newest by revision, as far as they are set.
    struct slot {
        std::string name;
        shared_document newest;
        shared_document candidate;  // Offered although older than the newest; newer than in_force.
        shared_document in_force;

        shared_document find(std::uint64_t revision) const;
        // Newest first; no duplicates, no nulls.
        std::vector<shared_document> options() const;
    };

    slot* slot_of(std::string_view name);
    const slot* slot_of(std::string_view name) const;
    void keep(slot& target, shared_document accepted) const;
    std::vector<std::pair<shared_document, shared_document>> pairs_to_try() const;
    bool choose();
    bool try_pair(const shared_document& base_choice, const shared_document& overlay_choice);
    void forget_superseded();

    slot base;
    slot overlay;
    snapshot_builder builder;
    std::shared_ptr<const snapshot> current;
    std::optional<rejected_pair> failure;
    // Revisions of pairs that were found invalid, so that a repeated offer costs no validation.
    std::set<std::pair<std::uint64_t, std::uint64_t>> invalid_pairs;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ACTIVE_CONFIGURATION_H_
