// Implements the digests of the core: their content, the handling of peers' digests, and the choice
// of recipients.

#include <algorithm>
#include <chrono>
#include <utility>

#include "dissemination/core.h"

namespace trefoil::dissemination {

namespace {

// Maximum number of peers to which a new revision is announced at once. An ingress may have
// hundreds of connections; the other peers learn of the revision through gossip.
constexpr std::size_t announcement_limit = 16;

document_version version_of(const messages::document_state& state) {
    return {.revision = state.revision,
            .checksum = state.checksum,
            .read_revision = std::max(state.revision, state.read_revision)};
}

}  // namespace

messages::digest core::make_digest() const {
    messages::digest result;
    result.leaving = this->leaving;
    result.documents = this->held.states_for_digest();
    result.list_revision = this->confirmations.list_revision();
    return result;
}

void core::send_request(mono_time now, const gossip_rounds::digest_request& digest_request) {
    messages::digest message = this->make_digest();
    message.wants_reply = true;
    message.round = digest_request.round;
    // A reply carries the age vectors only when both sides name the same list revision, so revision
    // 0 requests a short reply.
    message.list_revision = digest_request.wants_ages ? message.list_revision : 0;
    if (digest_request.wants_ages) {
        message.contact_ages = this->confirmations.contact_ages(now);
    }
    this->send(digest_request.peer, std::move(message));
}

core::comparison core::compare(mono_time now, const std::string& peer,
                               const messages::digest& message) {
    comparison result;
    for (const messages::document_state& state : message.documents) {
        auto index = this->held.index_of(state.name);
        if (!index.has_value()) {
            continue;
        }
        document_version named = version_of(state);
        this->merge_version(now, *index, named);
        if (named.read_revision > this->newest_named[*index].read_revision) {
            this->newest_named[*index] = named;
        }
        const held_document& own = this->held.held(*index);
        version_relation relation = relation_to(this->held.version(*index), named);
        bool conflict = relation == version_relation::conflicting;
        if (!conflict) {
            this->puller.record_announcement(*index, peer, state, own, now,
                                             this->pull_delay(now, peer));
        }
        bool same = relation == version_relation::same;
        bool lower_there = state.revision < own.revision;
        result.newer_there = result.newer_there || relation == version_relation::newer;
        result.newer_here =
            result.newer_here || relation == version_relation::older || (same && lower_there);
        // The peer gives its content a higher revision when it learns of the held one.
        result.unnamed_there = result.unnamed_there || (relation == version_relation::newer &&
                                                        state.revision <= own.revision);
        result.conflict = result.conflict || conflict;
        result.list_conflict = result.list_conflict || (conflict && *index == list_index);
        result.equal[*index] = same && state.revision == own.revision;
        result.same_site = result.same_site || *index == overlay_index;
        result.peer_has_base =
            result.peer_has_base || (*index == base_index && state.revision != 0);
    }
    this->totals.checksum_conflicts += result.conflict ? 1 : 0;
    return result;
}

void core::send_reply(mono_time now, const std::string& peer,
                      const messages::digest& digest_request) {
    messages::digest answer = this->make_digest();
    answer.round = digest_request.round;
    auto at = this->confirmations.platform_confirmed_at();
    if (at.has_value()) {
        answer.platform_age_ms = std::chrono::ceil<milliseconds>(now - *at).count();
    }
    if (digest_request.list_revision == answer.list_revision) {
        answer.ages = this->confirmations.ages(now);
        answer.contact_ages = this->confirmations.contact_ages(now);
    }
    this->send(peer, std::move(answer));
}

// Whether the entries of the message's age vectors are those of the list in force here.
bool core::has_same_list(const messages::digest& message, const comparison& result) const {
    return message.list_revision == this->confirmations.list_revision() && !result.list_conflict;
}

// The time at which a digest request was sent is unknown, so contact is recorded as of now. A
// delayed request can only delay a suspicion.
void core::apply_request(mono_time now, const std::string& peer,
                         const messages::digest& digest_request, const comparison& result) {
    if (this->has_same_list(digest_request, result)) {
        this->confirmations.record_peer_contact(peer, now, digest_request.contact_ages);
    }
}

void core::apply_reply(mono_time now, const std::string& peer, const messages::digest& message,
                       const comparison& result) {
    auto requested = this->rounds.finish_round(peer, message.round);
    if (!requested.has_value()) {
        return;
    }
    mono_time from = this->confirmation_time(*requested, now);
    static const std::vector<std::uint8_t> no_ages;
    bool same_list = this->has_same_list(message, result);
    const auto& ages = same_list ? message.ages : no_ages;
    const auto& contact_ages = message.contact_ages.empty() ? message.ages : message.contact_ages;
    this->confirmations.record_peer_contact(peer, from, same_list ? contact_ages : no_ages);
    auto connection = this->peers.connections().find(peer);
    if (connection != this->peers.connections().end()) {
        this->readiness.record_response(peer, connection->second.record.failure_domain);
    }
    if (message.platform_age_ms >= 0) {
        this->peer_platform_confirmed_at = std::max(this->peer_platform_confirmed_at,
                                                    from - milliseconds(message.platform_age_ms));
    }
    if (this->options.confirm_by_peers && message.platform_age_ms >= 0) {
        mono_time at = from - milliseconds(message.platform_age_ms);
        for (std::size_t i = 0; i < document_count; ++i) {
            if (result.equal[i]) {
                this->confirmations.confirm(i, at);
            }
        }
    }
    // A peer without a base has just started and cannot know of a newer revision, so its reply does
    // not count.
    bool nothing_newer = !result.newer_there && !result.conflict && result.peer_has_base;
    if (nothing_newer) {
        this->confirmations.record_nothing_newer(peer, result.same_site, from, ages);
    }
}

void core::send_rounds(mono_time now) {
    auto digest_request =
        this->rounds.next_request(now, this->peers.partners(now), this->confirmed_at(),
                                  this->confirmations.platform_confirmed_at());
    if (digest_request.has_value()) {
        this->send_request(now, *digest_request);
    }
    bool fast = this->peer_platform_confirmed_at == unknown_time ||
                now - this->peer_platform_confirmed_at > this->options.fallback_after;
    auto reader_request =
        this->rounds.next_reader_request(now, this->peers.connected_readers(), fast);
    if (reader_request.has_value()) {
        this->send_request(now, *reader_request);
    }
}

std::vector<std::string> core::announcement_targets() const {
    std::vector<std::string> targets = this->peers.selected_peers();
    if (this->options.mirrored && this->readers.selects()) {
        auto add = [&](const std::string& id) {
            if (std::find(targets.begin(), targets.end(), id) == targets.end()) {
                targets.push_back(id);
            }
        };
        // A reader announces to its whole failure domain, which is connected to it; other daemons
        // announce to the readers.
        for (const std::string& each : this->peers.connected_readers()) {
            add(each);
        }
        for (const auto& [id, connection] : this->peers.connections()) {
            if (this->is_reader &&
                connection.record.failure_domain == this->options.failure_domain) {
                add(id);
            }
        }
        return targets;
    }
    for (const auto& [id, connection] : this->peers.connections()) {
        if (targets.size() >= announcement_limit) {
            break;
        }
        if (std::find(targets.begin(), targets.end(), id) == targets.end()) {
            targets.push_back(id);
        }
    }
    return targets;
}

void core::announce(mono_time now) {
    bool too_early = this->announced_at != unknown_time &&
                     now - this->announced_at < this->options.min_announcement_interval;
    if (too_early) {
        return;  // A later tick or event announces the newest state.
    }
    this->announcement_pending = false;
    this->announced_at = now;
    if (!this->options.gossip) {
        return;
    }
    for (const std::string& peer : this->announcement_targets()) {
        this->send(peer, this->make_digest());
    }
}

// Any connected peer may be about to send a call, so all of them are told.
void core::announce_leaving() {
    this->announcement_pending = false;
    if (!this->options.gossip) {
        return;
    }
    for (const auto& [id, connection] : this->peers.connections()) {
        this->send(id, this->make_digest());
    }
}

}  // namespace trefoil::dissemination
