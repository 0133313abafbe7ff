// The egress role: the only path to the upstream beside the daemon. It passes calls through the
// gate, runs them at the upstream and answers each exactly once.
//
// Example:
//
//     daemon::egress egress({.upstream = "127.0.0.1:6001"}, shared, contexts, repeats, observer,
//                           clock);
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
#include "daemon/repeated_runs.h"
#include "daemon/request_observer.h"
#include "daemon/shared_state.h"
#include "edge/header_profile.h"
#include "edge/upstream_client.h"
#include "gate/upstream_gate.h"
#include "messages/messages.h"
#include "routing/recent_refusals.h"

namespace trefoil::daemon {

struct egress_options {
    std::string upstream;  // "ip:port".
    edge::header_profile headers = {};
    io::event_loop* loop = nullptr;  // Null: the egress has a loop of its own.
};

using result_callback = std::function<void(messages::call_result)>;

// Counts since the start, for metrics.
struct egress_totals {
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t upstream_busy_us = 0;
    std::uint64_t repeats_started = 0;  // Part of `started`: sent to an upstream before.
    std::uint64_t sends = 0;            // More than `started` when the client sends once more.
    std::uint64_t repeats_refused = 0;  // For the budgets of the services that they would call.

    friend bool operator==(const egress_totals&, const egress_totals&) = default;
};

// Safe for concurrent use.
class egress {
public:
    egress(egress_options options, const shared_state& shared, admission::context_table& contexts,
           repeated_runs& repeats, request_observer& observer, const time_source& clock);

    // `deadline` is on the local clock. `connection` is the peer connection of the call, 0 for the
    // local ingress. `reply` is called once, from any thread, unless the call is cancelled before
    // it starts.
    void offer(const gate::call_id& id, messages::call call, mono_time deadline,
               std::uint64_t connection, result_callback reply);

    // The ingresses at the other end have given up every call of this connection: queued calls are
    // dropped and running idempotent ones aborted. Running calls that are not idempotent go on,
    // because stopping one halfway could leave its effect incomplete.
    void connection_lost(std::uint64_t connection);

    // The ingress no longer waits for the call.
    void cancel(const gate::call_id& id);

    // Starts or refuses queued calls whose time has come. To be called every few milliseconds.
    void tick();
    // When tick() has something to do next, if no other event comes first.
    std::optional<mono_time> next_tick() const { return this->gate.next_wakeup(); }

    // From now on new calls are refused as stopping.
    void drain() { this->gate.drain(); }

    bool idle() const { return this->gate.idle() && this->calls.size() == 0; }
    // Calls are refused as no_upstream before the first one: the upstream may be taken out, or
    // another one than the ingress expects.
    void set_availability(gate::upstream_availability availability);
    // Whether set_availability() was called.
    bool takes_calls() const { return this->availability_known; }
    // The identity that requests name as the expected upstream; empty when it is not known.
    void set_upstream(std::string id);
    void configure(std::uint32_t slots, std::size_t queue);
    // The platform states the slots and whether the upstream is cold, so the gate need not find
    // out.
    void trust_slots(std::uint32_t slots);
    void set_cold(const gate::cold_period& period);
    messages::load_report load() const { return this->gate.load(); }
    egress_totals totals() const;

private:
    // A call from its offer to its answer.
    struct held_call {
        messages::call call;
        mono_time deadline;
        mono_time arrived;
        std::uint64_t connection = 0;
        mono_time started;
        result_callback reply;
        edge::request_number request = 0;  // At the upstream client; 0 before the start.
        std::string handle;                // Context handle while the call runs.
        routing::nested_call_origin::run_number run = 0;  // 0 before the start.
        // Of a repeat.
        std::unique_ptr<repeated_runs::reservation> reserved = {};
    };

    gate::offered_call describe(const gate::call_id& id, const held_call& held) const;
    void note_result(const edge::upstream_result& result, mono_time now);
    void complete(messages::call_result& answer, const held_call& call, mono_time now) const;
    // `reason` may say more than the answer does.
    void note_end(const gate::call_id& id, const held_call& call,
                  const messages::call_result& answer, std::string_view reason,
                  mono_time now) const;
    void apply(const gate::gate_changes& changes);
    void start(const gate::call_id& id);
    void abort(const gate::call_id& id);
    void finish(const gate::call_id& id, edge::upstream_result result);
    void refuse(const gate::call_id& id, const gate::refusal& why);
    edge::upstream_request make_request(const held_call& call, const std::string& handle,
                                        mono_time now) const;

    const egress_options options;
    const shared_state& shared;
    admission::context_table& contexts;
    repeated_runs& repeats;
    request_observer& observer;
    const time_source& clock;
    gate::upstream_gate gate;
    sharded_map<gate::call_id, std::shared_ptr<held_call>> calls;
    published_value<std::string> upstream_id;
    std::atomic<bool> availability_known{false};  // Never reset.
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> upstream_busy_us{0};
    std::atomic<std::uint64_t> repeats_started{0};
    std::atomic<std::uint64_t> repeats_refused{0};
    routing::recent_refusals
        failures;                  // Requests without an answer of the upstream, under one key.
    edge::upstream_client client;  // Last, so that its threads end before the members they use.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_EGRESS_H_
