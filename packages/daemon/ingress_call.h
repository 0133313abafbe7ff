// The state of one request at the ingress, and of one attempt to have it served.
//
// Example:
//
//     auto started = std::make_shared<detail::attempt>();
//     if (started->claim(connection)) { ... the bytes leave ... }

#ifndef TREFOIL_DAEMON_INGRESS_CALL_H_
#define TREFOIL_DAEMON_INGRESS_CALL_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "daemon/refusal.h"
#include "daemon/request_acceptance.h"
#include "edge/http_server.h"
#include "transport/peer_endpoint.h"

namespace trefoil::daemon::detail {

// One request from its arrival to its response. Used by one thread at a time: each step hands it to
// the next.
struct ingress_call : accepted_request {
    std::shared_ptr<edge::responder> responder;
    mono_time arrived;
    bool admitted = false;
    bool over = false;                // Answered, or its caller has left.
    std::uint64_t last_sequence = 0;  // Of the latest attempt; 0 before the first.
    std::size_t sent = 0;             // Attempts.
    // Why the latest attempt failed that was not refused for a retry budget.
    std::string_view last_failure = reasons::no_upstream;
    std::vector<std::string> tried;
    std::vector<std::string> refused;  // Part of `tried`: their upstreams did not see the call.
    std::size_t overloaded = 0;        // How many of them were full.
    // The shortest time after which one of them could have started it.
    std::optional<std::chrono::milliseconds> retry_after;
    // An upstream's 502, 503 or 504 for which a retry was made. The caller gets it when no retry
    // brings a better response.
    std::optional<edge::http_response> earlier_response;

    // When the latency objective is missed.
    std::optional<mono_time> objective_at() const {
        return this->objective.count() == 0 ? std::nullopt
                                            : std::optional(this->arrived + this->objective);
    }
};

// One attempt of a call. `connection` leaves `not_sent_yet` once: to the connection right before
// the bytes leave, or to `abandoned` when the ingress gives up before. So "not sent" is never
// claimed for a call whose bytes leave a moment later.
struct attempt {
    static constexpr transport::connection_id not_sent_yet = 0;
    static constexpr transport::connection_id abandoned = ~transport::connection_id{0};

    bool claim(transport::connection_id next) {
        transport::connection_id before = not_sent_yet;
        return this->connection.compare_exchange_strong(before, next);
    }

    std::shared_ptr<ingress_call> call;
    std::string instance;
    mono_time sent_at;
    mono_time expires;
    std::atomic<transport::connection_id> connection{not_sent_yet};
    // What led to the choice, for the log.
    std::size_t candidates = 0;
    mono_duration expected{};
    mono_duration report_age{};
};

}  // namespace trefoil::daemon::detail

#endif  // TREFOIL_DAEMON_INGRESS_CALL_H_
