// Sends large bodies of calls to other daemons in parts and reassembles those that arrive. Uses no
// network and no clock; body_link sends the frames.
//
// Example:
//
//     outgoing_bodies sending(link);
//     sending.start(connection, 7, body, {.deadline = deadline, .arrived = ..., .failed = ...});
//     incoming_bodies arriving(link, &account);
//     arriving.on_part(connection, part, now);
//     std::optional<std::string> body = arriving.take(connection, 7, total);

#ifndef TREFOIL_DAEMON_BODY_EXCHANGE_H_
#define TREFOIL_DAEMON_BODY_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "edge/memory_account.h"
#include "messages/body_part.h"
#include "transport/frame_socket.h"

namespace trefoil::daemon {

class body_link {
public:
    virtual ~body_link() = default;
    // Returns false if the message was not sent.
    virtual bool send_body_message(transport::connection_id connection,
                                   const messages::body_message& message) = 0;
};

enum class body_failure {
    not_sent,  // The connection is lost, or the deadline has passed.
    refused,   // The peer has no room.
};

// What becomes of an outgoing body. Exactly one of `arrived` and `failed` is called, once, except
// that neither is after `wanted` has returned false.
struct outgoing_body_events {
    mono_time deadline;
    std::function<bool()> wanted;
    std::function<void()> arrived;  // The peer holds the whole body.
    std::function<void(body_failure)> failed;
};

// Safe for concurrent use. `wanted` is called with a lock held and must not call back; the other
// events are called without locks.
class outgoing_bodies {
public:
    explicit outgoing_bodies(body_link& target) : link(target) {}

    static constexpr std::size_t part_bytes = std::size_t{64} << 10U;
    // Unconfirmed bytes of all bodies on one connection, or one part of each.
    static constexpr std::size_t window_bytes = 4 * part_bytes;

    // `body` is not empty.
    void start(transport::connection_id connection, std::uint64_t sequence, edge::shared_body body,
               outgoing_body_events events);
    void on_progress(transport::connection_id connection, const messages::body_progress& progress);
    void on_refusal(transport::connection_id connection, std::uint64_t sequence);
    void connection_lost(transport::connection_id connection);
    // Ends bodies whose deadline has passed or that are no longer wanted.
    void expire(mono_time now);

private:
    using key = std::pair<transport::connection_id, std::uint64_t>;  // Connection and sequence.
    struct transfer {
        edge::shared_body body;
        outgoing_body_events events;
        std::size_t sent = 0;
        std::size_t confirmed = 0;
    };

    std::optional<transfer> take(const key& id);
    void send_parts(const key& id);
    std::size_t window(transport::connection_id connection) const;  // Called with the lock held.
    void discard(const key& id, bool failed);

    body_link& link;
    std::mutex mutex;
    std::map<key, transfer> transfers;  // Guarded by mutex.
};

// Safe for concurrent use.
class incoming_bodies {
public:
    // `memory` may be null.
    incoming_bodies(body_link& target, edge::memory_account* memory)
        : link(target), account(memory) {}

    // A body of which no part arrives for this time is dropped.
    static constexpr std::chrono::seconds stall_limit{10};

    // Answers with the progress or with a refusal.
    void on_part(transport::connection_id connection, const messages::body_part& part,
                 mono_time now);
    void on_discard(transport::connection_id connection, std::uint64_t sequence);
    void connection_lost(transport::connection_id connection);
    void expire(mono_time now);
    // Returns a complete body of this size and forgets it; nothing if there is none.
    std::optional<std::string> take(transport::connection_id connection, std::uint64_t sequence,
                                    std::uint64_t total);

private:
    using key = std::pair<transport::connection_id, std::uint64_t>;  // Connection and sequence.
    struct assembly {
        explicit assembly(edge::memory_account* memory) : held(memory) {}

        std::uint64_t total = 0;
        std::string bytes;
        mono_time last_part;
        edge::memory_reservation held;
    };

    messages::body_message add_part(transport::connection_id connection,
                                    const messages::body_part& part, mono_time now);

    body_link& link;
    edge::memory_account* const account;
    std::mutex mutex;
    std::map<key, assembly> assemblies;  // Guarded by mutex.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_BODY_EXCHANGE_H_
