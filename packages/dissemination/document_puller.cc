// Implements the choice of documents and peers to ask.

#include "dissemination/document_puller.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

constexpr std::size_t source_limit = 8;
constexpr std::chrono::milliseconds bridge_retry{2000};

}  // namespace

document_puller::document_puller(std::chrono::milliseconds answer_timeout, bool bridge_bodies)
    : timeout(answer_timeout), bridge(bridge_bodies) {
    this->bridge_pause.fill(mono_time::min());
}

void document_puller::add_source(want& target, std::uint64_t revision, const std::string& peer,
                                 mono_time now, std::chrono::milliseconds delay) {
    if (revision < target.revision) {
        return;
    }
    if (revision > target.revision) {
        bool wanted_before = target.revision != 0;
        // A peer sends in order, so that the one that was asked no longer has what it was asked
        // for.
        bool pending = wanted_before && !target.asked.empty() && target.asked != peer;
        bool delayed = wanted_before && target.asked.empty();
        mono_time not_before = now + delay;
        if (pending || delayed) {
            not_before = pending ? target.not_before : std::min(target.not_before, not_before);
        }
        target = {.revision = revision,
                  .since = wanted_before ? target.since : now,
                  .not_before = not_before,
                  .asked = pending ? target.asked : "",
                  .asked_revision = pending ? target.asked_revision : 0};
    }
    bool sooner = target.asked.empty() && now + delay < target.not_before;
    if (sooner) {
        target.not_before = now + delay;
    }
    auto found = std::find(target.sources.begin(), target.sources.end(), peer);
    if (found == target.sources.end() && target.sources.size() < source_limit) {
        found = target.sources.insert(target.sources.end(), peer);
    }
    if (sooner && found != target.sources.end()) {
        target.next_source = static_cast<std::size_t>(found - target.sources.begin());
    }
}

void document_puller::announced(std::size_t document, const std::string& peer,
                                const messages::document_state& state, const held_document& held,
                                mono_time now, std::chrono::milliseconds delay) {
    if (state.revision > held.revision) {
        add_source(this->newest[document], state.revision, peer, now, delay);
    }
    bool useful =
        state.revision_in_force > held.revision_in_force && state.revision_in_force < held.revision;
    if (this->bridge && useful && now >= this->bridge_pause[document]) {
        add_source(this->bridges[document], state.revision_in_force, peer, now,
                   std::chrono::milliseconds(0));
    }
}

bool document_puller::wants_bridge(std::size_t document, std::uint64_t revision) const {
    return revision != 0 && this->bridges[document].revision == revision;
}

void document_puller::settled(std::size_t document, std::uint64_t offered,
                              const held_document& held, mono_time now) {
    if (held.revision >= this->newest[document].revision) {
        this->newest[document] = want{};
    } else if (!this->newest[document].asked.empty() &&
               offered == this->newest[document].asked_revision) {
        // The answer came, and a newer revision was announced since the question.
        this->newest[document].asked.clear();
        this->newest[document].not_before = now;
    }
    want& gap = this->bridges[document];
    if (gap.revision != 0 && held.revision_in_force >= gap.revision) {
        gap = want{};
    } else if (gap.revision != 0 && offered == gap.revision) {
        gap = want{};
        this->bridge_pause[document] = now + bridge_retry;
    }
}

void document_puller::disconnected(const std::string& peer) {
    auto remove = [&](want& target) {
        auto found = std::find(target.sources.begin(), target.sources.end(), peer);
        if (found == target.sources.end()) {
            return;
        }
        target.sources.erase(found);
        // The request may have been sent to this peer.
        target.not_before = mono_time::min();
        target.asked.clear();
        if (target.sources.empty()) {
            target = want{};
        }
    };
    std::for_each(this->newest.begin(), this->newest.end(), remove);
    std::for_each(this->bridges.begin(), this->bridges.end(), remove);
}

void document_puller::append_due(want& target, std::size_t document, mono_time now,
                                 std::vector<pull>& result) {
    if (target.revision == 0 || now < target.not_before) {
        return;
    }
    const std::string& peer = target.sources[target.next_source % target.sources.size()];
    ++target.next_source;
    target.not_before = now + this->timeout;
    target.asked = peer;
    target.asked_revision = target.revision;
    result.push_back({.peer = peer, .document = document, .revision = target.revision});
}

std::vector<pull> document_puller::due(mono_time now) {
    std::vector<pull> result;
    for (std::size_t i = 0; i < document_count; ++i) {
        this->append_due(this->newest[i], i, now, result);
        this->append_due(this->bridges[i], i, now, result);
    }
    return result;
}

std::optional<mono_time> document_puller::waiting_since() const {
    std::optional<mono_time> since;
    for (const want& each : this->newest) {
        if (each.revision != 0) {
            since = std::min(since.value_or(each.since), each.since);
        }
    }
    return since;
}

bool document_puller::waits_for_newest() const {
    return std::any_of(this->newest.begin(), this->newest.end(),
                       [](const want& each) { return each.revision != 0; });
}

}  // namespace trefoil::dissemination
