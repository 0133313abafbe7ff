// What the decision core asks its owner to do. Every action is independent of the others and none
// is repeated by the core when the owner drops it, except through its own timers.
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

// Sends over any authenticated connection to the peer; dropped when there is none.
struct send_message {
    std::string peer;  // Instance id.
    messages::peer_message message;

    friend bool operator==(const send_message&, const send_message&) = default;
};

// Reads a document at the platform, and answers with core::on_platform_answer.
struct read_document {
    std::uint64_t request = 0;
    std::string name;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};

    friend bool operator==(const read_document&, const read_document&) = default;
};

// Peers hold a revision that the platform's watch has not brought: it may hang.
struct refresh_platform {
    friend bool operator==(const refresh_platform&, const refresh_platform&) = default;
};

// Whether the mirror of the platform is to be kept current. It is at the start.
struct follow_platform {
    bool following = true;

    friend bool operator==(const follow_platform&, const follow_platform&) = default;
};

// Opens a peer connection, and answers with connection_opened or connection_failed.
struct open_connection {
    std::string address;

    friend bool operator==(const open_connection&, const open_connection&) = default;
};

// Dissemination no longer needs the connection that it had opened to this peer. Connections that
// carry calls stay open.
struct close_connection {
    std::string peer;

    friend bool operator==(const close_connection&, const close_connection&) = default;
};

// A document was offered to the store, so that the pair in force may have changed.
struct configuration_offered {
    std::string name;
    std::uint64_t revision = 0;

    friend bool operator==(const configuration_offered&, const configuration_offered&) = default;
};

// A valid instance list that is newer than the one adopted before.
struct adopt_list {
    std::shared_ptr<const membership::instance_list> list;

    friend bool operator==(const adopt_list&, const adopt_list&) = default;
};

// A new instance list is invalid; the one in force stays. For the log.
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
