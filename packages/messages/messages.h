// The messages that daemons exchange. Each is an immutable value: a sender fills it once and a
// receiver only reads it.
//
// Example:
//
//     messages::call request{.sequence = 7, .service = "station", .method = "GET"};
//     std::string frame = messages::encode(request);

#ifndef TREFOIL_MESSAGES_MESSAGES_H_
#define TREFOIL_MESSAGES_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace trefoil::messages {

// First message on a connection, sent by both sides.
struct hello {
    std::string fleet_protocol;  // Both sides must send the same text.
    std::string instance;
    std::uint64_t incarnation = 0;  // Differs between two starts of one instance.
    std::string failure_domain;
    std::string site;
    std::string service;  // The service of the upstream beside the sender.
    std::string address;  // "ip:port" at which the sender accepts peer connections.
    std::string nonce;

    friend bool operator==(const hello&, const hello&) = default;
};

// Proves knowledge of the fleet secret: HMAC-SHA256 over both nonces and the sender's identity.
struct proof {
    std::string hmac;

    friend bool operator==(const proof&, const proof&) = default;
};

// A heartbeat. It carries the answer to the receiver's last ping, so that a connection needs one
// frame for each interval and direction.
struct ping {
    std::int64_t sent_us = 0;  // Sender's monotonic clock.
    std::int64_t echo_us =
        0;  // The `sent_us` of the last ping that the sender read; 0 before that.
    std::int64_t clock_us = 0;  // Sender's monotonic clock when it read that ping.
    // The sender's next ping follows within this time. 0, or absent, from a daemon that pings every
    // 500 ms and expects the same.
    std::uint32_t interval_ms = 0;

    friend bool operator==(const ping&, const ping&) = default;
};

// Answers at once a ping that echoes none, which a sender that waits for a sign of life sends, too.
struct pong {
    std::int64_t echo_us = 0;   // The `sent_us` of the ping.
    std::int64_t clock_us = 0;  // Responder's monotonic clock when it read the ping.

    friend bool operator==(const pong&, const pong&) = default;
};

// What a sender holds of one document. Revision 0 means that it holds none.
struct document_state {
    std::string name;
    std::uint64_t revision = 0;  // Newest revision held, valid or not.
    std::uint64_t checksum = 0;  // Checksum of the newest body.
    std::uint64_t revision_in_force = 0;

    friend bool operator==(const document_state&, const document_state&) = default;
};

constexpr std::int64_t age_unknown_ms = -1;

struct digest {
    bool wants_reply = false;
    std::uint64_t round = 0;  // Echoed in the reply, so that its age counts from the request.
    bool leaving = false;
    std::vector<document_state> documents;
    std::int64_t platform_age_ms = age_unknown_ms;
    std::uint64_t list_revision = 0;  // Revision of the instance list that `ages` refers to.
    // Per list entry, unit 100 ms, 255 = unknown: when it was known to hold nothing newer.
    std::vector<std::uint8_t> ages;
    // The same: when it was known to be alive. Absent from an earlier version.
    std::vector<std::uint8_t> contact_ages;

    friend bool operator==(const digest&, const digest&) = default;
};

struct document_request {
    std::string name;
    std::uint64_t revision = 0;  // The exact revision wanted.

    friend bool operator==(const document_request&, const document_request&) = default;
};

struct document {
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;
    std::string body;

    friend bool operator==(const document&, const document&) = default;
};

struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header&, const header&) = default;
};

// A request from an ingress to the egress beside the chosen upstream.
struct call {
    std::uint64_t sequence = 0;  // Unique within the ingress's incarnation.
    std::int64_t sent_us = 0;    // Ingress's monotonic clock when the call was sent.
    std::int64_t budget_us = 0;  // Time left for the whole call at `sent_us`.
    std::string request_id;      // Given by the caller; empty when it gave none.
    std::string caller_service;  // Service of the upstream beside the ingress.
    std::string service;
    std::string route;
    std::string workspace;  // Empty on open routes.
    bool idempotent = false;
    std::uint32_t priority = 0;  // Rank when capacity is short; 0 is served first.
    // What is left of the latency objective at `sent_us`, at least 1; 0: there is none.
    std::int64_t objective_us = 0;
    bool may_be_late = true;          // False: refuse the call when it would miss the objective.
    std::uint32_t depth = 0;          // 0 for a call from outside, 1 for the first nested call.
    std::uint64_t base_revision = 0;  // Configuration under which the ingress admitted the call.
    std::string method;
    std::string target;  // Path and query.
    std::vector<header> headers;
    std::string body;
    // How likely a run of the call is a repeat: 1 when an earlier attempt may have reached an
    // upstream, or the likelihood that the upstream that sent the call runs a repeat itself. Absent
    // from an earlier version.
    double retry_probability = 0;

    friend bool operator==(const call&, const call&) = default;
};

enum class call_outcome : std::uint8_t {
    answered,  // The upstream's whole response is in the message.
    not_run,   // The upstream did not start the request; `reason` says why.
    unknown,   // The upstream may have run the request; `reason` says what happened.
};

// Load of an egress at the time of an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;  // Concurrent calls that the gate allows now.
    // How long requests take at the upstream now: those of the call's route, and the mean of all.
    // 0 before the first response.
    std::uint32_t service_us = 0;
    std::uint32_t mean_service_us = 0;
    // The share of the latest requests that the upstream did not answer itself: rejected, or lost
    // with their connections. Absent from an earlier version.
    double failing_share = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

struct call_result {
    std::uint64_t sequence = 0;
    call_outcome outcome = call_outcome::unknown;
    std::string reason;                // A refusal reason of the HTTP table; empty when answered.
    bool reached_upstream = true;      // False: the egress refused the call by itself.
    std::uint32_t retry_after_ms = 0;  // When a refused call could have started; 0: not known.
    std::uint32_t held_us = 0;         // From the arrival at the egress to this answer.
    std::uint32_t status = 0;
    std::vector<header> headers;
    std::string body;
    load_report load;

    friend bool operator==(const call_result&, const call_result&) = default;
};

struct cancel {
    std::uint64_t sequence = 0;

    friend bool operator==(const cancel&, const cancel&) = default;
};

// Asks a lender for its shares of the workspaces whose home the sender believes to be, and gives
// back shares that the sender no longer needs.
struct loan_request {
    struct release {
        std::string workspace;
        std::uint64_t loan = 0;  // The `id` of the loan; a copy of a release names no later loan.
        double tokens = 0;       // Unspent tokens that move back with the share.

        friend bool operator==(const release&, const release&) = default;
    };

    std::uint64_t round = 0;
    std::uint64_t incarnation = 0;  // A loan to a former process of the sender is another's loan.
    std::vector<std::string> workspaces;
    std::vector<release> releases;

    friend bool operator==(const loan_request&, const loan_request&) = default;
};

struct loan {
    std::string workspace;
    std::uint64_t id = 0;  // Stays the same while the loan is renewed.
    double weight = 0;     // Number of shares lent.
    double tokens = 0;     // Unspent tokens that move with the shares.

    friend bool operator==(const loan&, const loan&) = default;
};

struct loan_grant {
    std::uint64_t round = 0;  // Echo of the request; its duration counts from that request.
    std::int64_t duration_ms = 0;
    std::vector<loan> loans;

    friend bool operator==(const loan_grant&, const loan_grant&) = default;
};

struct token_request {
    std::uint64_t round = 0;
    std::string workspace;
    double wanted_now = 0;  // For calls that wait.
    // Ahead of demand; granted only from what others do not need. Of a new lender, what it has room
    // for of the tokens of the lender before.
    double wanted_prefetch = 0;
    // Report on an earlier batch. Both amounts count from the grant, so that a report that arrives
    // twice or after a newer one changes nothing.
    struct settlement {
        std::uint64_t batch = 0;
        double spent = 0;
        double returned = 0;

        friend bool operator==(const settlement&, const settlement&) = default;
    };
    std::vector<settlement> settlements;

    friend bool operator==(const token_request&, const token_request&) = default;
};

struct token_grant {
    std::uint64_t round = 0;
    std::string workspace;
    std::uint64_t batch = 0;  // Identifies the batch in settlements; 0 when nothing was granted.
    double tokens = 0;
    // Of the batch; in the answer of a failure domain's lender, when to ask again for a refused
    // one.
    std::int64_t lifetime_ms = 0;
    bool is_home =
        true;  // False when the receiver of the request holds no loans for the workspace.
    bool recall = false;  // Asks the holder to settle and to return unspent tokens now.

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

// What one workspace asks for and gets, in requests per second.
struct workspace_demand {
    std::string workspace;
    double rate = 0;            // Asked for, smoothed.
    double admitted = 0;        // Admitted since the report before.
    std::uint32_t holders = 1;  // Daemons whose reports are in the sums.

    friend bool operator==(const workspace_demand&, const workspace_demand&) = default;
};

// A daemon tells the collector of its failure domain what callers ask of it.
struct demand_report {
    std::uint64_t round = 0;
    std::vector<workspace_demand> demands;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

// A collector's answer: the demand of the whole fleet, with the report that it answers.
struct demand_totals {
    std::uint64_t round = 0;    // Echo of the report.
    std::uint32_t heard = 0;    // Daemons whose reports are in the totals.
    std::uint32_t missing = 0;  // Daemons that exist as far as is known, but were not heard.
    std::vector<workspace_demand> demands;

    friend bool operator==(const demand_totals&, const demand_totals&) = default;
};

// Collectors tell each other the demand of their failure domains.
struct domain_demand {
    std::string failure_domain;
    std::uint32_t heard = 0;  // As in demand_totals, of this failure domain.
    std::uint32_t missing = 0;
    std::vector<workspace_demand> demands;

    friend bool operator==(const domain_demand&, const domain_demand&) = default;
};

using peer_message =
    std::variant<hello, proof, ping, pong, digest, document_request, document, call, call_result,
                 cancel, loan_request, loan_grant, token_request, token_grant, demand_report,
                 demand_totals, domain_demand>;

}  // namespace trefoil::messages

#endif  // TREFOIL_MESSAGES_MESSAGES_H_
