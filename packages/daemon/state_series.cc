// Implements the metric series of the daemon's parts.

#include "daemon/state_series.h"

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace trefoil::daemon {

namespace detail {

// Collects series and adds the common name prefix.
class series_list {
public:
    template <class Value>
    void add(std::string_view name, Value value, std::string_view help,
             telemetry::label_list labels = {}) {
        this->all.push_back({.name = fmt::format("trefoil_{}", name),
                             .labels = std::move(labels),
                             .help = std::string(help),
                             .value = value});
    }
    std::vector<telemetry::series> take() { return std::move(this->all); }

private:
    std::vector<telemetry::series> all;
};

}  // namespace detail

namespace {

using allowance_count = std::pair<std::string_view, std::uint64_t>;

std::int64_t milliseconds(mono_duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

template <class Value>
std::int64_t gauge(Value value) {
    return static_cast<std::int64_t>(value);
}

}  // namespace

std::vector<telemetry::series> state_series::read() const {
    detail::series_list all;
    this->add_control_series(all);
    this->add_traffic_series(all);
    this->add_retry_series(all);
    this->add_overflow_series(all);
    this->add_gate_series(all);
    this->add_limit_series(all);
    log_totals lines = read_log_totals();
    all.add("log_lines_written_total", lines.written, "Log lines within the budget.");
    all.add("log_lines_over_budget_total", lines.over_budget, "Log lines that were not written.");
    all.add("log_lines_overrun_total", lines.overrun, "Log lines lost because nobody read them.");
    return all.take();
}

void state_series::add_control_series(detail::series_list& all) const {
    mono_time now = this->clock.now();
    if (auto control = this->shared.control.read()) {
        all.add("ready", gauge(control->ready), "1 when the start is complete.");
        all.add("confirmed", gauge(control->confirmed(this->clock.now())),
                "1 when the configuration is confirmed.");
        if (control->confirmed_at.has_value()) {
            all.add("confirmation_age_ms", gauge(milliseconds(now - *control->confirmed_at)),
                    "Time since the configuration in force was known to be the newest.");
        }
        all.add("reader", gauge(control->reader), "1 when this daemon watches the platform.");
        all.add("configuration_rejected", gauge(control->rejected.has_value()),
                "1 when the newest documents are not in force.");
        all.add("list_revision", gauge(control->list_revision), "Instance list in force.");
        all.add("documents_read_total", control->platform_reads,
                "Reads of documents of the platform.");
        all.add("platform_stale_answers_total", control->stale_answers,
                "Answers of the platform with an older revision.");
        all.add("document_conflicts_total", control->checksum_conflicts,
                "Revisions seen with two different bodies.");
        all.add("documents_received_total", control->documents_received, "Documents from peers.");
        all.add("documents_sent_total", control->documents_sent, "Documents sent to peers.");
    }
    source::call_counts calls = this->sources.platform.calls();
    all.add("platform_reads_total", calls.started, "Calls to the platform.");
    all.add("platform_failures_total", calls.failed, "Calls to the platform that failed.");
    all.add("configuration_unreadable", gauge(this->sources.platform.unreadable().has_value()),
            "1 when the newest configuration of the platform cannot be translated.");
    if (auto snapshot = this->shared.snapshot.read()) {
        all.add("base_revision", gauge(snapshot->base_revision()), "Base document in force.");
        all.add("overlay_revision", gauge(snapshot->overlay_revision()), "Overlay in force.");
    }
}

void state_series::add_traffic_series(detail::series_list& all) const {
    transport::traffic_totals traffic = this->sources.connections.totals();
    all.add("peer_connections", gauge(this->sources.connections.open_count()),
            "Open peer connections.");
    all.add("peer_frames_sent_total", traffic.frames_sent, "Frames sent to peers.");
    all.add("peer_bytes_sent_total", traffic.bytes_sent, "Bytes of all frames sent to peers.");
    all.add("peer_bytes_received_total", traffic.bytes_received, "Bytes of all frames from peers.");
    all.add("control_bytes_sent_total", traffic.control_bytes_sent, "Bytes sent, without calls.");
    all.add("control_bytes_received_total", traffic.control_bytes_received,
            "Bytes received, without calls.");
    all.add("peer_connections_rejected_total", traffic.rejected_connections,
            "Connections closed for a wrong proof or a bad frame.");
    all.add("ingress_returned_total", this->sources.local_ingress.returned_requests(),
            "Requests whose caller had waited before, by the time limit that it states.");
    all.add("calls_in_progress", gauge(this->sources.local_ingress.calls_in_progress()),
            "Requests of callers without a response.");
    edge::pipelining_totals pipelining = this->sources.callers.pipelining();
    all.add("pipelined_requests_ahead_total", pipelining.ran_ahead,
            "Requests passed on before an earlier one of their connection was answered.");
    all.add("pipelined_requests_dropped_total", pipelining.dropped,
            "Requests without a response because an earlier one closed their connection.");
    edge::memory_usage memory = this->sources.memory.usage();
    all.add("caller_bytes", gauge(memory.held_bytes),
            "Memory for callers' requests and responses and for calls of peers.");
    all.add("caller_bytes_limit", gauge(memory.limit_bytes), "Bound of trefoil_caller_bytes.");
    all.add("caller_requests_dropped_total", memory.dropped_requests,
            "Incomplete requests that were refused for lack of memory.");
    all.add("caller_responses_dropped_total", memory.dropped_responses,
            "Unread responses that were dropped for lack of memory.");
    all.add("caller_connections_closed_total", memory.closed_connections,
            "Connections that were closed at the limit, without idle ones.");
    all.add("peer_bodies_refused_total", memory.refused_bodies,
            "Bodies of calls of peers that were refused for lack of memory.");
}

void state_series::add_retry_series(detail::series_list& all) const {
    for (const auto& [service, state] :
         this->sources.local_ingress.retry_budgets().states(this->clock.now())) {
        telemetry::label_list labels = {{"service", service}};
        all.add("retry_budget_left", gauge(state.window.left),
                "Retries that this daemon may make now.", labels);
        all.add("retry_window_calls", gauge(state.window.calls),
                "Calls of the last ten seconds that allow retries.", labels);
        all.add("retry_window_retries", gauge(state.window.retries),
                "Retries of the last ten seconds.", labels);
        for (const auto& [allowance, value] :
             std::initializer_list<allowance_count>{{"share", state.totals.share},
                                                    {"slack", state.totals.slack},
                                                    {"minimum", state.totals.minimum},
                                                    {"none", state.totals.refused}}) {
            all.add("retry_decisions_total", value,
                    "Decisions to retry or not by the allowance that was used.",
                    {{"service", service}, {"allowance", std::string(allowance)}});
        }
        all.add("retry_nested_total", gauge(state.totals.nested),
                "Nested calls here that repeated runs make, by their likelihood.", labels);
    }
    egress_totals egress = this->sources.local_egress.totals();
    all.add("egress_repeats_started_total", egress.retries_started,
            "Calls started at the upstream that were sent to an upstream before.");
    all.add("egress_sends_total", egress.requests_sent,
            "Requests sent to the upstream, also once more.");
    all.add("egress_repeats_refused_total", egress.retries_refused,
            "Repeats refused because the services that they call allow no more retries.");
}

void state_series::add_overflow_series(detail::series_list& all) const {
    for (const routing::overflow_state& each :
         this->sources.local_ingress.upstreams().overflow_states()) {
        telemetry::label_list labels = {{"service", each.service}};
        all.add("domain_overflow_share_permille", gauge(each.share * 1000),
                "Share of the calls that is sent to other failure domains.", labels);
        all.add("domain_overflow_attempts_total", each.calls, "Attempts sent to upstreams.",
                labels);
        all.add("domain_overflow_sent_out_total", each.sent_out,
                "Attempts sent to upstreams of other failure domains.", labels);
        all.add("domain_overflow_reason", gauge(1), "Reason of the latest change of the share.",
                {{"service", each.service},
                 {"reason", std::string(routing::overflow_reason_name(each.reason))}});
    }
}

void state_series::add_gate_series(detail::series_list& all) const {
    messages::load_report load = this->sources.local_egress.load();
    all.add("gate_limit", gauge(load.limit), "Concurrent calls that the gate allows.");
    all.add("gate_running", gauge(load.running), "Calls that run at the upstream.");
    all.add("gate_queued", gauge(load.queued), "Calls that wait in the gate.");
    egress_totals egress = this->sources.local_egress.totals();
    all.add("egress_started_total", egress.started, "Calls started at the upstream.");
    all.add("egress_answered_total", egress.answered, "Calls with a whole response.");
    all.add("egress_refused_total", egress.refused, "Calls that the gate refused.");
    all.add("egress_unknown_total", egress.unknown, "Calls with an unknown outcome.");
    all.add("egress_nested_total", egress.nested_offered,
            "Calls that precede others, since only upstreams call their route.");
    all.add("egress_promoted_total", egress.promoted,
            "Calls that ranked as most urgent, because their route was below its floor.");
    for (const auto& [route, origin] : this->sources.local_egress.call_origins().known()) {
        all.add("gate_route_nested", origin == routing::call_origin::upstreams ? 1 : 0,
                "Whether only upstreams call the route: 1 yes, 0 callers do; absent if unknown.",
                {{"route", route}});
    }
    all.add("egress_upstream_busy_us_total", egress.upstream_busy_us,
            "Time spent at the upstream.");
}

void state_series::add_limit_series(detail::series_list& all) const {
    auto snapshot = this->shared.snapshot.read();
    if (snapshot == nullptr) {
        return;
    }
    for (const auto& [name, each] : snapshot->contents().workspaces) {
        if (auto state = this->sources.limits.inspect_demand(name)) {
            all.add("limit_demand", gauge(state->demand), "Requests a second at this daemon.",
                    {{"workspace", name}});
            all.add("limit_fleet_demand", gauge(state->total), "Requests a second of the fleet.",
                    {{"workspace", name}});
            all.add("limit_share", gauge(state->share), "Requests a second allowed here.",
                    {{"workspace", name}});
        }
    }
}

}  // namespace trefoil::daemon
