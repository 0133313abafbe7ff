// Implements the inputs of the core and its use of the platform.

#include "dissemination/core.h"

#include <algorithm>
#include <utility>

#include "base/compression.h"
#include "base/hash.h"
#include "base/result.h"

namespace trefoil::dissemination {

namespace {

// Bound of the documents that are not configurations. They grow with the fleet.
constexpr std::size_t max_list_bytes = std::size_t{16} << 20U;

// Returns the size of the largest message body that compress() makes of `bytes`.
constexpr std::size_t transfer_bytes_max(std::size_t bytes) {
    return bytes + bytes / 128 + 1024;
}

// Returns the document with its body uncompressed, or nothing if the body is damaged or larger than
// `max_document_bytes`.
std::optional<messages::document> intact_document(const messages::document& message,
                                                  std::size_t max_document_bytes) {
    messages::document received{
        .name = message.name, .revision = message.revision, .checksum = message.checksum};
    if (message.compressed) {
        auto body = decompress(message.body, max_document_bytes);
        if (!body.has_value()) {
            return std::nullopt;
        }
        received.body = std::move(*body);
    } else {
        received.body = message.body;
    }
    return checksum64(received.body) == received.checksum ? std::optional(std::move(received))
                                                          : std::nullopt;
}

// The time at which the platform was read, if the answer states it.
constexpr overloaded read_time{
    [](const platform_document& found) { return found.origin.at; },
    [](const platform_unchanged& same) { return same.origin.at; },
    [](const platform_absent&) { return std::optional<mono_time>(); },
    [](const platform_unavailable&) { return std::optional<mono_time>(); }};

}  // namespace

core::core(core_options settings, document_store& configuration, random_source& source,
           mono_time start_time)
    : options(std::move(settings)),
      held(configuration, this->options.site),
      confirmations(this->options.instance, this->options.site),
      puller(this->options.request_timeout, this->options.pull_last_good),
      assembler(transfer_bytes_max(std::max(this->options.max_document_bytes, max_list_bytes))),
      schedule(this->options, source, start_time),
      peers(this->options, source, start_time),
      rounds(this->options, source, start_time),
      readers(this->options.instance, this->options.failure_domain,
              this->options.readers_per_domain, this->options.all_read_below),
      readiness(this->options.instance, start_time, this->options.start_timeout),
      follow(this->options, source, start_time),
      view(std::make_shared<const membership::view>(
          std::make_shared<const membership::instance_list>(
              0, std::vector<membership::instance_record>()),
          std::vector<membership::member>(), std::vector<membership::member>())) {}

std::vector<action> core::take_actions() {
    return std::exchange(this->actions, {});
}

bool core::confirmed(mono_time now) const {
    auto at = this->confirmed_at();
    return at.has_value() && now - *at <= this->options.max_confirmation_age;
}

void core::send(const std::string& peer, messages::peer_message message) {
    this->actions.emplace_back(send_message{.peer = peer, .message = std::move(message)});
}

mono_time core::confirmation_time(mono_time requested_at, mono_time now) const {
    return this->options.confirm_from_request ? requested_at : now;
}

// Inputs.

void core::tick(mono_time now) {
    this->held.refresh();
    this->update_following(now);
    this->read_platform(now);
    if (this->options.gossip) {
        bool unconfirmed = this->readiness.ready() && !this->confirmed(now);
        this->peers.tick(now, *this->view, unconfirmed, this->actions);
        this->send_rounds(now);
    }
    this->finish_input(now);
}

void core::receive(mono_time now, const std::string& peer, const messages::digest& message) {
    this->held.refresh();
    comparison result = this->compare(now, peer, message);
    if (message.wants_reply) {
        this->peers.record_peer_use(now, peer);
        this->apply_request(now, peer, message, result);
        this->send_reply(now, peer, message);
    } else {
        this->apply_reply(now, peer, message, result);
        bool of_use = result.newer_here || result.unnamed_there;
        if (of_use && this->options.gossip && this->rounds.may_push_digest(now, peer)) {
            this->send(peer, this->make_digest());
        }
    }
    this->finish_input(now);
}

void core::receive(mono_time now, const std::string& peer,
                   const messages::document_request& message) {
    auto index = this->held.index_of(message.name);
    if (!index.has_value()) {
        return;
    }
    auto transfer = this->held.transfer(*index, message);
    if (!transfer.has_value()) {
        // The requested revision was replaced here; the digest names the current one.
        this->send(peer, this->make_digest());
        return;
    }
    if (transfer->offset == 0) {
        ++this->totals.documents_sent;
    }
    this->send(peer, std::move(*transfer));
    this->finish_input(now);
}

void core::receive(mono_time now, const std::string& peer, const messages::document& message) {
    this->held.refresh();
    auto index = this->held.index_of(message.name);
    if (!index.has_value()) {
        return;
    }
    bool is_part = message.total_bytes != 0;
    if (is_part && !this->puller.requested(*index, peer, message.revision)) {
        return;  // The peer was too slow, and another one sends this part.
    }
    std::uint64_t received_before = this->assembler.received_bytes(*index, message.revision);
    auto whole = this->assembler.add(*index, message);
    if (!whole.has_value()) {
        // Without progress, another peer is asked when the request times out.
        if (this->assembler.received_bytes(*index, message.revision) > received_before) {
            this->continue_transfer(now, peer, *index, message);
        }
        this->finish_input(now);
        return;
    }
    ++this->totals.documents_received;
    std::size_t limit = *index == base_index ? this->options.max_document_bytes : max_list_bytes;
    auto received = intact_document(*whole, limit);
    if (!received.has_value()) {
        // The document is requested from another peer when the request times out.
        ++this->totals.damaged_documents;
        return;
    }
    this->accept_document(now, *index, *received);
    this->finish_input(now);
}

void core::accept_document(mono_time now, std::size_t index, const messages::document& received) {
    const held_document& state = this->held.held(index);
    bool last_good = received.revision > state.revision_in_force &&
                     this->puller.wants_last_good(index, received.revision);
    document_version version{.revision = received.revision,
                             .checksum = received.checksum,
                             .read_revision = received.revision};
    const document_version& named = this->newest_named[index];
    if (named.revision == version.revision && named.checksum == version.checksum) {
        version.read_revision = named.read_revision;
    }
    document_version own = this->held.version(index);
    version_relation relation = relation_to(own, version);
    bool newer = relation == version_relation::newer && version.revision > own.revision;
    if (newer || last_good) {
        this->offer(now, index, received);
    }
    if (newer) {
        this->held.record_read(index, version.checksum, version.read_revision);
    } else {
        // A reading has shown the held content since the document was requested.
        this->merge_version(now, index, version);
    }
}

// Requests the next part after `part`, unless the platform is likely to deliver the document
// sooner.
void core::continue_transfer(mono_time now, const std::string& peer, std::size_t index,
                             const messages::document& part) {
    this->puller.record_part(index, peer, part.revision, now);
    // All daemons of a failure domain share the links of its readers, but each has a link of its
    // own to the platform.
    bool large = part.total_bytes > this->options.max_part_bytes;
    // Whether the platform was asked a short time ago and has not answered since.
    bool tried = now < this->platform_expected_until + this->options.large_document_pause &&
                 this->platform_answered_at <=
                     this->platform_expected_until - this->options.large_document_delay;
    if (large && this->options.mirrored && !this->follow.following() && !tried) {
        this->platform_expected_until = now + this->options.large_document_delay;
        this->puller.postpone(index, this->platform_expected_until);
        return;
    }
    this->send_document_request(peer, index, part.revision);
}

void core::send_document_request(const std::string& peer, std::size_t index,
                                 std::uint64_t revision) {
    std::uint64_t received = this->assembler.received_bytes(index, revision);
    this->send(peer, messages::document_request{
                         .name = this->held.name(index),
                         .revision = revision,
                         .accepts_compressed = this->options.compressed_transfers,
                         .offset = received,
                         .max_bytes = received == 0 ? this->options.first_part_bytes
                                                    : this->options.max_part_bytes});
}

void core::on_platform_answer(mono_time now, std::uint64_t request, const platform_answer& answer) {
    auto sent = this->schedule.finish(request);
    if (!sent.has_value()) {
        return;
    }
    this->held.refresh();
    read_outcome outcome = std::visit(
        overloaded{
            [&](const platform_document& found) { return this->apply_document(now, *sent, found); },
            [&](const platform_unchanged& same) { return this->apply_unchanged(now, *sent, same); },
            [&](const platform_absent&) {
                return this->apply_unchanged(now, *sent, platform_unchanged{});
            },
            [](const platform_unavailable&) { return read_outcome::failed; },
        },
        answer);
    if (outcome == read_outcome::stale) {
        ++this->totals.stale_answers;
    }
    auto read_at = std::visit(read_time, answer);
    bool read_since = read_at.has_value() && *read_at > sent->issued_at;
    this->schedule.schedule_next(now, *sent, outcome, this->reads_as_reader(), read_since);
    this->read_platform(now);
    this->finish_input(now);
}

void core::on_connection_opened(mono_time now, const membership::instance_record& peer,
                                const std::string& opened_address) {
    this->peers.on_connected(now, peer, opened_address);
    if (this->options.gossip && !this->readiness.ready()) {
        // A starting daemon sends each new peer a digest request at once.
        this->send_request(now, this->rounds.start_round(now, peer.id));
    } else if (this->options.gossip && this->leaving) {
        this->send(peer.id, this->make_digest());
    }
}

void core::on_connection_closed(const std::string& peer) {
    this->peers.on_disconnected(peer);
    this->puller.on_disconnected(peer);
    this->rounds.on_disconnected(peer);
}

void core::on_connection_failed(mono_time now, const std::string& address) {
    this->peers.on_connect_failed(now, address);
}

void core::record_contact(const std::string& peer, mono_time at) {
    this->confirmations.record_peer_contact(peer, at, {});
}

void core::set_view(std::shared_ptr<const membership::view> next) {
    this->view = std::move(next);
    this->confirmations.set_list(this->view->list());
    this->is_reader = this->readers.update(*this->view);
    if (this->options.mirrored) {
        this->peers.set_readers(this->readers.higher_ranked_readers());
    }
}

void core::set_leaving(mono_time now) {
    this->leaving = true;
    this->announce_leaving();
    this->finish_input(now);
}

// While the platform answers this daemon, it delivers a new document sooner than a peer would, so
// pulls are delayed. A daemon that does not follow a mirrored platform pulls at once from peers of
// its own failure domain. Pulls from other domains are delayed while a peer reports a recent
// platform confirmation: the readers of all domains get a document at the same time, and traffic
// between failure domains is billed.
milliseconds core::pull_delay(mono_time now, const std::string& peer) const {
    if (this->options.mirrored && !this->follow.following()) {
        auto found = this->peers.connections().find(peer);
        bool near = found != this->peers.connections().end() &&
                    found->second.record.failure_domain == this->options.failure_domain;
        bool readers_answer =
            this->peer_platform_confirmed_at != unknown_time &&
            now - this->peer_platform_confirmed_at <= this->options.fallback_after;
        return readers_answer && !near ? this->options.pull_delay : milliseconds(0);
    }
    // A mirror is known to be current more often than a watch of a document ends.
    milliseconds lost_after =
        this->options.mirrored ? this->options.fallback_after : this->options.read_after;
    bool answers = this->platform_answered_at != unknown_time &&
                   now - this->platform_answered_at <= lost_after;
    return answers ? this->options.pull_delay : milliseconds(0);
}

bool core::reads_as_reader() const {
    return this->options.mirrored ? this->follow.following() : this->is_reader;
}

void core::update_following(mono_time now) {
    if (!this->options.mirrored) {
        return;
    }
    bool before = this->follow.following();
    bool after =
        this->follow.update(now, {.reader = this->is_reader,
                                  .ready = this->readiness.ready(),
                                  .peer_platform_confirmed_at = this->peer_platform_confirmed_at,
                                  .answered_at = this->platform_answered_at,
                                  .large_document = now < this->platform_expected_until,
                                  .domain_size = this->readers.domain_size()});
    if (after != before) {
        this->actions.emplace_back(follow_platform{.following = after});
    }
}

void core::refresh_stalled_watch(mono_time now) {
    if (this->options.mirrored && !this->follow.following()) {
        return;
    }
    auto since = this->puller.newer_known_since();
    bool hangs = this->options.refresh_after.count() > 0 && since.has_value() &&
                 now - *since >= this->options.refresh_after && this->refreshed_at < *since;
    if (hangs) {
        this->refreshed_at = now;
        this->actions.emplace_back(refresh_platform{});
    }
}

// Documents.

// Applies what a peer's version of a document says about the held one. Daemons that mirror a
// platform use the revision at which they first loaded a content, so revisions of one content can
// differ.
void core::merge_version(mono_time now, std::size_t index, const document_version& peer) {
    document_version own = this->held.version(index);
    document_version merged = merge_peer(own, peer);
    this->held.record_read(index, merged.checksum, merged.read_revision);
    if (merged.revision > own.revision) {
        this->rename(now, index, merged.revision);
    }
}

// Holds the same content under a higher revision.
void core::rename(mono_time now, std::size_t index, std::uint64_t revision) {
    const held_document& own = this->held.held(index);
    auto body = this->held.body(index, own.revision);
    if (body.has_value()) {
        this->offer(now, index,
                    messages::document{.name = this->held.name(index),
                                       .revision = revision,
                                       .checksum = own.checksum,
                                       .body = std::move(*body)});
    }
}

void core::offer(mono_time now, std::size_t index, const messages::document& offered) {
    document_version before = this->held.version(index);
    this->held.offer(index, offered, this->actions);
    const held_document& after = this->held.held(index);
    if (after.checksum != before.checksum) {
        this->confirmations.record_new_content(index);
    }
    if (after.revision != before.revision) {
        this->announcement_pending = true;
    }
    this->puller.record_offer(index, offered.revision, after, now);
    this->assembler.drop_until(index, after.revision_in_force);
}

read_outcome core::apply_document(mono_time now, const platform_schedule::sent_read& sent,
                                  const platform_document& answer) {
    read_content read{.revision = answer.revision,
                      .checksum = checksum64(answer.body),
                      .body = &answer.body,
                      .origin = answer.origin};
    // The time at which the platform read the document is unknown, but it is not earlier than the
    // request.
    return this->apply_reading(now, sent.document, read, sent.issued_at);
}

read_outcome core::apply_unchanged(mono_time now, const platform_schedule::sent_read& sent,
                                   const platform_unchanged& answer) {
    const held_document& own = this->held.held(sent.document);
    bool identified = answer.checksum != 0 || answer.revision == own.revision;
    if (!identified) {
        return answer.revision < own.revision ? read_outcome::stale : read_outcome::failed;
    }
    read_content read{.revision = answer.revision,
                      .checksum = answer.checksum != 0 ? answer.checksum : own.checksum,
                      .origin = answer.origin};
    // By the protocol, a watch that ends without a newer document confirms the held one until the
    // end of its wait. An earlier answer confirms it at the time of the request.
    bool waited = answer.revision != 0 && now - sent.issued_at >= sent.wait;
    mono_time at = waited ? sent.issued_at + sent.wait : sent.issued_at;
    return this->apply_reading(now, sent.document, read, at);
}

// `at` is a time at which the platform had the content, unless its origin states one.
read_outcome core::apply_reading(mono_time now, std::size_t index, const read_content& read,
                                 mono_time at) {
    platform_reading reading{
        .version = {.revision = read.revision,
                    .checksum = read.checksum,
                    .read_revision = std::max(read.revision, read.origin.revision)},
        .partial = read.origin.partial};
    document_version own = this->held.version(index);
    applied_reading applied = dissemination::apply_reading(own, reading);
    if (applied.outcome == reading_outcome::outdated) {
        return read_outcome::stale;
    }
    if (applied.outcome == reading_outcome::conflicting) {
        this->totals.checksum_conflicts += reading.partial ? 0 : 1;
        return read_outcome::failed;
    }
    bool replaced = applied.held.checksum != own.checksum;
    if (replaced && read.body == nullptr) {
        return read_outcome::failed;  // The next request returns the content.
    }
    if (replaced) {
        this->offer(now, index,
                    messages::document{.name = this->held.name(index),
                                       .revision = applied.held.revision,
                                       .checksum = read.checksum,
                                       .body = *read.body});
    } else if (applied.held.revision > own.revision) {
        this->rename(now, index, applied.held.revision);
    }
    this->held.record_read(index, applied.held.checksum, applied.held.read_revision);
    this->platform_answered_at =
        std::max(this->platform_answered_at, std::min(read.origin.at.value_or(now), now));
    mono_time current_at = std::min(read.origin.at.value_or(at), now);
    this->confirmations.confirm(index, this->confirmation_time(current_at, now));
    this->merge_version(now, index, this->newest_named[index]);
    return applied.outcome == reading_outcome::newer ? read_outcome::newer
                                                     : read_outcome::confirmed;
}

// Outputs.

void core::read_platform(mono_time now) {
    if (this->options.mirrored && !this->follow.following()) {
        return;
    }
    for (std::size_t i = 0; i < document_count; ++i) {
        auto request = this->schedule.next_read(
            now, i, this->held.name(i), this->held.held(i).revision, this->reads_as_reader(),
            this->confirmations.document_confirmed_at(i));
        if (request.has_value()) {
            ++this->totals.platform_reads;
            document_version held_version = this->held.version(i);
            request->checksum = held_version.checksum;
            request->read_revision = held_version.read_revision;
            this->actions.emplace_back(std::move(*request));
        }
    }
}

void core::finish_input(mono_time now) {
    if (this->options.confirm_by_majority) {
        this->confirmations.apply_majority(now);
    }
    if (this->announcement_pending) {
        this->announce(now);
    }
    this->refresh_stalled_watch(now);
    for (const pull& each : this->puller.next_pulls(now)) {
        this->send_document_request(each.peer, each.document, each.revision);
    }
    // Older confirmations do not count: a peer may report one from before this start, and the peers
    // may have been partitioned since.
    mono_time oldest = now - this->options.max_confirmation_age;
    mono_time platform_at = this->confirmations.platform_confirmed_at().value_or(unknown_time);
    readiness_inputs inputs{
        .valid_pair = this->held.held(base_index).revision_in_force != 0,
        .platform_confirmed = platform_at >= oldest,
        .majority_confirmed = this->confirmations.majority_confirmed_at() >= oldest,
        .document_missing = this->puller.has_newer_revision(),
        .platform_answered_at = this->platform_answered_at};
    this->readiness.update(now, inputs, *this->view);
}

}  // namespace trefoil::dissemination
