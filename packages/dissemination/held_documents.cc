// Implements access to the document store and to the instance list.

#include "dissemination/held_documents.h"

#include <algorithm>
#include <utility>

#include "base/compression.h"
#include "base/hash.h"

namespace trefoil::dissemination {

namespace {

// Smaller bodies are sent as they are, because the gain does not pay for the processing.
constexpr std::size_t min_compressed_bytes = 1024;

// Returns the part of the document that was requested.
messages::document part_of(const messages::document& whole,
                           const messages::document_request& request) {
    bool complete =
        request.max_bytes == 0 || (request.offset == 0 && whole.body.size() <= request.max_bytes);
    if (complete) {
        return whole;
    }
    messages::document part{.name = whole.name,
                            .revision = whole.revision,
                            .checksum = whole.checksum,
                            .compressed = whole.compressed,
                            .offset = std::min<std::uint64_t>(request.offset, whole.body.size()),
                            .total_bytes = whole.body.size()};
    part.body = whole.body.substr(part.offset, request.max_bytes);
    return part;
}

}  // namespace

held_documents::held_documents(document_store& configuration, const std::string& site)
    : store(configuration), names{"base", "site/" + site, "instances"} {
    this->refresh();
}

std::optional<std::size_t> held_documents::index_of(std::string_view name) const {
    for (std::size_t i = 0; i < document_count; ++i) {
        if (this->names[i] == name) {
            return i;
        }
    }
    return std::nullopt;
}

void held_documents::refresh() {
    this->set_state(base_index, this->store.held(this->names[base_index]));
    this->set_state(overlay_index, this->store.held(this->names[overlay_index]));
}

void held_documents::set_state(std::size_t index, const held_document& next) {
    if (next.checksum != this->states[index].checksum) {
        this->read_revisions[index] = 0;
    }
    this->states[index] = next;
}

document_version held_documents::version(std::size_t index) const {
    const held_document& state = this->states[index];
    return {.revision = state.revision,
            .checksum = state.checksum,
            .read_revision = std::max(state.revision, this->read_revisions[index])};
}

void held_documents::record_read(std::size_t index, std::uint64_t checksum,
                                 std::uint64_t read_revision) {
    if (checksum == this->states[index].checksum) {
        this->read_revisions[index] = std::max(this->read_revisions[index], read_revision);
    }
}

std::optional<std::string> held_documents::body(std::size_t index, std::uint64_t revision) const {
    if (index != list_index) {
        return this->store.body(this->names[index], revision);
    }
    const held_document& list = this->states[list_index];
    if (revision != 0 && revision == list.revision) {
        return this->newest_list_body;
    }
    if (revision != 0 && revision == list.revision_in_force) {
        return this->list_body_in_force;
    }
    return std::nullopt;
}

const messages::document* held_documents::find_compressed(std::size_t index,
                                                          std::uint64_t revision) const {
    for (const messages::document& each : this->compressed_transfers[index]) {
        if (revision != 0 && each.revision == revision) {
            return &each;
        }
    }
    return nullptr;
}

std::optional<messages::document> held_documents::transfer(
    std::size_t index, const messages::document_request& request) {
    const messages::document* kept =
        request.accepts_compressed ? this->find_compressed(index, request.revision) : nullptr;
    if (kept != nullptr) {
        return part_of(*kept, request);
    }
    auto body = this->body(index, request.revision);
    if (!body.has_value()) {
        return std::nullopt;
    }
    messages::document message{
        .name = this->names[index], .revision = request.revision, .checksum = checksum64(*body)};
    if (!request.accepts_compressed || body->size() < min_compressed_bytes) {
        message.body = std::move(*body);
        return part_of(message, request);
    }
    message.body = compress(*body);
    message.compressed = true;
    auto& transfers = this->compressed_transfers[index];
    std::rotate(transfers.begin(), transfers.end() - 1, transfers.end());
    transfers.front() = std::move(message);
    return part_of(transfers.front(), request);
}

void held_documents::offer(std::size_t index, const messages::document& offered,
                           std::vector<action>& actions) {
    if (index == list_index) {
        this->offer_list(offered, actions);
        return;
    }
    this->store.offer(offered);
    this->refresh();
    actions.emplace_back(configuration_offered{.name = offered.name, .revision = offered.revision});
}

void held_documents::offer_list(const messages::document& offered, std::vector<action>& actions) {
    held_document state = this->states[list_index];
    if (offered.revision > state.revision) {
        state.revision = offered.revision;
        state.checksum = offered.checksum;
        this->newest_list_body = offered.body;
    }
    this->set_state(list_index, state);
    auto parsed = membership::parse_instance_list(offered.revision, offered.body);
    auto* list = std::get_if<std::shared_ptr<const membership::instance_list>>(&parsed);
    if (list == nullptr) {
        actions.emplace_back(report_invalid_list{.revision = offered.revision,
                                                 .detail = membership::describe(parsed)});
        return;
    }
    if (offered.revision > state.revision_in_force) {
        this->states[list_index].revision_in_force = offered.revision;
        this->list_body_in_force = offered.body;
        actions.emplace_back(adopt_list{.list = std::move(*list), .checksum = offered.checksum});
    }
}

std::vector<messages::document_state> held_documents::states_for_digest() const {
    std::vector<messages::document_state> result;
    result.reserve(document_count);
    for (std::size_t i = 0; i < document_count; ++i) {
        const held_document& state = this->states[i];
        result.push_back({.name = this->names[i],
                          .revision = state.revision,
                          .checksum = state.checksum,
                          .revision_in_force = state.revision_in_force,
                          .read_revision = this->version(i).read_revision});
    }
    return result;
}

}  // namespace trefoil::dissemination
