// Selects the peers with which this daemon gossips: 4, at least half of them outside its failure
// domain and, where possible, all but one in its own site, because only peers of its site can
// confirm the overlay. One of them is replaced at random every 60 s.
//
// Example:
//
//     peers.on_connected(now, record, "127.0.0.1:7002");
//     peers.tick(now, *view, unconfirmed, actions);
//     for (const std::string& peer : peers.selected_peers()) { ... }

#ifndef TREFOIL_DISSEMINATION_GOSSIP_PEERS_H_
#define TREFOIL_DISSEMINATION_GOSSIP_PEERS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "base/time.h"
#include "dissemination/action.h"
#include "dissemination/core_options.h"
#include "membership/view.h"

namespace trefoil::dissemination {

class gossip_peers {
public:
    gossip_peers(const core_options& settings, random_source& source, mono_time start);

    // The first authenticated connection to a peer was established. `opened_address` is the address
    // of the open_connection action that led to it; empty when the peer opened the connection.
    void on_connected(mono_time now, const membership::instance_record& peer,
                      const std::string& opened_address);
    // The last connection to a peer was closed.
    void on_disconnected(const std::string& peer);
    // The attempt to connect to `address` failed; the next one follows after a random backoff.
    void on_connect_failed(mono_time now, const std::string& address);
    // The peer sent a digest request over the connection, so it has selected this daemon.
    void record_peer_use(mono_time now, const std::string& peer);

    // Appends the connections to open and close. `unconfirmed` states that this daemon is ready but
    // its last confirmation (confirmation.h) is too old. In this case a peer is replaced every 2 s
    // by an instance in any state, because all current peers may be in the same minority partition.
    void tick(mono_time now, const membership::view& current, bool unconfirmed,
              std::vector<action>& actions);

    // Sets the readers of the failure domain that this daemon polls. They are connected in addition
    // to the selected peers and are not themselves selected.
    void set_readers(const std::vector<std::shared_ptr<const membership::instance_record>>& next);
    // The readers that are connected.
    std::vector<std::string> connected_readers() const;

    const std::vector<std::string>& selected_peers() const { return this->selected; }

    // The peers of the gossip rounds: the selected ones and those that have selected this daemon.
    // Without the latter, no daemon would send requests to an instance that none has selected, and
    // all others would consider it dead.
    std::vector<std::string> partners(mono_time now) const;

    struct connection {
        membership::instance_record record;
        bool opened_here = false;
        mono_time last_request_at = mono_time::min();  // The peer's last digest request.
    };
    const absl::flat_hash_map<std::string, connection>& connections() const {
        return this->open_connections;
    }

private:
    struct attempt {
        std::string id;  // Empty for a seed, whose instance id is not known yet.
        bool running = false;
        unsigned failures = 0;
        mono_time started_at;
        mono_time retry_at;
    };
    // Which placement requirements the selected peers do not meet.
    struct requirements {
        bool outside_domain = false;
        bool own_site = false;
    };

    std::size_t running_attempts() const;
    bool is_reader(const std::string& id) const;
    bool may_open(mono_time now, const std::string& address) const;
    void open_readers(mono_time now, std::vector<action>& actions);
    requirements unmet_requirements(const membership::view& current) const;
    bool eligible(mono_time now, const membership::instance_record& record) const;
    const membership::member* pick_candidate(mono_time now, const membership::view& current,
                                             bool any_state);
    void start_attempt(mono_time now, const std::string& address, const std::string& id,
                       std::vector<action>& actions);
    void open_seeds(mono_time now, std::vector<action>& actions);
    void release_seeds();
    void release_one(const membership::view& current);
    void close_released(mono_time now, std::vector<action>& actions);
    void expire_attempts(mono_time now);

    const core_options& options;
    random_source& random;
    mono_time rotate_at;
    mono_time unconfirmed_rotate_at;      // Time of the next replacement while unconfirmed.
    std::vector<std::string> selected;    // Ids in `open_connections`.
    std::vector<std::string> from_seeds;  // Ids that were selected through a seed address.
    std::vector<std::shared_ptr<const membership::instance_record>> readers;
    std::vector<std::string> released;  // Ids that are connected but no longer selected.
    absl::flat_hash_map<std::string, connection> open_connections;  // By instance id.
    absl::flat_hash_map<std::string, attempt> attempts;             // By address.
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_GOSSIP_PEERS_H_
