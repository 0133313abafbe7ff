// The three documents that a daemon holds: `base`, the overlay of its site and the instance list.
// The first two are stored in the document_store, the list is stored here.
//
// Example:
//
//     held_documents documents(store, "north");
//     auto index = documents.index_of("site/north");

#ifndef TREFOIL_DISSEMINATION_HELD_DOCUMENTS_H_
#define TREFOIL_DISSEMINATION_HELD_DOCUMENTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dissemination/action.h"
#include "dissemination/document_store.h"
#include "dissemination/document_version.h"
#include "membership/instance_list.h"
#include "messages/messages.h"

namespace trefoil::dissemination {

// Indices of the documents in arrays.
constexpr std::size_t document_count = 3;
constexpr std::size_t base_index = 0;
constexpr std::size_t overlay_index = 1;
constexpr std::size_t list_index = 2;

class held_documents {
public:
    held_documents(document_store& configuration, const std::string& site);

    const std::string& name(std::size_t index) const { return this->names[index]; }
    std::optional<std::size_t> index_of(std::string_view name) const;

    // The state of a document as of the last refresh() or offer().
    const held_document& held(std::size_t index) const { return this->states[index]; }

    // The newest content of a document.
    document_version version(std::size_t index) const;
    // The content with this checksum was read at this revision of the platform. Ignored unless it
    // is the newest content.
    void record_read(std::size_t index, std::uint64_t checksum, std::uint64_t read_revision);

    // Updates the states from the store.
    void refresh();

    // The body of the newest revision or of the revision in force; nothing for other revisions.
    std::optional<std::string> body(std::size_t index, std::uint64_t revision) const;

    // The answer to a request for a revision for which body() has a body: the document, or a part
    // of it. Compresses large bodies if the receiver accepts that. The compressed bodies of the
    // latest requests are kept, because all daemons of a failure domain request the same revision
    // from its readers, and a revision that is replaced can still be received to its end.
    std::optional<messages::document> transfer(std::size_t index,
                                               const messages::document_request& request);

    // Offers a document to the store, or parses it when it is the instance list, and appends the
    // resulting actions. Requires a revision above the one in force.
    void offer(std::size_t index, const messages::document& offered, std::vector<action>& actions);

    // The states as encoded in digests.
    std::vector<messages::document_state> states_for_digest() const;

private:
    // Replaces a state. What was read of another content does not apply to the new one.
    void set_state(std::size_t index, const held_document& next);
    const messages::document* find_compressed(std::size_t index, std::uint64_t revision) const;
    void offer_list(const messages::document& offered, std::vector<action>& actions);

    document_store& store;
    std::array<std::string, document_count> names;
    std::array<held_document, document_count> states;
    // Last revisions of the platform at which the contents of `states` were read.
    std::array<std::uint64_t, document_count> read_revisions{};
    std::string newest_list_body;    // Of revision states[list_index].revision, valid or not.
    std::string list_body_in_force;  // Of revision states[list_index].revision_in_force.
    // The latest compressed transfers of each document, the newest first; revision 0 if there were
    // none.
    std::array<std::array<messages::document, 2>, document_count> compressed_transfers;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_HELD_DOCUMENTS_H_
