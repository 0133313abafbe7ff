// The ingress role: accepts HTTP requests of callers, identifies the workspace, charges its rate
// limit, selects upstreams, retries where that is safe, and answers each request exactly once.
//
// A call is a request on its way to an upstream; an attempt sends the call to one instance, whose
// egress answers with a call result.
//
// Example:
//
//     daemon::ingress ingress(options, shared, limits, contexts, local_egress, budgets,
//                             nested_retries, observer, clock);
//     edge::http_server server({.ip = "127.0.0.1", .port = 8001}, ingress);

#ifndef TREFOIL_DAEMON_INGRESS_H_
#define TREFOIL_DAEMON_INGRESS_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "admission/context_table.h"
#include "base/sharded_map.h"
#include "base/stall_detector.h"
#include "base/time.h"
#include "config/snapshot.h"
#include "daemon/egress.h"
#include "daemon/ingress_call.h"
#include "daemon/limit_service.h"
#include "daemon/nested_retry_tracker.h"
#include "daemon/peer_connections.h"
#include "daemon/refusal.h"
#include "daemon/request_acceptance.h"
#include "daemon/request_observer.h"
#include "daemon/service_retry_budgets.h"
#include "daemon/settings.h"
#include "daemon/shared_state.h"
#include "daemon/upstream_selector.h"
#include "edge/header_profile.h"
#include "edge/http_server.h"
#include "routing/caller_wait.h"
#include "routing/nested_call_precedence.h"
#include "routing/reported_origins.h"
#include "routing/retry_policy.h"
#include "routing/traffic_split.h"
#include "routing/upstream_picker.h"

namespace trefoil::daemon {

struct ingress_options {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    edge::header_profile headers = {};
    std::optional<routing::domain_overflow_options> overflow{};  // Absent: off.
};

// Safe for concurrent use.
class ingress final : public edge::request_handler {
public:
    ingress(ingress_options options, shared_state& shared, limit_service& limits,
            admission::context_table& contexts, egress& local_egress,
            service_retry_budgets& budgets, nested_retry_tracker& nested_retries,
            request_observer& observer, const time_source& clock);

    // Must be called once, before the first request.
    void set_connections(peer_connections& target) { this->connections = &target; }

    void handle(edge::http_request request, std::shared_ptr<edge::responder> responder) override;
    bool may_run_ahead(const edge::http_request& request) const override;
    edge::http_response refuse(unsigned status) override;
    edge::http_response refuse_during_shutdown() override;
    edge::http_response refuse_without_memory() override;

    void on_result(messages::call_result result);
    void on_connected(const std::string& instance);
    // The last connection to the instance was closed or has stopped delivering messages.
    void on_disconnected(const std::string& instance);
    // Nothing arrives on this connection. Calls in progress on it continue, but the instance is
    // avoided for new ones.
    void on_connection_silent(transport::connection_id connection, const std::string& instance);
    // Calls that may have been written to this connection get no reply any more. `not_run`: the
    // peer has stated that it does not run any call for which it sent no result.
    void on_connection_lost(transport::connection_id connection, const std::string& instance,
                            bool not_run);

    // Ends attempts whose deadline has passed. Must be called every few milliseconds.
    void tick();

    std::size_t calls_in_progress() const { return this->in_progress.load(); }
    // Number of requests whose caller had waited before, according to the time limit it states.
    std::uint64_t returned_requests() const { return this->returned.load(); }
    const upstream_selector& upstreams() const { return this->selector; }
    service_retry_budgets& retry_budgets() const { return this->budgets; }

private:
    using ingress_call = detail::ingress_call;
    using attempt = detail::attempt;
    using call_ptr = std::shared_ptr<ingress_call>;

    void rank_nested_call(const call_ptr& call);
    void estimate_wait(ingress_call& call);
    void count_for_retry_budget(const call_ptr& call, mono_time now) const;
    void dispatch(const call_ptr& call, std::string_view last_reason);
    void refuse_over_limit(const call_ptr& call, const admission_outcome& outcome);
    void send_attempt(const call_ptr& call, const routing::candidate& target);
    void record_attempt_end(const attempt& each, std::string_view outcome, std::string_view reason,
                            mono_duration held) const;
    void send_local(std::uint64_t sequence, const call_ptr& call);
    std::vector<std::uint64_t> attempts_on_connection(transport::connection_id connection);
    void send_remote(std::uint64_t sequence, const call_ptr& call,
                     const routing::candidate& target);
    void finish_attempt(std::uint64_t sequence, messages::call_result result);
    void preconnect_peers(mono_time now);
    bool peer_is_silent(const attempt& each, mono_time now) const;
    void expire_attempt(std::uint64_t sequence, attempt& timed_out);
    void cancel_at_egress(std::uint64_t sequence, attempt& cancelled);
    void abandon(const call_ptr& call);
    void finish(const call_ptr& call, unsigned status, std::string_view reason);
    void end_attempt(std::uint64_t sequence, routing::attempt_end end, std::string_view reason);
    void handle_failure(const call_ptr& call, routing::attempt_end end, std::string_view reason);
    routing::retry_decision decide_retry(const ingress_call& call, routing::call_attempts& history,
                                         routing::attempt_end end, std::string_view reason);
    void record_origin(const ingress_call& call, const messages::call_result& result);
    void deliver(const call_ptr& call, messages::call_result result);
    void respond(const call_ptr& call, edge::http_response response, std::string_view reason);
    void respond_refused(const call_ptr& call, call_refusal refusal);

    const ingress_options options;
    shared_state& shared;
    limit_service& limits;
    routing::traffic_split splits;
    routing::nested_call_precedence precedence;
    routing::reported_origins origins;
    routing::caller_wait waits;
    const request_acceptance acceptance;
    egress& local;
    service_retry_budgets& budgets;
    nested_retry_tracker& nested_retries;
    request_observer& observer;
    const time_source& clock;
    peer_connections* connections = nullptr;
    upstream_selector selector;
    routing::retry_policy policy;
    // The next three members are used by tick() only.
    stall_detector stalls;
    mono_time next_expiry;
    mono_time next_preconnect;
    std::atomic<std::uint64_t> next_sequence{1};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<std::uint64_t> returned{0};
    // The attempts in progress, by sequence number.
    sharded_map<std::uint64_t, std::shared_ptr<attempt>> attempts;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_INGRESS_H_
