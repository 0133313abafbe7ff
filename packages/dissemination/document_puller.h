// Decides which documents to request from which peers. A document is requested only after a digest
// has shown that it is missing here. At most one request per document is outstanding; when it times
// out, the next peer that announced the revision is asked.
//
// Example:
//
//     puller.record_announcement(index, "station-1", state, held, now);
//     for (const pull& each : puller.next_pulls(now)) { ... }

#ifndef TREFOIL_DISSEMINATION_DOCUMENT_PULLER_H_
#define TREFOIL_DISSEMINATION_DOCUMENT_PULLER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "dissemination/held_documents.h"

namespace trefoil::dissemination {

// A document to request from a peer.
struct pull {
    std::string peer;
    std::size_t document = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const pull&, const pull&) = default;
};

class document_puller {
public:
    // `answer_timeout` is the time after which a request goes to the next peer. Without
    // `with_last_good` only the newest revisions are pulled.
    document_puller(std::chrono::milliseconds answer_timeout, bool with_last_good);

    // A peer's digest states that it holds `state` of a document. A revision newer than the held
    // one is wanted. When the newest held revision is not in force here, the last good revision of
    // the peers is wanted too: the greatest one that a peer has in force, between the one in force
    // and the one held here.
    //
    // A newer revision is requested `delay` after it is first announced. An announcement with a
    // shorter delay brings the request forward; so does one by the peer that was asked for an older
    // revision, because that peer no longer holds it.
    void record_announcement(std::size_t document, const std::string& peer,
                             const messages::document_state& state, const held_document& held,
                             mono_time now,
                             std::chrono::milliseconds delay = std::chrono::milliseconds(0));

    // Whether this revision of a document is wanted as the last good one.
    bool wants_last_good(std::size_t document, std::uint64_t revision) const;

    // The peer that was asked has sent a part of the document, and the next one is requested. The
    // request continues until the whole document has arrived, even if a newer revision is
    // announced: otherwise a document that changes faster than it can be received would never
    // arrive.
    void record_part(std::size_t document, const std::string& peer, std::uint64_t revision,
                     mono_time now);
    // Whether this revision is requested from the peer.
    bool requested(std::size_t document, const std::string& peer, std::uint64_t revision) const;
    // Makes no request for the document before this time.
    void postpone(std::size_t document, mono_time until);

    // The revision `offered` was offered to the store, whether or not that changed the held state.
    void record_offer(std::size_t document, std::uint64_t offered, const held_document& held,
                      mono_time now);

    // The peer can no longer be asked.
    void on_disconnected(const std::string& peer);

    // Returns the requests to send now and starts their timeouts.
    std::vector<pull> next_pulls(mono_time now);

    // Whether a revision newer than the held one is announced and not yet received.
    bool has_newer_revision() const;
    // The earliest time since which such a revision has been known.
    std::optional<mono_time> newer_known_since() const;

private:
    struct wanted_document {
        std::uint64_t revision = 0;  // 0 when nothing is wanted.
        // When a newer revision was first wanted; kept when a still newer one replaces it.
        mono_time wanted_since = mono_time::min();
        std::vector<std::string> holders;  // Peers that hold the revision, asked in turn.
        std::size_t next_holder = 0;
        // No request is sent before this time; the timeout of the outstanding one, if any.
        mono_time next_request_at = mono_time::min();
        // Recipient of the outstanding request; empty when there is none.
        std::string pending_peer;
        std::uint64_t pending_revision = 0;
        bool receiving = false;  // Parts of the pending revision have arrived.

        bool is_pending(const std::string& peer, std::uint64_t requested_revision) const;
    };

    static void add_holder(wanted_document& target, std::uint64_t revision, const std::string& peer,
                           mono_time now, std::chrono::milliseconds delay);
    void append_due_pull(wanted_document& target, std::size_t document, mono_time now,
                         std::vector<pull>& result);

    std::chrono::milliseconds timeout;
    bool pulls_last_good;
    std::array<wanted_document, document_count> newest;
    std::array<wanted_document, document_count> last_good;
    // A last good revision that is invalid here too is not requested again before this time, so
    // that its body is not transferred every second.
    std::array<mono_time, document_count> last_good_retry_at;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_DOCUMENT_PULLER_H_
