// Actions that the dissemination core returns to its owner. Actions are independent of each other.
// The core does not return an action again when the owner drops it; only the core's timers lead to
// a new attempt.
//
// Example:
//
//     for (const dissemination::action& each : core.take_actions()) {
//         std::visit(executor, each);
//     }

#ifndef TREFOIL_DISSEMINATION_ACTION_H_
#define TREFOIL_DISSEMINATION_ACTION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "membership/instance_list.h"
#include "messages/messages.h"

namespace trefoil::dissemination {

// Sends a message over any authenticated connection to the peer; dropped when there is none.
struct send_message {
    std::string peer;  // Instance id.
    messages::peer_message message;

    friend bool operator==(const send_message&, const send_message&) = default;
};

// Reads a document from the platform. The result is passed to core::on_platform_answer.
struct read_document {
    std::uint64_t request = 0;  // Identifies the request in core::on_platform_answer.
    std::string name;
    std::uint64_t after = 0;            // Only a document with a greater revision is of interest.
    std::chrono::milliseconds wait{0};  // Length of a watch; 0 reads at once.
    // Of the held content, whose revision is `after` (document_version.h).
    std::uint64_t checksum = 0;
    std::uint64_t read_revision = 0;

    friend bool operator==(const read_document&, const read_document&) = default;
};

// Asks the platform client to look again: peers hold a revision that its watch has not returned, so
// the watch may hang.
struct refresh_platform {
    friend bool operator==(const refresh_platform&, const refresh_platform&) = default;
};

// Starts or suspends updates of the local mirror of the platform. The mirror is followed from the
// start.
struct follow_platform {
    bool following = true;

    friend bool operator==(const follow_platform&, const follow_platform&) = default;
};

// Opens a peer connection. The result is passed to core::on_connection_opened or
// core::on_connection_failed.
struct open_connection {
    std::string address;

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

// Dissemination no longer needs the connection that it opened to this peer. The owner keeps the
// connection open while calls use it.
struct close_connection {
    std::string peer;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

// A document was offered to the store. The base and overlay in force may have changed.
struct configuration_offered {
    std::string name;
    std::uint64_t revision = 0;

    friend bool operator==(const configuration_offered&, const configuration_offered&) = default;
};

// A valid instance list, newer than the one adopted before.
struct adopt_list {
    std::shared_ptr<const membership::instance_list> list;
    std::uint64_t checksum = 0;  // Of its body.

    friend bool operator==(const adopt_list&, const adopt_list&) = default;
};

// A new instance list is invalid and the one in force stays. Reported for the log.
struct report_invalid_list {
    std::uint64_t revision = 0;
    std::string detail;

    friend bool operator==(const report_invalid_list&, const report_invalid_list&) = default;
};

using action =
    std::variant<send_message, read_document, refresh_platform, follow_platform, open_connection,
                 close_connection, configuration_offered, adopt_list, report_invalid_list>;

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_ACTION_H_
