// Runs the dissemination core: passes peer messages and platform responses to it, executes its
// actions and publishes the snapshot, the members and the candidates in the shared state.
//
// Terms: a gossip peer is a peer with which the core exchanges digests; the platform is the service
// that stores the configuration documents.
//
// Example:
//
//     daemon::control_loop control(options, shared, platform, clock);
//     control.set_connections(connections);
//     control.start();

#ifndef TREFOIL_DAEMON_CONTROL_LOOP_H_
#define TREFOIL_DAEMON_CONTROL_LOOP_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/random.h"
#include "base/time.h"
#include "daemon/configuration_store.h"
#include "daemon/peer_connections.h"
#include "daemon/shared_state.h"
#include "dissemination/core.h"
#include "membership/tracker.h"
#include "source/configuration_service.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class control_loop {
public:
    // `self` is the hello message that this daemon sends to peers.
    control_loop(const dissemination::core_options& options, const messages::hello& self,
                 shared_state& shared, source::configuration_service& platform,
                 const time_source& clock);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    // To be called once, before start().
    void set_connections(peer_connections& target) { this->connections = &target; }
    void start();
    void stop();

    void on_connection_open(const messages::hello& peer, bool first);
    void on_connection_closed(const messages::hello& peer, bool last);
    void on_dial_failed(const std::string& address);
    void on_message(const messages::hello& peer, const messages::peer_message& message);

    // Announces to the peers that this daemon leaves.
    void begin_leaving();

private:
    void run();
    void run_platform_reads();
    void read_platform(const dissemination::read_document& read);
    void execute(const std::vector<dissemination::action>& actions);
    void execute_one(const dissemination::action& action);
    // Runs `input` under the lock and publishes the result, then executes the core's actions
    // without the lock.
    template <class Input>
    void apply_input(Input input);
    void open_gossip_connection(const std::string& address);
    void record_peer_contacts(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish_candidates() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish_control_state() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool has_reads_or_is_stopping() const { return this->stopping || !this->reads.empty(); }

    const dissemination::core_options options;
    // Recorded as in contact on every tick, so that a daemon without peers sees itself as live.
    const membership::instance_record own_record;
    const std::uint64_t incarnation;
    shared_state& shared;
    source::configuration_service& platform;
    const time_source& clock;
    peer_connections* connections = nullptr;

    absl::Mutex mutex;
    // Guarded by mutex.
    seeded_random random;
    configuration_store store;
    membership::tracker tracker;
    dissemination::core core;
    mono_time next_contact_update = mono_time::min();
    std::shared_ptr<const membership::view> published_view;
    std::shared_ptr<const config::snapshot> published_snapshot;
    bool leaving = false;
    std::map<std::string, membership::instance_record> open_peers;  // By peer address.
    // Addresses to which the core has requested a connection that is not open yet.
    std::set<std::string> requested_addresses;

    absl::Mutex read_mutex;
    std::deque<dissemination::read_document> reads;  // Guarded by read_mutex.
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_CONTROL_LOOP_H_
