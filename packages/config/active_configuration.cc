// Implements the choice of the pair in force.

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

// Whether a document with revision 0 is the empty overlay. The base is never missing.
bool stands_for_missing(const document& offered) {
    return offered.name != base_document_name && offered.body.empty();
}

}  // namespace

active_configuration::active_configuration(std::string_view site) {
    this->base.name = base_document_name;
    this->overlay.name = overlay_document_name(site);
}

active_configuration::shared_document active_configuration::slot::find(
    std::uint64_t revision) const {
    for (const shared_document& each : this->options()) {
        if (each->revision == revision) {
            return each;
        }
    }
    return nullptr;
}

std::vector<active_configuration::shared_document> active_configuration::slot::options() const {
    std::vector<shared_document> list;
    for (const shared_document& each : {this->newest, this->candidate, this->in_force}) {
        bool is_new = each != nullptr && std::find(list.begin(), list.end(), each) == list.end();
        if (is_new) {
            list.push_back(each);
        }
    }
    return list;
}

offer_outcome active_configuration::offer(document offered) {
    slot* target = this->slot_of(offered.name);
    if (target == nullptr || (offered.revision == 0 && !stands_for_missing(offered))) {
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
    this->keep(*target, std::make_shared<const document>(std::move(offered)));
    if (this->choose()) {
        return applied{this->current};
    }
    return held{};
}

const document* active_configuration::newest(std::string_view name) const {
    const slot* source = this->slot_of(name);
    return source == nullptr ? nullptr : source->newest.get();
}

const document* active_configuration::in_force(std::string_view name) const {
    const slot* source = this->slot_of(name);
    return source == nullptr ? nullptr : source->in_force.get();
}

const document* active_configuration::find(std::string_view name, std::uint64_t revision) const {
    const slot* source = this->slot_of(name);
    return source == nullptr ? nullptr : source->find(revision).get();
}

std::vector<document_status> active_configuration::versions() const {
    std::vector<document_status> list;
    for (const slot* each : {&this->base, &this->overlay}) {
        list.push_back({each->name, version_of(each->newest), version_of(each->in_force)});
    }
    return list;
}

active_configuration::slot* active_configuration::slot_of(std::string_view name) {
    if (name == this->base.name) {
        return &this->base;
    }
    return name == this->overlay.name ? &this->overlay : nullptr;
}

const active_configuration::slot* active_configuration::slot_of(std::string_view name) const {
    if (name == this->base.name) {
        return &this->base;
    }
    return name == this->overlay.name ? &this->overlay : nullptr;
}

void active_configuration::keep(slot& target, shared_document accepted) const {
    bool older = target.newest != nullptr && accepted->revision < target.newest->revision;
    if (older) {
        target.candidate = std::move(accepted);
        return;
    }
    // With empty memory the previous newest document may be the one that is in force elsewhere, and
    // it could not be tried yet. Later it was tried when it arrived.
    if (this->current == nullptr) {
        target.candidate = target.newest;
    }
    target.newest = std::move(accepted);
}

std::vector<std::pair<active_configuration::shared_document, active_configuration::shared_document>>
active_configuration::pairs_to_try() const {
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
    for (const shared_document& base_option : this->base.options()) {
        for (const shared_document& overlay_option : this->overlay.options()) {
            add(base_option, overlay_option);
        }
    }
    return pairs;
}

// Returns whether the pair in force changed.
bool active_configuration::choose() {
    for (const auto& [base_choice, overlay_choice] : this->pairs_to_try()) {
        bool unchanged =
            base_choice == this->base.in_force && overlay_choice == this->overlay.in_force;
        if (unchanged) {
            return false;
        }
        if (this->try_pair(base_choice, overlay_choice)) {
            this->forget_superseded();
            return true;
        }
    }
    return false;
}

// Puts a pair into force when it is valid.
bool active_configuration::try_pair(const shared_document& base_choice,
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

// Drops what can no longer come into force.
void active_configuration::forget_superseded() {
    for (slot* each : {&this->base, &this->overlay}) {
        bool superseded =
            each->candidate != nullptr && each->candidate->revision <= each->in_force->revision;
        if (superseded) {
            each->candidate = nullptr;
        }
    }
    std::erase_if(this->invalid_pairs, [this](const auto& pair) {
        return pair.first < this->base.in_force->revision ||
               pair.second < this->overlay.in_force->revision;
    });
}

}  // namespace trefoil::config
