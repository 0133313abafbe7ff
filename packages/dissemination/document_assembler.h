// Assembles documents that peers send in parts. A large document would otherwise exceed the maximum
// size of a frame, and the calls behind it on the connection would wait until it has been sent.
//
// Example:
//
//     document_assembler assembler(options.max_document_bytes);
//     auto complete = assembler.add(index, part);
//     std::uint64_t offset = assembler.received_bytes(index, part.revision);

#ifndef TREFOIL_DISSEMINATION_DOCUMENT_ASSEMBLER_H_
#define TREFOIL_DISSEMINATION_DOCUMENT_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "messages/messages.h"

namespace trefoil::dissemination {

class document_assembler {
public:
    // Documents that are larger than `max_document_bytes` as sent are not assembled.
    explicit document_assembler(std::size_t max_document_bytes);

    // Adds a part. Returns the whole document after its last part, or nothing. A part that does not
    // continue the earlier ones is dropped, unless it is the first; one of another body drops the
    // earlier ones too. `index` identifies the document.
    //
    // The parts may come from several peers, so that a transfer survives the loss of one. If peers
    // compress a document differently to the same size, the result is damaged.
    std::optional<messages::document> add(std::size_t index, const messages::document& part);

    // Returns the number of bytes received so far: the offset of the next part. 0 if no part of
    // this revision is kept.
    std::uint64_t received_bytes(std::size_t index, std::uint64_t revision) const;

    // Drops the parts of a document's revisions up to `revision`, which is held already.
    void drop_until(std::size_t index, std::uint64_t revision);

private:
    struct partial_document {
        std::size_t index = 0;
        // The body contains the parts so far, in order and without gaps.
        messages::document document;
    };

    partial_document* find(std::size_t index, std::uint64_t revision);
    void erase(const partial_document* target);

    std::size_t max_bytes;
    // In the order of their first parts; at most `max_partial_documents`.
    std::vector<partial_document> partial;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_DOCUMENT_ASSEMBLER_H_
