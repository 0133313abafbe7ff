// When the held documents were last confirmed to be the newest, per document and by each source:
// (a) the platform, (b) a peer with the same revision that was confirmed, (c) a majority of the
// instance list that holds nothing newer.
//
// A peer of another site does not hold this site's overlay. It can confirm `base` and `instances`,
// and its age vector says nothing about this site's overlay. So the overlay is confirmed by the
// platform, by peers of the same site, or by a majority of the listed instances of the same site;
// entries of the vector about this site's instances are taken from peers of the same site only.
//
// Example:
//
//     confirmation state("station-1", "north");
//     state.confirm(base_index, requested_at - age, true);
//     std::optional<mono_time> at = state.confirmed_at();

#ifndef TREFOIL_DISSEMINATION_CONFIRMATION_H_
#define TREFOIL_DISSEMINATION_CONFIRMATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "dissemination/held_documents.h"
#include "membership/instance_list.h"

namespace trefoil::dissemination {

// Stands for a time that is not known.
constexpr mono_time unknown_time = mono_time::min();

class confirmation {
public:
    confirmation(std::string self_id, std::string self_site);

    // Keeps what is known of instances that are on both lists.
    void set_list(std::shared_ptr<const membership::instance_list> next);

    // The platform returned the held revision at `at`, as read here or by a peer.
    void confirm(std::size_t document, mono_time at);

    // The held revision of a document has changed. What was confirmed before stays confirmed,
    // because the new revision is not older, but peers can no longer use it.
    void record_new_revision(std::size_t document);

    // A peer's reply to a digest asked for at `requested_at` held nothing newer than this daemon in
    // any document that both hold. `ages` is empty unless both have the same list.
    void record_nothing_newer(const std::string& peer, bool same_site, mono_time requested_at,
                              const std::vector<std::uint8_t>& ages);

    // A peer was in contact at `at`, and said how long ago each instance was, whatever they hold.
    // `ages` is empty unless both have the same list.
    void record_peer_contact(const std::string& peer, mono_time at,
                             const std::vector<std::uint8_t>& ages);

    // Applies source (c). Costs a selection over the list when there is something new.
    void apply_majority(mono_time now);

    // The time at which all held documents were confirmed. Never decreases.
    std::optional<mono_time> confirmed_at() const;
    mono_time document_confirmed_at(std::size_t document) const {
        return this->confirmed[document];
    }
    // The time at which a platform read confirmed exactly the held revisions.
    std::optional<mono_time> platform_confirmed_at() const;
    // The time at which a majority of the list held nothing newer.
    mono_time majority_confirmed_at() const { return this->majority_time; }

    // The age vector for a digest: unit 100 ms, rounded up.
    std::vector<std::uint8_t> ages(mono_time now) const;
    // The same with the times of contact_times().
    std::vector<std::uint8_t> contact_ages(mono_time now) const;
    std::uint64_t list_revision() const { return this->list->revision(); }
    // For membership::tracker::record_reported_contacts, in the list's order.
    const std::vector<mono_time>& contact_times() const { return this->contact_at; }

private:
    mono_time majority_of(mono_time now, bool own_site_only);
    std::vector<std::uint8_t> encode_ages(const std::vector<mono_time>& times, mono_time now) const;

    std::string self;
    std::string site;
    std::shared_ptr<const membership::instance_list> list;
    std::optional<std::size_t> self_index;
    std::vector<std::uint8_t> in_own_site;  // Per list entry; 1 for instances of this site.
    // Per list entry: when it was known to hold nothing newer than what is held here. Stays true
    // when a newer revision is held later.
    std::vector<mono_time> nothing_newer_at;
    std::vector<mono_time> contact_at;  // Per list entry: when it was known to be alive.
    std::vector<mono_time> selection;   // Scratch space of majority_of().
    bool majority_outdated = false;
    mono_time majority_time = unknown_time;
    std::array<mono_time, document_count> confirmed;        // Per document; never decreases.
    std::array<mono_time, document_count> exact_confirmed;  // Reset when the revision changes.
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_CONFIRMATION_H_
