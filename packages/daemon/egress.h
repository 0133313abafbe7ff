// The egress role: the only path to the daemon's local upstream. It queues calls in the gate, sends
// them to the upstream and answers each with exactly one call result.
//
// Example:
//
//     daemon::egress egress({.upstream = "127.0.0.1:6001"}, shared, contexts, nested_retries,
//                           observer, clock);
//     egress.offer(id, call, deadline, [](messages::call_result result) { ... });

#ifndef TREFOIL_DAEMON_EGRESS_H_
#define TREFOIL_DAEMON_EGRESS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admission/context_table.h"
#include "base/published_value.h"
#include "base/sharded_map.h"
#include "base/time.h"
#include "config/values.h"
#include "daemon/nested_retry_tracker.h"
#include "daemon/request_observer.h"
#include "daemon/shared_state.h"
#include "edge/header_profile.h"
#include "edge/upstream_client.h"
#include "gate/upstream_gate.h"
#include "membership/instance_record.h"
#include "messages/messages.h"
#include "routing/call_origins.h"
#include "routing/recent_refusals.h"

namespace trefoil::daemon {

struct egress_options {
    std::string upstream;  // "ip:port".
    edge::header_profile headers = {};
    io::event_loop* loop = nullptr;          // Null: the egress has a loop of its own.
    edge::memory_account* memory = nullptr;  // Counts the bodies of calls; may be null.
};

using result_callback = std::function<void(messages::call_result)>;

// Totals since the process start, for metrics.
struct egress_totals {
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t upstream_busy_us = 0;
    std::uint64_t retries_started = 0;  // Part of `started`: calls that are certainly retries.
    std::uint64_t requests_sent = 0;    // Exceeds `started` if the client sends one again.
    // Retries refused because the services that they would call have no retry budget left.
    std::uint64_t retries_refused = 0;
    // Calls that ranked as most urgent because their route was below its floor.
    std::uint64_t promoted = 0;
    // Calls that precede others because only upstreams call their route.
    std::uint64_t nested_offered = 0;

    friend bool operator==(const egress_totals&, const egress_totals&) = default;
};

// Safe for concurrent use.
class egress {
public:
    egress(egress_options options, const shared_state& shared, admission::context_table& contexts,
           nested_retry_tracker& nested_retries, request_observer& observer,
           const time_source& clock);

    // Starts, queues or refuses a call. `deadline` is on the local clock. `connection` is the peer
    // connection that delivered the call, 0 for the local ingress. `reply` is called once, from any
    // thread, unless the call is cancelled before it starts. `body` replaces the message's own
    // body.
    void offer(const gate::call_id& id, messages::call call, mono_time deadline,
               std::uint64_t connection, result_callback reply, edge::shared_body body = nullptr);

    // The peer's ingress has given up all calls of this connection: queued calls are dropped and
    // running idempotent ones aborted. Running calls that are not idempotent continue, because an
    // abort could leave their effect incomplete.
    void connection_lost(std::uint64_t connection);

    // The ingress no longer waits for the call. Same effect as connection_lost() for one call.
    void cancel(const gate::call_id& id);

    // Starts or refuses queued calls that are due. Must be called every few milliseconds.
    void tick();
    // The next time at which tick() has work; absent if only another event can create some.
    std::optional<mono_time> next_tick() const { return this->gate.next_wakeup(); }

    // Refuses all new calls with the reason "stopping".
    void drain() { this->gate.drain(); }

    bool idle() const { return this->gate.idle() && this->calls.size() == 0; }
    // Until the first call of this function, calls are refused as no_upstream: the upstream may be
    // taken out of use, or may be another one than the ingress expects.
    void set_availability(gate::upstream_availability availability);
    bool knows_availability() const { return this->availability_known; }
    // Sets the identity that requests name as the expected upstream; empty if unknown.
    void set_upstream_id(std::string id);
    // Applies what the configuration states about the upstream, and its record in the instance
    // list; null if the list does not contain it. While it never did, calls start at the rate of a
    // cold upstream if the platform states the slots. To be called by one thread, and before the
    // first set_availability().
    void describe_upstream(const config::service& service,
                           const membership::instance_record* record);
    // Replaces the gate's adaptive concurrency limit by the number of slots that the platform
    // states for the upstream, which may be cold until describe_upstream() reports it.
    void set_fixed_slots(std::uint32_t slots);
    messages::load_report load() const { return this->gate.load(); }
    egress_totals totals() const;
    const routing::call_origins& call_origins() const { return this->origins; }

private:
    // A call from offer() to its reply.
    struct pending_call {
        messages::call call;     // Its own body is empty.
        edge::shared_body body;  // Null without a body.
        mono_time deadline;
        mono_time arrived;
        std::uint64_t connection = 0;
        mono_time started;
        result_callback reply;
        routing::call_origin origin = routing::call_origin::unknown;
        bool keeps_floor = false;          // See gate::kind_floor.
        edge::request_number request = 0;  // At the upstream client; 0 before the start.
        std::string handle;                // Context handle for nested calls, while the call runs.
        routing::nested_call_attribution::run_id run = 0;  // 0 before the start.
        // Retry budget for the nested calls of a retry; null for first attempts.
        std::unique_ptr<nested_retry_tracker::reservation> reserved = {};
    };

    void learn_origin(pending_call& held);
    void report_warmth(const config::service& service, const membership::instance_record& record);
    gate::offered_call gate_offer_of(const gate::call_id& id, const pending_call& held) const;
    void record_result(const edge::upstream_result& result, mono_time now);
    void fill_in_report(messages::call_result& answer, const pending_call& call,
                        mono_time now) const;
    // `reason` may be more specific than that of `answer`.
    void record_call_end(const gate::call_id& id, const pending_call& call,
                         const messages::call_result& answer, std::string_view reason,
                         mono_time now) const;
    void apply(const gate::gate_changes& changes);
    void start(const gate::call_id& id);
    void abort(const gate::call_id& id);
    void finish(const gate::call_id& id, edge::upstream_result result);
    void refuse(const gate::call_id& id, const gate::refusal& why);
    edge::upstream_request make_request(const pending_call& call, const std::string& handle,
                                        mono_time now) const;

    const egress_options options;
    const shared_state& shared;
    admission::context_table& contexts;
    nested_retry_tracker& nested_retries;
    request_observer& observer;
    const time_source& clock;
    gate::upstream_gate gate;
    sharded_map<gate::call_id, std::shared_ptr<pending_call>> calls;
    published_value<std::string> upstream_id;
    std::atomic<bool> availability_known{false};  // Set by set_availability(), never reset.
    // Used by describe_upstream() only.
    bool fixed_slots_set = false;
    std::optional<membership::instance_record> reported;
    mono_time reported_warm_at = mono_time::min();
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> upstream_busy_us{0};
    std::atomic<std::uint64_t> retries_started{0};
    std::atomic<std::uint64_t> retries_refused{0};
    std::atomic<std::uint64_t> nested_offered{0};
    routing::call_origins origins;  // Used while the configuration has no workspaces.
    // Rate of requests that the upstream did not answer, under one key.
    routing::recent_refusals upstream_failures;
    // The last member, so that its threads end before the members that they use are destroyed.
    edge::upstream_client client;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_EGRESS_H_
