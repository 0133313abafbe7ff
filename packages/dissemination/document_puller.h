// Decides which document is asked from which peer. A document crosses a link only after a digest
// showed that it is missing here. There is one request per document at a time; when it is not
// answered, the next peer that announced the revision is pending_peer.
//
// Example:
//
//     puller.record_announcement(index, "station-1", state, held);
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

struct pull {
    std::string peer;
    std::size_t document = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const pull&, const pull&) = default;
};

class document_puller {
public:
    // Without `with_last_good` only newest revisions are asked for.
    document_puller(std::chrono::milliseconds answer_timeout, bool with_last_good);

    // A peer's digest says that it holds `state` of a document. A newer revision is wanted; and
    // when the newest revision is held here but something older is in force, the greatest revision
    // that a peer has in force in between is wanted too (a bridge). A newer revision is
    // asked for after `delay`, at once after a shorter delay of another peer, and when the peer
    // that was asked for an older one says that it has replaced that.
    void record_announcement(std::size_t document, const std::string& peer,
                             const messages::document_state& state, const held_document& held,
                             mono_time now,
                             std::chrono::milliseconds delay = std::chrono::milliseconds(0));

    // Whether a document of this revision was wanted as a bridge.
    bool wants_last_good(std::size_t document, std::uint64_t revision) const;

    // The held state of a document has changed, or `offered` was offered without an effect.
    void record_offer(std::size_t document, std::uint64_t offered, const held_document& held,
                      mono_time now);

    // The peer cannot be asked any more.
    void on_disconnected(const std::string& peer);

    // The requests to send now.
    std::vector<pull> next_pulls(mono_time now);

    // Whether a newer revision than the held one is known and can be asked for.
    bool has_newer_revision() const;
    // Since when, at the longest.
    std::optional<mono_time> newer_known_since() const;

private:
    struct wanted_document {
        std::uint64_t revision = 0;  // 0 when nothing is wanted.
        mono_time wanted_since =
            mono_time::min();              // When a revision was first wanted and none came.
        std::vector<std::string> holders;  // Peers that hold the revision; asked in turn.
        std::size_t next_holder = 0;
        mono_time next_request_at =
            mono_time::min();      // The request sent last may be answered until.
        std::string pending_peer;  // The peer of that request; empty when none runs.
        std::uint64_t pending_revision = 0;
    };

    static void add_holder(wanted_document& target, std::uint64_t revision, const std::string& peer,
                           mono_time now, std::chrono::milliseconds delay);
    void append_due_pull(wanted_document& target, std::size_t document, mono_time now,
                         std::vector<pull>& result);

    std::chrono::milliseconds timeout;
    bool pulls_last_good;
    std::array<wanted_document, document_count> newest;
    std::array<wanted_document, document_count> last_good;
    // A bridge that had no effect is not asked for again before this time, so that a body that is
    // invalid here does not cross the network every second.
    std::array<mono_time, document_count> last_good_retry_at;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_DOCUMENT_PULLER_H_
