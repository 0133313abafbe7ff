// The messages that daemons exchange over a peer connection. A message is a plain value that the
// sender fills once and the receiver only reads. codec.h encodes the fields in the order of the
// struct, without their names; a field that an earlier version does not send comes last and has a
// default.
//
// Terms: the ingress of a call is the daemon that accepted the caller's request, its egress the
// daemon beside the upstream that serves it. A daemon's incarnation identifies one process of it.
// Fields named `_us` and `_ms` are in microseconds and milliseconds. A monotonic clock is that of
// the sender's machine and must not be compared with another machine's clock. A `round` identifies
// a request; the answer echoes it.
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

// First message on a connection, sent by both sides. Identifies the sender.
struct hello {
    std::string fleet_protocol;  // Protocol version; both sides must send the same text.
    std::string instance;
    std::uint64_t incarnation = 0;  // Different after each start of the instance.
    std::string failure_domain;
    std::string site;
    std::string service;  // Service of the upstream beside the sender.
    std::string address;  // "ip:port" at which the sender accepts peer connections.
    std::string nonce;    // Random for each connection; input to the receiver's proof.

    friend bool operator==(const hello&, const hello&) = default;
};

// Proves knowledge of the fleet secret: HMAC-SHA256 over both nonces, the sender's identity and its
// role on the connection.
struct proof {
    std::string hmac;

    friend bool operator==(const proof&, const proof&) = default;
};

// A heartbeat. It also answers the receiver's last ping, so that a connection needs only one frame
// per interval and direction. A ping with `echo_us` 0 is a probe or the first heartbeat; the
// receiver answers it immediately with a pong.
struct ping {
    std::int64_t sent_us = 0;  // Sender's monotonic clock.
    // The `sent_us` of the last ping that the sender read; 0 before the first one and in a probe.
    std::int64_t echo_us = 0;
    std::int64_t clock_us = 0;  // Sender's monotonic clock when it read that ping.
    // Longest time until the sender's next heartbeat. 0 in a probe. In a heartbeat, 0 or absent
    // means that the sender pings every 500 ms and expects the same of its peer, as an earlier
    // version does.
    std::uint32_t interval_ms = 0;

    friend bool operator==(const ping&, const ping&) = default;
};

// The immediate answer to a ping with `echo_us` 0.
struct pong {
    std::int64_t echo_us = 0;   // The `sent_us` of the ping.
    std::int64_t clock_us = 0;  // Monotonic clock of the pong's sender when it read the ping.

    friend bool operator==(const pong&, const pong&) = default;
};

// The sender's state of one configuration document. Revision 0 means that it has none.
struct document_state {
    std::string name;
    std::uint64_t revision = 0;           // Newest revision that the sender stores, valid or not.
    std::uint64_t checksum = 0;           // Checksum of that revision's body.
    std::uint64_t revision_in_force = 0;  // Newest valid revision, which the sender applies.
    // Last revision of the platform at which the sender knows the body to have been read. Absent
    // from an earlier version, and if it is not above `revision`.
    std::uint64_t read_revision = 0;

    friend bool operator==(const document_state&, const document_state&) = default;
};

// Value of digest::platform_age_ms if the sender has no confirmation by the platform.
constexpr std::int64_t age_unknown_ms = -1;

// A gossip message: the sender's documents and how recently it heard of the other instances. Sent
// as a request and as the reply to one.
struct digest {
    bool wants_reply = false;  // Set in a request.
    std::uint64_t round = 0;   // Echoed in the reply, so that ages count from the request.
    bool leaving = false;      // The sender is shutting down.
    std::vector<document_state> documents;
    // Age of the platform's latest confirmation that the sender's documents are the newest.
    std::int64_t platform_age_ms = age_unknown_ms;
    // Revision of the instance list whose entries `ages` and `contact_ages` refer to.
    std::uint64_t list_revision = 0;
    // For each list entry, in units of 100 ms, 255 if unknown: the time since the entry's instance
    // was last known to have no newer documents than the sender.
    std::vector<std::uint8_t> ages;
    // In the same form: the time since the instance was last known to be alive. Absent from an
    // earlier version.
    std::vector<std::uint8_t> contact_ages;

    friend bool operator==(const digest&, const digest&) = default;
};

// Asks for one revision of a document.
struct document_request {
    std::string name;
    std::uint64_t revision = 0;  // Exactly this revision, not a newer one.
    bool accepts_compressed = false;
    // Asks for the bytes from `offset` of the body as it is sent, at most `max_bytes` of them. With
    // `max_bytes` 0 the whole body is sent, as an earlier version expects.
    std::uint64_t offset = 0;
    std::uint64_t max_bytes = 0;

    friend bool operator==(const document_request&, const document_request&) = default;
};

// One revision of a document, or a part of it. Answers a document_request.
struct document {
    std::string name;
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;  // Of the whole uncompressed body.
    std::string body;
    bool compressed = false;  // The whole body is a frame of base/compression.h.
    // Of a part: its position in the whole body as it is sent, and the size of that. `total_bytes`
    // is 0 if the message contains the whole body.
    std::uint64_t offset = 0;
    std::uint64_t total_bytes = 0;

    friend bool operator==(const document&, const document&) = default;
};

// An HTTP header field.
struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header&, const header&) = default;
};

// A request from an ingress to the egress beside the chosen upstream.
struct call {
    std::uint64_t sequence = 0;  // Unique within the ingress's incarnation.
    std::int64_t sent_us = 0;    // Ingress's monotonic clock when the call was sent.
    std::int64_t budget_us = 0;  // Time from `sent_us` to the deadline of the call.
    std::string request_id;      // As sent by the caller; empty if it sent none.
    std::string caller_service;  // Service of the upstream beside the ingress.
    std::string service;
    std::string route;
    std::string workspace;  // Empty on open routes.
    bool idempotent = false;
    std::uint32_t priority = 0;  // Rank under overload; 0 is served first.
    // Time from `sent_us` until the latency objective is missed, at least 1; 0 if the call has no
    // latency objective.
    std::int64_t objective_us = 0;
    bool may_be_late = true;  // False: the egress refuses the call if it would miss the objective.
    std::uint32_t depth = 0;  // 0 for a call from outside the fleet, 1 for a call nested in it.
    std::uint64_t base_revision = 0;  // Configuration revision under which the ingress admitted it.
    std::string method;
    std::string target;  // Path and query.
    std::vector<header> headers;
    std::string body;
    // Probability that the upstream serves this request a second time. 1 if an earlier attempt may
    // have reached an upstream; otherwise the probability that the caller is itself serving a
    // retried attempt. Absent from an earlier version.
    double retry_probability = 0;
    // A nested call that precedes new requests while the upstream has no limit on its start rate.
    // Absent from an earlier version.
    bool precedes = false;

    friend bool operator==(const call&, const call&) = default;
};

// How a call ended. Encoded as a number, so the order must not change.
enum class call_outcome : std::uint8_t {
    answered,  // The message contains the upstream's complete response.
    not_run,   // The upstream did not start to process the request; `reason` says why.
    unknown,   // The upstream may have processed the request; `reason` says what happened.
};

// Load of an egress and its upstream at the time of a call's result.
struct load_report {
    std::uint32_t running = 0;  // Calls at the upstream.
    std::uint32_t queued = 0;   // Calls that wait for a free slot of the gate.
    std::uint32_t limit = 1;    // Concurrent calls that the gate allows now.
    // Current service time at the upstream: of requests on the call's route, and the mean of all
    // requests. 0 before the first response.
    std::uint32_t service_us = 0;
    std::uint32_t mean_service_us = 0;
    // Fraction of the latest requests that the upstream rejected, or whose connection was lost.
    // Absent from an earlier version.
    double failing_share = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// The egress's answer to a call.
struct call_result {
    std::uint64_t sequence = 0;  // Of the call.
    call_outcome outcome = call_outcome::unknown;
    std::string reason;                // As in the Trefoil-Reason header; empty when answered.
    bool reached_upstream = true;      // False: the egress itself refused the call.
    std::uint32_t retry_after_ms = 0;  // Time until a refused call could start; 0 if not known.
    std::uint32_t held_us = 0;         // Time from the call's arrival at the egress to this result.
    std::uint32_t status = 0;          // HTTP status; 0 unless answered.
    std::vector<header> headers;
    std::string body;
    load_report load;

    friend bool operator==(const call_result&, const call_result&) = default;
};

// Tells the egress that the ingress no longer needs the result of a call.
struct cancel {
    std::uint64_t sequence = 0;  // Of the call.

    friend bool operator==(const cancel&, const cancel&) = default;
};

// Rate limits, by loaned shares (admission/limit_options.h): each daemon owns an equal share of a
// workspace's rate and burst. The home of a workspace is the daemon that borrows the others' shares
// and grants tokens from them. A batch is a number of tokens that the home grants at once.
//
// Sent by a daemon that considers itself the home of `workspaces`. Asks the receiver to lend or
// renew its shares of them, and returns loans that the sender no longer needs.
struct loan_request {
    struct release {
        std::string workspace;
        std::uint64_t loan = 0;  // The loan's `id`, so that a duplicate cannot end a later loan.
        double tokens = 0;       // Unspent tokens, which return to the lender with the share.

        friend bool operator==(const release&, const release&) = default;
    };

    std::uint64_t round = 0;
    // Of the sender. A restarted home does not inherit the loans of its previous process.
    std::uint64_t incarnation = 0;
    std::vector<std::string> workspaces;
    std::vector<release> releases;

    friend bool operator==(const loan_request&, const loan_request&) = default;
};

struct loan {
    std::string workspace;
    std::uint64_t id = 0;  // Unchanged by renewals.
    double weight = 0;     // Number of shares lent.
    double tokens = 0;     // Unspent tokens that the lender transfers with the shares.

    friend bool operator==(const loan&, const loan&) = default;
};

// A lender's answer to a loan_request.
struct loan_grant {
    std::uint64_t round = 0;
    std::int64_t duration_ms = 0;  // Of the loans, from the sending of the request.
    std::vector<loan> loans;

    friend bool operator==(const loan_grant&, const loan_grant&) = default;
};

// Asks the home of a workspace, or the lender of a failure domain (admission/lender_client.h), for
// tokens, and reports to a home what became of earlier batches.
struct token_request {
    std::uint64_t round = 0;
    std::string workspace;
    double wanted_now = 0;  // For calls that wait for a token.
    // To a home: tokens for calls that are expected, granted only if no other daemon needs them. To
    // the previous lender of the failure domain: the number of its tokens that fit into the bucket
    // of the sender, the new lender.
    double wanted_prefetch = 0;
    // State of an earlier batch. Both amounts are totals since the grant, so that duplicate and
    // reordered reports change nothing.
    struct settlement {
        std::uint64_t batch = 0;
        double spent = 0;
        double returned = 0;

        friend bool operator==(const settlement&, const settlement&) = default;
    };
    std::vector<settlement> settlements;

    friend bool operator==(const token_request&, const token_request&) = default;
};

// The answer to a token_request, or a recall without a request.
struct token_grant {
    std::uint64_t round = 0;
    std::string workspace;
    std::uint64_t batch = 0;  // Identifies the batch in settlements; 0 if nothing was granted.
    double tokens = 0;
    // From a home: the time until the tokens of the batch expire. From the lender of a failure
    // domain: the time after which to request a refused token again.
    std::int64_t lifetime_ms = 0;
    bool is_home = true;  // False if the sender of the grant has no loans for the workspace.
    bool recall = false;  // The receiver must settle its batches and return unspent tokens now.

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

// Rate limits, by demand (admission/demand_limiter.h): daemons report the demand of their callers
// to the collector of their failure domain, which answers with the totals of the fleet.
//
// Demand of one workspace at one daemon, or the sum over several, in requests per second.
struct workspace_demand {
    std::string workspace;
    double rate = 0;            // Requests that callers send, admitted or not; smoothed.
    double admitted = 0;        // Requests admitted since the previous report.
    std::uint32_t holders = 1;  // Number of daemons whose reports are in the sums.

    friend bool operator==(const workspace_demand&, const workspace_demand&) = default;
};

// A daemon's report to the collector of its failure domain.
struct demand_report {
    std::uint64_t round = 0;
    std::vector<workspace_demand> demands;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

// A collector's answer to a report: the demand of the whole fleet, including that report.
struct demand_totals {
    std::uint64_t round = 0;
    std::uint32_t heard = 0;    // Daemons whose reports are in the totals.
    std::uint32_t missing = 0;  // Known daemons without a recent report.
    std::vector<workspace_demand> demands;

    friend bool operator==(const demand_totals&, const demand_totals&) = default;
};

// The demand of one failure domain, which its collector sends to the other collectors.
struct domain_demand {
    std::string failure_domain;
    std::uint32_t heard = 0;    // As in demand_totals, for daemons of this failure domain.
    std::uint32_t missing = 0;  // As in demand_totals, for daemons of this failure domain.
    std::vector<workspace_demand> demands;

    friend bool operator==(const domain_demand&, const domain_demand&) = default;
};

// Any message between daemons. The index of the alternative is the type number on the wire, so the
// order must not change and new types come last.
using peer_message =
    std::variant<hello, proof, ping, pong, digest, document_request, document, call, call_result,
                 cancel, loan_request, loan_grant, token_request, token_grant, demand_report,
                 demand_totals, domain_demand>;

}  // namespace trefoil::messages

#endif  // TREFOIL_MESSAGES_MESSAGES_H_
