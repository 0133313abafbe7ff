// Implements the document store and logs the outcome of each offered document.

#include "daemon/configuration_store.h"

#include <fmt/format.h>

#include <utility>

#include "base/log.h"
#include "base/result.h"

namespace trefoil::daemon {

configuration_store::configuration_store(const std::string& own_site,
                                         std::size_t max_document_bytes)
    : site(own_site), active(own_site, max_document_bytes) {}

dissemination::held_document configuration_store::held(const std::string& name) const {
    dissemination::held_document state;
    if (const config::document* newest = this->active.newest(name)) {
        state.revision = newest->revision;
        state.checksum = newest->checksum;
    }
    if (const config::document* current = this->active.in_force(name)) {
        state.revision_in_force = current->revision;
    }
    return state;
}

std::optional<std::string> configuration_store::body(const std::string& name,
                                                     std::uint64_t revision) const {
    const config::document* found = this->active.find(name, revision);
    if (found == nullptr) {
        return std::nullopt;
    }
    return found->body;
}

void configuration_store::offer(const messages::document& offered) {
    config::offer_outcome outcome = this->active.offer({.name = offered.name,
                                                        .revision = offered.revision,
                                                        .checksum = offered.checksum,
                                                        .body = offered.body});
    this->log_outcome(outcome, offered.name, offered.revision);
}

void configuration_store::offer_absent_overlay() {
    std::string name = config::overlay_document_name(this->site);
    if (this->active.newest(name) == nullptr) {
        this->log_outcome(this->active.offer(config::empty_overlay(this->site)), name, 0);
    }
}

void configuration_store::log_outcome(const config::offer_outcome& outcome, const std::string& name,
                                      std::uint64_t revision) const {
    std::string number = fmt::to_string(revision);
    if (const auto* change = std::get_if<config::applied>(&outcome)) {
        log(log_level::info, "configuration_applied",
            {{"document", name},
             {"revision", number},
             {"base", fmt::to_string(change->current->base_revision())},
             {"overlay", fmt::to_string(change->current->overlay_revision())}});
        return;
    }
    if (std::holds_alternative<config::conflicting_document>(outcome)) {
        log(log_level::error, "document_conflict", {{"document", name}, {"revision", number}});
        return;
    }
    const auto& rejected = this->active.last_failure();
    if (std::holds_alternative<config::stored>(outcome) && rejected.has_value()) {
        log(log_level::error, "configuration_rejected",
            {{"document", name},
             {"revision", number},
             {"failures", fmt::to_string(rejected->failures.size())},
             {"first", config::describe(rejected->failures.front())}});
    }
}

}  // namespace trefoil::daemon
