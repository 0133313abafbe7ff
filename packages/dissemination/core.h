// The decision core of dissemination: it keeps the documents of this daemon at the newest revision
// and says when they were last confirmed. It performs no I/O, reads no clock, has no lock and is
// deterministic for a given random source. Its owner calls it under one lock, passes on every input
// and then executes the actions.
//
// Example:
//
//     dissemination::core core(options, store, random, now);
//     core.tick(now);
//     for (const dissemination::action& each : core.take_actions()) { std::visit(executor, each); }
//     bool serve = core.ready() && core.confirmed(now);

#ifndef TREFOIL_DISSEMINATION_CORE_H_
#define TREFOIL_DISSEMINATION_CORE_H_

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
#include "dissemination/document_puller.h"
#include "dissemination/document_store.h"
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
    std::uint64_t stale_answers = 0;  // The platform knew only an older revision.
    std::uint64_t documents_received = 0;
    std::uint64_t documents_sent = 0;
    std::uint64_t damaged_documents = 0;   // The checksum did not match the body.
    std::uint64_t checksum_conflicts = 0;  // One revision with two different bodies.

    friend bool operator==(const core_counts&, const core_counts&) = default;
};

class core {
public:
    // `configuration` and `source` must outlive the core.
    core(core_options settings, document_store& configuration, random_source& source,
         mono_time start);
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    // To be called every 50 to 200 ms.
    void tick(mono_time now);

    // Messages from an authenticated peer, after its connection_opened.
    void receive(mono_time now, const std::string& peer, const messages::digest& message);
    void receive(mono_time now, const std::string& peer, const messages::document_request& message);
    void receive(mono_time now, const std::string& peer, const messages::document& message);

    void on_platform_answer(mono_time now, std::uint64_t request, const platform_answer& answer);

    // The first authenticated connection to a peer is up, or the last one is down.
    // `opened_address` is the address of the open_connection action; empty when the peer opened it.
    void on_connection_opened(mono_time now, const membership::instance_record& peer,
                              const std::string& opened_address);
    void on_connection_closed(const std::string& peer);
    void on_connection_failed(mono_time now, const std::string& address);
    // Something arrived from a connected peer at `at`. To be called about twice a second for each.
    void record_contact(const std::string& peer, mono_time at);

    void set_view(std::shared_ptr<const membership::view> next);

    // The daemon stops and tells its peers. A reader goes on watching until its process ends,
    // because instances without a connection to it still count on it.
    void set_leaving(mono_time now);

    // Returns the actions since the last call, in the order in which they arose.
    std::vector<action> take_actions();

    // The held documents were the newest at this time. Never decreases.
    std::optional<mono_time> confirmed_at() const { return this->confirmations.confirmed_at(); }
    // To be asked when a request is admitted, because a process may have been paused.
    bool confirmed(mono_time now) const;
    bool ready() const { return this->readiness.ready(); }
    const std::string& waiting_for() const { return this->readiness.waiting_for(); }
    bool reader() const { return this->is_reader; }
    // Whether this daemon is to keep its mirror of the platform current.
    bool following() const { return this->follow.following(); }
    const held_documents& documents() const { return this->held; }
    // For membership::tracker::record_reported_contacts, with the revision of its list.
    const confirmation& confirmation_state() const { return this->confirmations; }
    const core_counts& counts() const { return this->totals; }

private:
    // How a peer's digest compares with what is held here, over the documents that both hold.
    struct comparison {
        bool newer_there = false;
        bool newer_here = false;
        bool conflict = false;
        bool peer_has_base = false;
        bool same_site = false;  // Both hold the same overlay document.
        bool equal[document_count] = {false, false, false};
    };

    comparison compare(mono_time now, const std::string& peer, const messages::digest& message);
    void send_reply(mono_time now, const std::string& peer, const messages::digest& digest_request);
    void apply_reply(mono_time now, const std::string& peer, const messages::digest& message,
                     const comparison& result);
    void adopt_peer_revision(mono_time now, std::size_t index,
                             const messages::document_state& named);
    void offer(mono_time now, std::size_t index, const messages::document& offered);
    read_outcome apply_document(mono_time now, const platform_schedule::sent_read& sent,
                                const platform_document& answer);
    read_outcome apply_unchanged(mono_time now, const platform_schedule::sent_read& sent,
                                 std::uint64_t revision);
    mono_time confirmation_time(mono_time requested_at, mono_time now) const;
    milliseconds pull_delay(mono_time now, const std::string& peer) const;
    bool reads_as_reader() const;
    void update_following(mono_time now);
    void refresh_stalled_watch(mono_time now);
    messages::digest make_digest() const;
    void send_request(mono_time now, const gossip_rounds::digest_request& digest_request);
    void apply_request(mono_time now, const std::string& peer,
                       const messages::digest& digest_request);
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
    platform_schedule schedule;
    gossip_peers peers;
    gossip_rounds rounds;
    reader_selection readers;
    readiness_check readiness;
    follow_policy follow;
    std::shared_ptr<const membership::view> view;  // Never null.
    bool is_reader = false;
    bool leaving = false;
    mono_time platform_answered_at = unknown_time;
    // The newest confirmation by the platform that a peer told of, whatever it holds.
    mono_time peer_platform_confirmed_at = unknown_time;
    mono_time refreshed_at = unknown_time;  // When the platform was last asked to look again.
    mono_time announced_at = unknown_time;
    bool announcement_pending = false;  // A new revision is held that peers have not been told of.
    core_counts totals;
    std::vector<action> actions;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_CORE_H_
