// Runs the dissemination core: feeds it peer messages and platform answers, executes its actions
// and publishes the snapshot, the members and the candidates on the shared state.
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
    // `self` is how this daemon introduces itself to peers.
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

    // Tells the peers that this daemon leaves.
    void begin_leaving();

private:
    void run();
    void run_platform_reads();
    void read_platform(const dissemination::read_document& read);
    void execute(const std::vector<dissemination::action>& actions);
    void execute_one(const dissemination::action& action);
    // Runs `input` on the core under the lock, then executes the actions outside of it.
    template <class Input>
    void feed(Input input);
    void open_peer(const std::string& address);
    void note_contacts(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish_candidates() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish_control_state() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool has_reads_or_stops() const { return this->stopping || !this->reads.empty(); }

    const dissemination::core_options options;
    // A daemon is in contact with itself, also when it hears no peer.
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
    mono_time next_contacts = mono_time::min();
    std::shared_ptr<const membership::view> published_view;
    std::shared_ptr<const config::snapshot> published_snapshot;
    bool leaving = false;
    std::map<std::string, membership::instance_record> open_peers;  // By peer address.
    std::set<std::string> asked_addresses;  // Connections that the core asked for, not open yet.

    absl::Mutex read_mutex;
    std::deque<dissemination::read_document> reads;  // Guarded by read_mutex.
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_CONTROL_LOOP_H_
