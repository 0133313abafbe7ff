// Implements the selection of documents and peers to ask.

#include "dissemination/document_puller.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

constexpr std::size_t max_holders = 8;
constexpr std::chrono::milliseconds last_good_retry_interval{2000};

}  // namespace

document_puller::document_puller(std::chrono::milliseconds answer_timeout, bool with_last_good)
    : timeout(answer_timeout), pulls_last_good(with_last_good) {
    this->last_good_retry_at.fill(mono_time::min());
}

void document_puller::add_holder(wanted_document& target, std::uint64_t revision,
                                 const std::string& peer, mono_time now,
                                 std::chrono::milliseconds delay) {
    if (revision < target.revision) {
        return;
    }
    if (revision > target.revision) {
        bool wanted_before = target.revision != 0;
        // Messages of a peer arrive in order. When the peer that was asked announces a newer
        // revision, it had replaced the requested one before the request arrived.
        bool pending = wanted_before && !target.pending_peer.empty() &&
                       (target.pending_peer != peer || target.receiving);
        bool delayed = wanted_before && target.pending_peer.empty();
        mono_time next_request_at = now + delay;
        if (pending || delayed) {
            next_request_at = pending ? target.next_request_at
                                      : std::min(target.next_request_at, next_request_at);
        }
        target = {.revision = revision,
                  .wanted_since = wanted_before ? target.wanted_since : now,
                  .next_request_at = next_request_at,
                  .pending_peer = pending ? target.pending_peer : "",
                  .pending_revision = pending ? target.pending_revision : 0,
                  .receiving = pending && target.receiving};
    }
    bool sooner = target.pending_peer.empty() && now + delay < target.next_request_at;
    if (sooner) {
        target.next_request_at = now + delay;
    }
    auto found = std::find(target.holders.begin(), target.holders.end(), peer);
    if (found == target.holders.end() && target.holders.size() < max_holders) {
        found = target.holders.insert(target.holders.end(), peer);
    }
    if (sooner && found != target.holders.end()) {
        target.next_holder = static_cast<std::size_t>(found - target.holders.begin());
    }
}

void document_puller::record_announcement(std::size_t document, const std::string& peer,
                                          const messages::document_state& state,
                                          const held_document& held, mono_time now,
                                          std::chrono::milliseconds delay) {
    if (state.revision > held.revision) {
        add_holder(this->newest[document], state.revision, peer, now, delay);
    }
    bool useful =
        state.revision_in_force > held.revision_in_force && state.revision_in_force < held.revision;
    if (this->pulls_last_good && useful && now >= this->last_good_retry_at[document]) {
        add_holder(this->last_good[document], state.revision_in_force, peer, now,
                   std::chrono::milliseconds(0));
    }
}

bool document_puller::wanted_document::is_pending(const std::string& peer,
                                                  std::uint64_t requested_revision) const {
    return this->pending_peer == peer && this->pending_revision == requested_revision;
}

void document_puller::record_part(std::size_t document, const std::string& peer,
                                  std::uint64_t revision, mono_time now) {
    for (wanted_document* target : {&this->newest[document], &this->last_good[document]}) {
        if (target->is_pending(peer, revision)) {
            target->receiving = true;
            target->next_request_at = now + this->timeout;
        }
    }
}

bool document_puller::requested(std::size_t document, const std::string& peer,
                                std::uint64_t revision) const {
    return this->newest[document].is_pending(peer, revision) ||
           this->last_good[document].is_pending(peer, revision);
}

void document_puller::postpone(std::size_t document, mono_time until) {
    wanted_document& target = this->newest[document];
    target.next_request_at = std::max(target.next_request_at, until);
}

bool document_puller::wants_last_good(std::size_t document, std::uint64_t revision) const {
    return revision != 0 && this->last_good[document].revision == revision;
}

void document_puller::record_offer(std::size_t document, std::uint64_t offered,
                                   const held_document& held, mono_time now) {
    if (held.revision >= this->newest[document].revision) {
        this->newest[document] = wanted_document{};
    } else if (!this->newest[document].pending_peer.empty() &&
               offered == this->newest[document].pending_revision) {
        // The requested document arrived, and a newer revision was announced after the request.
        this->newest[document].pending_peer.clear();
        this->newest[document].receiving = false;
        this->newest[document].next_request_at = now;
    }
    wanted_document& fallback = this->last_good[document];
    if (fallback.revision != 0 && held.revision_in_force >= fallback.revision) {
        fallback = wanted_document{};
    } else if (fallback.revision != 0 && offered == fallback.revision) {
        fallback = wanted_document{};
        this->last_good_retry_at[document] = now + last_good_retry_interval;
    }
}

void document_puller::on_disconnected(const std::string& peer) {
    auto remove = [&](wanted_document& target) {
        auto found = std::find(target.holders.begin(), target.holders.end(), peer);
        if (found == target.holders.end()) {
            return;
        }
        target.holders.erase(found);
        if (!target.receiving || target.pending_peer == peer) {
            // The outstanding request may have been sent to this peer.
            target.next_request_at = mono_time::min();
            target.pending_peer.clear();
            target.receiving = false;
        }
        if (target.holders.empty()) {
            target = wanted_document{};
        }
    };
    std::for_each(this->newest.begin(), this->newest.end(), remove);
    std::for_each(this->last_good.begin(), this->last_good.end(), remove);
}

void document_puller::append_due_pull(wanted_document& target, std::size_t document, mono_time now,
                                      std::vector<pull>& result) {
    if (target.revision == 0 || now < target.next_request_at) {
        return;
    }
    const std::string& peer = target.holders[target.next_holder % target.holders.size()];
    ++target.next_holder;
    target.next_request_at = now + this->timeout;
    target.pending_peer = peer;
    target.pending_revision = target.revision;
    target.receiving = false;
    result.push_back({.peer = peer, .document = document, .revision = target.revision});
}

std::vector<pull> document_puller::next_pulls(mono_time now) {
    std::vector<pull> result;
    for (std::size_t i = 0; i < document_count; ++i) {
        this->append_due_pull(this->newest[i], i, now, result);
        this->append_due_pull(this->last_good[i], i, now, result);
    }
    return result;
}

std::optional<mono_time> document_puller::newer_known_since() const {
    std::optional<mono_time> since;
    for (const wanted_document& each : this->newest) {
        if (each.revision != 0) {
            since = std::min(since.value_or(each.wanted_since), each.wanted_since);
        }
    }
    return since;
}

bool document_puller::has_newer_revision() const {
    return std::any_of(this->newest.begin(), this->newest.end(),
                       [](const wanted_document& each) { return each.revision != 0; });
}

}  // namespace trefoil::dissemination
