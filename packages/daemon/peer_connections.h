// The daemon's connections to its peers, by instance. Calls, gossip and rate limits share one
// connection between two daemons, in both directions.
//
// A connection is silent while nothing has arrived on it for some time (transport/peer_endpoint.h).
// It is then not used for sending, but stays open for what the peer may still send. A connection is
// in use while it is open and not silent.
//
// Example:
//
//     daemon::peer_connections connections(options, handler, clock);
//     connections.send("station-2", "127.0.0.1:7002", messages::loan_request{...});

#ifndef TREFOIL_DAEMON_PEER_CONNECTIONS_H_
#define TREFOIL_DAEMON_PEER_CONNECTIONS_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/random.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "daemon/body_exchange.h"
#include "messages/messages.h"
#include "routing/clock_offset.h"
#include "transport/peer_endpoint.h"

namespace trefoil::daemon {

// The sender of a message and the connection on which it arrived.
struct message_origin {
    transport::connection_id connection = 0;
    const messages::hello* peer = nullptr;  // Valid until the handler returns.
    mono_time received;
};

// How a connection ended.
struct connection_end {
    // No other connection to this peer is in use, and no earlier event has reported that.
    bool last = false;
    // The peer has sent all its results and runs no call for which it sent none.
    bool settled_by_peer = false;
};

// Handles messages of peers and changes of their connections. Called from several threads; must not
// block.
class peer_event_handler {
public:
    virtual ~peer_event_handler() = default;
    // A connection was opened or is no longer silent. `first`: no other connection to this peer was
    // in use.
    virtual void on_connection_open(const messages::hello& peer, bool first) = 0;
    // The connection has become silent. `last`: no other connection to this peer is in use.
    // Followed by on_connection_open when something arrives on it, or by on_connection_closed.
    virtual void on_connection_silent(transport::connection_id connection,
                                      const messages::hello& peer, bool last) = 0;
    virtual void on_connection_closed(transport::connection_id connection,
                                      const messages::hello& peer, connection_end end) = 0;
    virtual void on_dial_failed(const std::string& address) = 0;
    // `sent` is the earliest local time at which the peer can have sent the call.
    virtual void on_call(const message_origin& origin, messages::call call, mono_time sent) = 0;
    virtual void on_message(const message_origin& origin, messages::peer_message message) = 0;
};

// A call to send. `about_to_send` is invoked right before the call is passed to the connection and
// returns false to cancel the call. `not_sent` is invoked if no byte of the call was sent. Each
// call is either sent, cancelled by `about_to_send` or reported by `not_sent`.
struct outgoing_call {
    messages::call call;  // Its own body is empty if `body` is not.
    mono_time deadline;
    std::optional<mono_time> objective;  // End of the latency objective, if the service has one.
    std::function<bool(transport::connection_id)> about_to_send;
    std::function<void()> not_sent;
    edge::shared_body body = nullptr;
    // Instead of `not_sent`: the peer has no room for the body, or cannot receive one of this size.
    std::function<void()> not_accepted = {};
    // Whether the call is still in progress; asked while a large body is sent.
    std::function<bool()> wanted = [] { return true; };
};

// Returns the remaining time of the latency objective as a call message carries it: in
// microseconds, at least 1, and 0 if there is no objective.
std::int64_t objective_left_us(const std::optional<mono_time>& objective, mono_time now);

struct peer_connections_options {
    transport::peer_endpoint_options endpoint;
    std::chrono::milliseconds idle_timeout{60000};
    std::chrono::milliseconds max_queue_time{1000};  // Of a message without an open connection.
    std::chrono::milliseconds min_backoff{100};
    std::chrono::milliseconds max_backoff{5000};
    double dials_per_second = 20;            // Limit for all addresses together.
    edge::memory_account* memory = nullptr;  // Counts the bodies that arrive; may be null.
};

// All members are safe for concurrent use.
class peer_connections final : private transport::peer_events, private body_link {
public:
    peer_connections(peer_connections_options options, peer_event_handler& handler,
                     const time_source& clock);

    result<transport::started, transport::listen_failure> start(const std::string& ip,
                                                                std::uint16_t port);
    void stop() { this->endpoint.stop(); }

    // Opens a connection unless one is being opened, or the back-off of the address or the limit of
    // new connections forbids it.
    void dial(const std::string& address);

    // Returns the addresses to which the last dial failed, whose daemons have not connected to this
    // one since, and to which no connection is in use.
    std::set<std::string> unreachable_addresses() const;

    bool is_open(const std::string& instance) const;

    // Sends over a connection in use. Returns false if there is none.
    bool send_if_open(const std::string& instance, const messages::peer_message& message);

    // Sends over a connection in use, or queues the message and dials `address`. The message is
    // dropped if the queue is full or no connection opens within `max_queue_time`.
    void send(const std::string& instance, const std::string& address,
              const messages::peer_message& message);
    void send_call(const std::string& instance, const std::string& address, outgoing_call call);

    // Sends a message over a given connection, such as a result over the connection of its call.
    // Returns false if the connection is not open.
    bool send_on(transport::connection_id connection, const messages::peer_message& message);

    // Returns for each connection in use the instance and the time of its last frame.
    std::vector<std::pair<std::string, mono_time>> last_heard() const;

    // Returns the time of the last frame on a connection; nothing if it is not open.
    std::optional<mono_time> last_received(transport::connection_id connection) const {
        return this->endpoint.last_received(connection);
    }

    // Exempts the connections to these instances from the idle timeout.
    void set_idle_exempt(std::vector<std::string> instances);

    // Closes all open connections after the results that were queued on them have been sent, and
    // waits at most `limit` for that. Connections that peers open meanwhile stay open, because
    // closing one makes the peer open another. `settled` states that no call of a peer runs or will
    // run; peers are then told that calls without a result were not run. To be called while the
    // event loop runs.
    void close_all(bool settled, std::chrono::milliseconds limit);

    // Drops expired messages, dials for queued ones and closes idle connections. To be called about
    // every 50 ms, by one thread. The calls that expire are reported on the loop of the endpoint's
    // options.
    void tick();

    std::size_t open_count() const { return this->by_connection.size(); }
    transport::traffic_totals totals() const { return this->endpoint.totals(); }

private:
    struct peer_connection;
    struct queued_message {
        std::variant<messages::peer_message, outgoing_call> content;
        mono_time expires;
    };
    // Connections and queued messages of one instance.
    struct peer_state {
        // Open and not silent; messages are sent over the last one.
        std::vector<std::shared_ptr<peer_connection>> connections;
        std::deque<queued_message> queued;  // Empty while there is a connection.
        std::string address;                // Dialed for the queued messages.
    };
    struct dial_state {
        bool dialing = false;
        unsigned failures = 0;
        mono_time next_allowed;
    };

    void on_open(transport::connection_id id, const messages::hello& peer, bool outgoing) override;
    void on_message(transport::connection_id id, const messages::hello& peer,
                    messages::peer_message message, mono_time received) override;
    void on_body_message(transport::connection_id id, const messages::hello& peer,
                         messages::body_message message, mono_time received) override;
    void on_silent(transport::connection_id id, const messages::hello& peer) override;
    void on_resumed(transport::connection_id id, const messages::hello& peer) override;
    void on_close(transport::connection_id id, const messages::hello* peer,
                  bool settled_by_peer) override;

    void activate(const std::shared_ptr<peer_connection>& usable, bool preferred);
    void on_pong(peer_connection& from, const messages::pong& pong, mono_time received);
    void on_call_message(peer_connection& from, messages::call call, mono_time received);
    std::optional<transport::connection_id> open_connection(const std::string& instance) const;
    void enqueue(const std::string& instance, const std::string& address, queued_message message);
    void transmit(transport::connection_id id, queued_message message);
    void transmit_call(transport::connection_id id, outgoing_call call);
    void transmit_body(transport::connection_id id, outgoing_call call);
    void transmit_whole_call(transport::connection_id id, outgoing_call call);
    void set_times(transport::connection_id id, outgoing_call& call);
    bool send_body_message(transport::connection_id connection,
                           const messages::body_message& message) override;
    void on_call_with_body(peer_connection& from, messages::call_with_body message,
                           mono_time received);
    void finish_dial(transport::connection_id id, bool opened);
    bool take_dial_token(mono_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(dial_mutex);
    bool is_idle(const peer_connection& each) const;
    void close_idle_connections();
    void close_if_idle(const std::shared_ptr<peer_connection>& idle);
    void deactivate(const peer_connection& each);
    void drop_expired(mono_time now);
    void run_on_loop(std::function<void()> action);
    void dial_for_queued();

    const peer_connections_options options;
    mono_time next_idle_check;  // Used by tick() only.
    // Set if tick() has to check `by_instance` for queued messages and empty entries.
    std::atomic<bool> needs_cleanup{false};
    peer_event_handler& handler;
    const time_source& clock;
    sharded_map<transport::connection_id, std::shared_ptr<peer_connection>> by_connection;
    sharded_map<std::string, peer_state> by_instance;

    mutable absl::Mutex dial_mutex;
    // The members below, up to the endpoint, are guarded by dial_mutex.
    std::map<std::string, dial_state> dials;                  // By address.
    std::map<transport::connection_id, std::string> dialing;  // Addresses of pending dials.
    std::vector<std::string> idle_exempt;
    double dial_tokens = 0;
    mono_time dial_tokens_at;
    seeded_random random;

    outgoing_bodies bodies_sent{*this};
    incoming_bodies bodies_received;

    transport::peer_endpoint endpoint;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_PEER_CONNECTIONS_H_
