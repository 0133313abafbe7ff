// Interface through which dissemination reads and replaces the configuration documents `base` and
// `site/<site>` (the overlay). The configuration implements it and decides which pair of base and
// overlay is in force.
//
// Example:
//
//     dissemination::held_document state = store.held("base");
//     bool missing = state.revision < announced.revision;

#ifndef TREFOIL_DISSEMINATION_DOCUMENT_STORE_H_
#define TREFOIL_DISSEMINATION_DOCUMENT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "messages/messages.h"

namespace trefoil::dissemination {

struct held_document {
    std::uint64_t revision = 0;  // Newest revision held, valid or not; 0 when none is held.
    std::uint64_t checksum = 0;  // XXH3 checksum of the newest body.
    // 0 when no pair is in force or when the pair in force has no document of this name.
    std::uint64_t revision_in_force = 0;

    friend bool operator==(const held_document&, const held_document&) = default;
};

class document_store {
public:
    virtual ~document_store() = default;

    virtual held_document held(const std::string& name) const = 0;

    // Returns the body of the newest revision or of the revision in force, and nothing for other
    // revisions.
    virtual std::optional<std::string> body(const std::string& name,
                                            std::uint64_t revision) const = 0;

    // Accepts a document whose checksum matches its body. Its revision is either greater than the
    // one held, or between the one in force and the one held. In the second case the newest body is
    // invalid here and the offered one is the last good revision of a peer: the store tries to put
    // it in force, and `held().revision` does not change. The store never replaces the pair in
    // force by an older document.
    virtual void offer(const messages::document& offered) = 0;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_DOCUMENT_STORE_H_
