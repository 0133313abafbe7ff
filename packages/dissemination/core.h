// The decision core of dissemination. It keeps this daemon's documents at the newest revision and
// records when they were last confirmed to be the newest (see confirmation.h). It performs no I/O,
// reads no clock, takes no lock and is deterministic for a given random source. Its owner
// serializes all calls under one lock, passes in every event and executes the returned actions.
//
// Example:
//
//     dissemination::core core(options, store, random, now);
//     core.tick(now);
//     for (const dissemination::action& each : core.take_actions()) { std::visit(executor, each); }
//     bool serve = core.ready() && core.confirmed(now);

#ifndef TREFOIL_DISSEMINATION_CORE_H_
#define TREFOIL_DISSEMINATION_CORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "dissemination/action.h"
#include "dissemination/confirmation.h"
#include "dissemination/core_options.h"
#include "dissemination/document_assembler.h"
#include "dissemination/document_puller.h"
#include "dissemination/document_store.h"
#include "dissemination/document_version.h"
#include "dissemination/follow_policy.h"
#include "dissemination/gossip_peers.h"
#include "dissemination/gossip_rounds.h"
#include "dissemination/held_documents.h"
#include "dissemination/platform_answer.h"
#include "dissemination/platform_schedule.h"
#include "dissemination/reader_selection.h"
#include "dissemination/readiness_check.h"
#include "membership/view.h"

namespace trefoil::dissemination {

struct core_counts {
    std::uint64_t platform_reads = 0;
    std::uint64_t stale_answers = 0;  // The platform had only an older revision.
    std::uint64_t documents_received = 0;
    std::uint64_t documents_sent = 0;
    std::uint64_t damaged_documents = 0;   // Checksum does not match the body.
    std::uint64_t checksum_conflicts = 0;  // One revision with two bodies.

    friend bool operator==(const core_counts&, const core_counts&) = default;
};

class core {
public:
    // `configuration` and `source` must outlive the core.
    core(core_options settings, document_store& configuration, random_source& source,
         mono_time start);
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    // Runs the timers; to be called every 50 to 200 ms.
    void tick(mono_time now);

    // Handles a message from an authenticated peer, after on_connection_opened for this peer.
    void receive(mono_time now, const std::string& peer, const messages::digest& message);
    void receive(mono_time now, const std::string& peer, const messages::document_request& message);
    void receive(mono_time now, const std::string& peer, const messages::document& message);

    // The result of a read_document action; ignored for an unknown or timed-out request.
    void on_platform_answer(mono_time now, std::uint64_t request, const platform_answer& answer);

    // The first authenticated connection to a peer was established, the last one was closed, or an
    // attempt failed. `opened_address` is the address of the open_connection action; empty when the
    // peer opened the connection.
    void on_connection_opened(mono_time now, const membership::instance_record& peer,
                              const std::string& opened_address);
    void on_connection_closed(const std::string& peer);
    void on_connection_failed(mono_time now, const std::string& address);
    // Data arrived from a connected peer at `at`. To be called about twice a second for each peer.
    void record_contact(const std::string& peer, mono_time at);

    void set_view(std::shared_ptr<const membership::view> next);

    // Announces to all connected peers that this daemon is leaving. A reader keeps watching the
    // platform until its process ends, because daemons without a connection to it still rely on it.
    void set_leaving(mono_time now);

    // Returns the actions that arose since the last call, in order.
    std::vector<action> take_actions();

    // The latest time at which all held documents were known to be the newest. Never decreases.
    std::optional<mono_time> confirmed_at() const { return this->confirmations.confirmed_at(); }
    // Whether the confirmation is recent enough at `now`. To be evaluated when a request is
    // admitted, because the process may have been paused since the last tick.
    bool confirmed(mono_time now) const;
    bool ready() const { return this->readiness.ready(); }
    // The condition that keeps the daemon from becoming ready; empty when ready.
    const std::string& waiting_for() const { return this->readiness.waiting_for(); }
    bool reader() const { return this->is_reader; }
    // Whether this daemon keeps its mirror of the platform up to date.
    bool following() const { return this->follow.following(); }
    const held_documents& documents() const { return this->held; }
    // Input of membership::tracker::record_reported_contacts, with the revision of its list.
    const confirmation& confirmation_state() const { return this->confirmations; }
    const core_counts& counts() const { return this->totals; }

private:
    // How a peer's digest compares with the documents held here, over those that both hold.
    struct comparison {
        bool newer_there = false;
        bool newer_here = false;
        // A newer content there has a revision that does not exceed that of the held one.
        bool unnamed_there = false;
        bool conflict = false;
        bool peer_has_base = false;
        bool list_conflict = false;
        bool same_site = false;  // Both sides hold the same overlay document.
        bool equal[document_count] = {false, false, false};
    };

    // What the platform answered to a read.
    struct read_content {
        std::uint64_t revision = 0;
        std::uint64_t checksum = 0;
        const std::string* body = nullptr;  // Null if the document is unchanged.
        read_origin origin;
    };

    comparison compare(mono_time now, const std::string& peer, const messages::digest& message);
    void send_reply(mono_time now, const std::string& peer, const messages::digest& digest_request);
    void apply_reply(mono_time now, const std::string& peer, const messages::digest& message,
                     const comparison& result);
    void accept_document(mono_time now, std::size_t index, const messages::document& received);
    void merge_version(mono_time now, std::size_t index, const document_version& peer);
    void rename(mono_time now, std::size_t index, std::uint64_t revision);
    void offer(mono_time now, std::size_t index, const messages::document& offered);
    read_outcome apply_document(mono_time now, const platform_schedule::sent_read& sent,
                                const platform_document& answer);
    read_outcome apply_unchanged(mono_time now, const platform_schedule::sent_read& sent,
                                 const platform_unchanged& answer);
    read_outcome apply_reading(mono_time now, std::size_t index, const read_content& read,
                               mono_time at);
    mono_time confirmation_time(mono_time requested_at, mono_time now) const;
    void continue_transfer(mono_time now, const std::string& peer, std::size_t index,
                           const messages::document& part);
    void send_document_request(const std::string& peer, std::size_t index, std::uint64_t revision);
    milliseconds pull_delay(mono_time now, const std::string& peer) const;
    bool reads_as_reader() const;
    void update_following(mono_time now);
    void refresh_stalled_watch(mono_time now);
    messages::digest make_digest() const;
    void send_request(mono_time now, const gossip_rounds::digest_request& digest_request);
    void apply_request(mono_time now, const std::string& peer,
                       const messages::digest& digest_request, const comparison& result);
    bool has_same_list(const messages::digest& message, const comparison& result) const;
    void send(const std::string& peer, messages::peer_message message);
    void send_rounds(mono_time now);
    void read_platform(mono_time now);
    void announce(mono_time now);
    std::vector<std::string> announcement_targets() const;
    void announce_leaving();
    void finish_input(mono_time now);

    const core_options options;
    held_documents held;
    confirmation confirmations;
    document_puller puller;
    document_assembler assembler;
    platform_schedule schedule;
    gossip_peers peers;
    gossip_rounds rounds;
    reader_selection readers;
    readiness_check readiness;
    follow_policy follow;
    // Per document, the newest version that a peer has named.
    std::array<document_version, document_count> newest_named{};
    std::shared_ptr<const membership::view> view;  // Never null.
    bool is_reader = false;
    bool leaving = false;
    mono_time platform_answered_at = unknown_time;
    // The newest confirmation by the platform that a peer reported, whatever documents it holds.
    mono_time peer_platform_confirmed_at = unknown_time;
    // A large document is expected from the platform, and not requested from peers, until this
    // time.
    mono_time platform_expected_until = unknown_time;
    mono_time refreshed_at = unknown_time;  // Time of the last refresh_platform.
    mono_time announced_at = unknown_time;
    bool announcement_pending = false;  // A newly held revision is not announced yet.
    core_counts totals;
    std::vector<action> actions;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_CORE_H_
