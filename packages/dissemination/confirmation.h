// Records when the held documents were last confirmed to be the newest, per document, from three
// sources: (a) the platform returned the held revision, (b) a peer with the same revision reported
// such a confirmation, (c) a majority of the instance list holds nothing newer.
//
// A peer of another site does not hold this site's overlay. It can confirm `base` and `instances`,
// but its age vector does not cover this site's overlay. The overlay is therefore confirmed by the
// platform, by peers of the same site, or by a majority of the listed instances of the same site;
// entries of an age vector for instances of this site are accepted from peers of the same site
// only.
//
// Example:
//
//     confirmation state("station-1", "north");
//     state.confirm(base_index, requested_at - age);
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

// Marks an unknown time.
constexpr mono_time unknown_time = mono_time::min();

class confirmation {
public:
    confirmation(std::string self_id, std::string self_site);

    // Replaces the instance list. Times of instances that are on both lists are kept.
    void set_list(std::shared_ptr<const membership::instance_list> next);

    // The platform returned the held revision at `at`, as read by this daemon or by a peer.
    void confirm(std::size_t document, mono_time at);

    // The held content of a document has changed. Confirmations stay valid, because the new content
    // is not older, but they can no longer be reported to peers as confirmations of the held one.
    void record_new_content(std::size_t document);

    // A peer's reply to a digest request sent at `requested_at` named nothing newer than this
    // daemon holds, over the documents that both hold. `ages` is the age vector of the reply; empty
    // unless both sides have the same list.
    void record_nothing_newer(const std::string& peer, bool same_site, mono_time requested_at,
                              const std::vector<std::uint8_t>& ages);

    // A peer was in contact at `at` and reported how long ago each listed instance was in contact,
    // whatever documents they hold. `ages` is empty unless both sides have the same list.
    void record_peer_contact(const std::string& peer, mono_time at,
                             const std::vector<std::uint8_t>& ages);

    // Applies source (c). Takes time linear in the size of the list when there is new information.
    void apply_majority(mono_time now);

    // The latest time at which all held documents were confirmed. Never decreases.
    std::optional<mono_time> confirmed_at() const;
    mono_time document_confirmed_at(std::size_t document) const {
        return this->confirmed[document];
    }
    // The latest time at which the platform confirmed exactly the held revisions.
    std::optional<mono_time> platform_confirmed_at() const;
    // The latest time at which a majority of the list held nothing newer.
    mono_time majority_confirmed_at() const { return this->majority_time; }

    // The age vector of a digest: per list entry, the time since it was known to hold nothing
    // newer, in units of 100 ms, rounded up.
    std::vector<std::uint8_t> ages(mono_time now) const;
    // The age vector of contact_times(): per list entry, the time since the last contact, in the
    // same units.
    std::vector<std::uint8_t> contact_ages(mono_time now) const;
    std::uint64_t list_revision() const { return this->list->revision(); }
    // Time of the last contact per list entry, in the order of the list; the input of
    // membership::tracker::record_reported_contacts.
    const std::vector<mono_time>& contact_times() const { return this->contact_at; }

private:
    mono_time majority_of(mono_time now, bool own_site_only);
    std::vector<std::uint8_t> encode_ages(const std::vector<mono_time>& times, mono_time now) const;

    std::string self;
    std::string site;
    std::shared_ptr<const membership::instance_list> list;
    std::optional<std::size_t> self_index;
    std::vector<std::uint8_t> in_own_site;  // Per list entry; 1 for instances of this site.
    // Per list entry: when it was last known to hold nothing newer than this daemon held at that
    // time. A newer revision held later does not invalidate it.
    std::vector<mono_time> nothing_newer_at;
    std::vector<mono_time> contact_at;  // Per list entry: time of the last contact.
    std::vector<mono_time> selection;  // Scratch space of majority_of(), kept to avoid allocations.
    bool majority_outdated = false;    // Whether nothing_newer_at changed since apply_majority().
    mono_time majority_time = unknown_time;
    std::array<mono_time, document_count> confirmed;  // Per document; never decreases.
    // Confirmed by the platform; reset when the content changes.
    std::array<mono_time, document_count> exact_confirmed;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_CONFIRMATION_H_
