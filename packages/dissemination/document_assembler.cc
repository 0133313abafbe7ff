// Implements the assembling of documents.

#include "dissemination/document_assembler.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

// The newest and the last good revision of the base document, and one other document.
constexpr std::size_t max_partial_documents = 3;

bool is_whole(const messages::document& part) {
    return part.total_bytes == 0;
}

bool is_same_body(const messages::document& left, const messages::document& right) {
    return left.total_bytes == right.total_bytes && left.checksum == right.checksum &&
           left.compressed == right.compressed;
}

}  // namespace

document_assembler::document_assembler(std::size_t max_document_bytes)
    : max_bytes(max_document_bytes) {}

document_assembler::partial_document* document_assembler::find(std::size_t index,
                                                               std::uint64_t revision) {
    auto found = std::find_if(this->partial.begin(), this->partial.end(), [&](const auto& each) {
        return each.index == index && each.document.revision == revision;
    });
    return found == this->partial.end() ? nullptr : &*found;
}

std::optional<messages::document> document_assembler::add(std::size_t index,
                                                          const messages::document& part) {
    if (is_whole(part)) {
        return part;
    }
    if (part.total_bytes > this->max_bytes) {
        return std::nullopt;
    }
    partial_document* target = this->find(index, part.revision);
    if (part.offset == 0) {
        if (target == nullptr) {
            if (this->partial.size() == max_partial_documents) {
                this->partial.erase(this->partial.begin());
            }
            target = &this->partial.emplace_back();
        }
        *target = {.index = index, .document = part};
    } else {
        if (target == nullptr) {
            return std::nullopt;
        }
        if (!is_same_body(target->document, part)) {
            this->erase(target);
            return std::nullopt;
        }
        if (part.offset != target->document.body.size()) {
            return std::nullopt;
        }
        target->document.body += part.body;
    }
    if (target->document.body.size() < part.total_bytes) {
        return std::nullopt;
    }
    messages::document complete = std::move(target->document);
    this->erase(target);
    complete.total_bytes = 0;
    return complete;
}

void document_assembler::erase(const partial_document* target) {
    this->partial.erase(this->partial.begin() + (target - this->partial.data()));
}

std::uint64_t document_assembler::received_bytes(std::size_t index, std::uint64_t revision) const {
    auto found = std::find_if(this->partial.begin(), this->partial.end(), [&](const auto& each) {
        return each.index == index && each.document.revision == revision;
    });
    return found == this->partial.end() ? 0 : found->document.body.size();
}

void document_assembler::drop_until(std::size_t index, std::uint64_t revision) {
    std::erase_if(this->partial, [&](const auto& each) {
        return each.index == index && each.document.revision <= revision;
    });
}

}  // namespace trefoil::dissemination
