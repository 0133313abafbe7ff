// Implements the selection of the pair in force.

#include "config/active_configuration.h"

#include <algorithm>

namespace trefoil::config {

namespace {

document_version version_of(const document& source) {
    return document_version{source.name, source.revision, source.checksum};
}

std::optional<document_version> version_of(const std::shared_ptr<const document>& source) {
    return source == nullptr ? std::nullopt : std::optional(version_of(*source));
}

// Whether a document with revision 0 represents a missing overlay. The base is never missing.
bool is_missing_overlay(const document& offered) {
    return offered.name != base_document_name && offered.body.empty();
}

}  // namespace

active_configuration::active_configuration(std::string_view site, std::size_t max_document_bytes)
    : builder(max_document_bytes) {
    this->base.name = base_document_name;
    this->overlay.name = overlay_document_name(site);
}

active_configuration::shared_document active_configuration::tracked_document::find(
    std::uint64_t revision) const {
    for (const shared_document& each : this->versions_newest_first()) {
        if (each->revision == revision) {
            return each;
        }
    }
    return nullptr;
}

std::vector<active_configuration::shared_document>
active_configuration::tracked_document::versions_newest_first() const {
    std::vector<shared_document> list;
    for (const shared_document& each : {this->newest, this->fallback, this->in_force}) {
        bool is_new = each != nullptr && std::find(list.begin(), list.end(), each) == list.end();
        if (is_new) {
            list.push_back(each);
        }
    }
    return list;
}

offer_outcome active_configuration::offer(document offered) {
    tracked_document* target = this->find_tracked(offered.name);
    if (target == nullptr || (offered.revision == 0 && !is_missing_overlay(offered))) {
        return unknown_document{};
    }
    if (!is_intact(offered)) {
        return damaged_document{};
    }
    if (shared_document same = target->find(offered.revision)) {
        return same->checksum == offered.checksum
                   ? offer_outcome(ignored{})
                   : offer_outcome(conflicting_document{same->checksum});
    }
    if (target->in_force != nullptr && offered.revision < target->in_force->revision) {
        return ignored{};
    }
    this->store(*target, std::make_shared<const document>(std::move(offered)));
    if (this->activate_best_pair()) {
        return applied{this->current};
    }
    return stored{};
}

const document* active_configuration::newest(std::string_view name) const {
    const tracked_document* source = this->find_tracked(name);
    return source == nullptr ? nullptr : source->newest.get();
}

const document* active_configuration::in_force(std::string_view name) const {
    const tracked_document* source = this->find_tracked(name);
    return source == nullptr ? nullptr : source->in_force.get();
}

const document* active_configuration::find(std::string_view name, std::uint64_t revision) const {
    const tracked_document* source = this->find_tracked(name);
    return source == nullptr ? nullptr : source->find(revision).get();
}

std::vector<document_status> active_configuration::versions() const {
    std::vector<document_status> list;
    for (const tracked_document* each : {&this->base, &this->overlay}) {
        list.push_back({each->name, version_of(each->newest), version_of(each->in_force)});
    }
    return list;
}

active_configuration::tracked_document* active_configuration::find_tracked(std::string_view name) {
    if (name == this->base.name) {
        return &this->base;
    }
    return name == this->overlay.name ? &this->overlay : nullptr;
}

const active_configuration::tracked_document* active_configuration::find_tracked(
    std::string_view name) const {
    if (name == this->base.name) {
        return &this->base;
    }
    return name == this->overlay.name ? &this->overlay : nullptr;
}

void active_configuration::store(tracked_document& target, shared_document accepted) const {
    bool older = target.newest != nullptr && accepted->revision < target.newest->revision;
    if (older) {
        target.fallback = std::move(accepted);
        return;
    }
    // Before the first valid pair, the previous newest document may not have been tried yet because
    // the other document was missing, and it may be the version in force on other daemons.
    // Once a pair is in force, each document is tried when it arrives.
    if (this->current == nullptr) {
        target.fallback = target.newest;
    }
    target.newest = std::move(accepted);
}

std::vector<std::pair<active_configuration::shared_document, active_configuration::shared_document>>
active_configuration::candidate_pairs() const {
    std::vector<std::pair<shared_document, shared_document>> pairs;
    auto add = [&pairs](const shared_document& first, const shared_document& second) {
        bool complete = first != nullptr && second != nullptr;
        std::pair pair(first, second);
        if (complete && std::find(pairs.begin(), pairs.end(), pair) == pairs.end()) {
            pairs.push_back(std::move(pair));
        }
    };
    add(this->base.newest, this->overlay.newest);
    add(this->base.newest, this->overlay.in_force);
    add(this->base.in_force, this->overlay.newest);
    for (const shared_document& base_option : this->base.versions_newest_first()) {
        for (const shared_document& overlay_option : this->overlay.versions_newest_first()) {
            add(base_option, overlay_option);
        }
    }
    return pairs;
}

// Applies the first valid candidate pair. Returns whether the pair in force changed.
bool active_configuration::activate_best_pair() {
    for (const auto& [base_choice, overlay_choice] : this->candidate_pairs()) {
        bool unchanged =
            base_choice == this->base.in_force && overlay_choice == this->overlay.in_force;
        if (unchanged) {
            return false;
        }
        if (this->activate_if_valid(base_choice, overlay_choice)) {
            this->drop_superseded();
            return true;
        }
    }
    return false;
}

// Applies a pair if it is valid. Returns whether it did.
bool active_configuration::activate_if_valid(const shared_document& base_choice,
                                             const shared_document& overlay_choice) {
    std::pair revisions(base_choice->revision, overlay_choice->revision);
    if (this->invalid_pairs.contains(revisions)) {
        return false;
    }
    bool is_newest = base_choice == this->base.newest && overlay_choice == this->overlay.newest;
    auto outcome = this->builder.build(base_choice, *overlay_choice);
    if (auto* failures = std::get_if<validation_failures>(&outcome)) {
        this->invalid_pairs.insert(revisions);
        if (is_newest) {
            this->failure = rejected_pair{revisions.first, revisions.second, std::move(*failures)};
        }
        return false;
    }
    this->current = std::get<std::shared_ptr<const snapshot>>(std::move(outcome));
    this->base.in_force = base_choice;
    this->overlay.in_force = overlay_choice;
    if (is_newest) {
        this->failure.reset();
    }
    return true;
}

// Drops fallbacks that are not newer than the document in force, and invalid pairs with a document
// that is older than the one in force.
void active_configuration::drop_superseded() {
    for (tracked_document* each : {&this->base, &this->overlay}) {
        bool superseded =
            each->fallback != nullptr && each->fallback->revision <= each->in_force->revision;
        if (superseded) {
            each->fallback = nullptr;
        }
    }
    std::erase_if(this->invalid_pairs, [this](const auto& pair) {
        return pair.first < this->base.in_force->revision ||
               pair.second < this->overlay.in_force->revision;
    });
}

}  // namespace trefoil::config
