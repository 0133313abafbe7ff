// Implements the egress role on top of the gate and the upstream client.

#include "daemon/egress.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "daemon/request_log.h"
#include "gate/slot_limit.h"

namespace trefoil::daemon {

namespace {

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_rate_limited = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_gateway_timeout = 504;
constexpr unsigned status_server_error = 500;
constexpr unsigned status_misdirected = 421;
// The only key in the failure statistics, because a daemon has one upstream.
const std::string upstream_key = "upstream";
// One in so many results tells the ingress the origin of the route's calls.
constexpr std::uint64_t results_per_origin = 4;

gate::call_result_kind kind_of_status(unsigned status) {
    if (status == status_unavailable || status == status_rate_limited) {
        return gate::call_result_kind::shed;
    }
    if (status == status_bad_gateway || status == status_gateway_timeout) {
        return gate::call_result_kind::failed;
    }
    return status >= status_server_error ? gate::call_result_kind::application_error
                                         : gate::call_result_kind::good;
}

gate::call_result_kind kind_of(const edge::upstream_result& result) {
    if (const auto* response = std::get_if<edge::http_response>(&result)) {
        return kind_of_status(response->status);
    }
    if (std::holds_alternative<edge::connection_refused>(result)) {
        return gate::call_result_kind::connection_refused;
    }
    if (std::holds_alternative<edge::not_started>(result)) {
        return gate::call_result_kind::cancelled;
    }
    const auto* stopped = std::get_if<edge::interrupted>(&result);
    return stopped != nullptr && stopped->cancelled ? gate::call_result_kind::cancelled
                                                    : gate::call_result_kind::failed;
}

std::uint32_t milliseconds_of(mono_duration time) {
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

// The refusal reason for a response that states that the upstream did not run the request.
std::string reason_of_not_run_response(unsigned status) {
    return status == status_misdirected ? "no_upstream" : "overloaded";
}

// Whether the response does not belong to this request or does not come from the upstream: it
// echoes another request id, or a successful response lacks the signature header.
bool is_mismatched(const edge::header_profile& names, const edge::http_response& response,
                   const std::string& request_id) {
    auto echoed = edge::find_header(response.headers, names.request_id);
    if (!request_id.empty() && echoed.has_value() && *echoed != request_id) {
        return true;
    }
    bool success = response.status >= 200 && response.status < 300;
    return success && !names.signature.empty() &&
           !edge::find_header(response.headers, names.signature).has_value();
}

// Treats a mismatched response as a lost one.
edge::upstream_result check_response(const edge::header_profile& names,
                                     edge::upstream_result result, const std::string& request_id) {
    auto* response = std::get_if<edge::http_response>(&result);
    if (response == nullptr) {
        return result;
    }
    if (is_mismatched(names, *response, request_id)) {
        return edge::response_lost{.detail = "the response belongs to another request"};
    }
    return result;
}

bool is_not_run_response(const edge::header_profile& names, const edge::http_response& response) {
    return response.status == status_misdirected ||
           edge::find_header(response.headers, names.not_run).has_value();
}

// Whether callers conclude from this status that the request has not run. An upstream that does not
// state it may have run the request.
bool promises_not_run(const edge::header_profile& names, unsigned status) {
    constexpr unsigned status_request_timeout = 408;
    return names.status_implies_outcome &&
           (status == status_request_timeout || status == status_misdirected ||
            status == status_rate_limited || status == status_unavailable);
}

messages::call_result result_of(const edge::header_profile& names, edge::upstream_result result) {
    messages::call_result answer;
    if (auto* response = std::get_if<edge::http_response>(&result)) {
        if (is_not_run_response(names, *response)) {
            answer.outcome = messages::call_outcome::not_run;
            answer.reason = reason_of_not_run_response(response->status);
            return answer;
        }
        if (promises_not_run(names, response->status)) {
            answer.outcome = messages::call_outcome::unknown;
            answer.reason = "upstream_failed";
            return answer;
        }
        answer.outcome = messages::call_outcome::answered;
        answer.status = response->status;
        answer.headers = edge::forwardable_headers(response->headers);
        answer.body = std::move(response->body);
    } else if (std::holds_alternative<edge::connection_refused>(result)) {
        answer.outcome = messages::call_outcome::not_run;
        answer.reason = "no_upstream";
        answer.reached_upstream = false;
    } else if (std::holds_alternative<edge::not_started>(result)) {
        answer.outcome = messages::call_outcome::not_run;
        answer.reason = "deadline_exceeded";
        answer.reached_upstream = false;
    } else if (std::holds_alternative<edge::interrupted>(result)) {
        answer.outcome = messages::call_outcome::unknown;
        answer.reason = "deadline_exceeded";
    } else {
        answer.outcome = messages::call_outcome::unknown;
        answer.reason = "upstream_failed";
    }
    return answer;
}

}  // namespace

egress::egress(egress_options given, const shared_state& daemon_state,
               admission::context_table& handles, nested_retry_tracker& tracker,
               request_observer& watcher, const time_source& time)
    : options(std::move(given)),
      shared(daemon_state),
      contexts(handles),
      nested_retries(tracker),
      observer(watcher),
      clock(time),
      gate({}),
      client({.address = this->options.upstream,
              .header_for_reuse = this->options.headers.request_id,
              .loop = this->options.loop},
             time) {}

void egress::offer(const gate::call_id& id, messages::call call, mono_time deadline,
                   std::uint64_t connection, result_callback reply, edge::shared_body body) {
    auto held = std::make_shared<pending_call>();
    held->call = std::move(call);
    held->body = std::move(body);
    if (held->body == nullptr && !held->call.body.empty()) {
        auto bytes = std::make_shared<edge::memory_reservation>(this->options.memory);
        bytes->resize_unchecked(held->call.body.size());
        held->body = edge::make_shared_body(std::exchange(held->call.body, {}), std::move(bytes));
    }
    held->deadline = deadline;
    held->connection = connection;
    held->arrived = this->clock.now();
    held->reply = std::move(reply);
    bool known = false;
    // The call is stored before it is offered to the gate, because another thread may start it at
    // once.
    this->calls.update(id, [&](std::shared_ptr<pending_call>& slot) {
        known = slot != nullptr;
        if (!known) {
            slot = held;
        }
    });
    if (known) {
        held->reply({.sequence = id.sequence,
                     .outcome = messages::call_outcome::unknown,
                     .reason = "duplicate"});
        return;
    }
    // The local upstream may belong to another service than the ingress assumes.
    if (!this->availability_known || held->call.service != this->shared.settings.read()->service) {
        this->refuse(id, {.reason = gate::refusal_reason::no_upstream,
                          .outcome = messages::call_outcome::not_run});
        return;
    }
    // Only calls that are certainly retries need a reservation. A nested call that a retried
    // request made with a probability below 1 is not refused for lack of retry budget.
    if (held->call.retry_probability >= 1) {
        held->reserved = this->nested_retries.reserve(held->call.route, held->arrived);
        if (held->reserved == nullptr) {
            ++this->retries_refused;
            this->refuse(id, {.reason = gate::refusal_reason::retry_budget,
                              .outcome = messages::call_outcome::not_run});
            return;
        }
    }
    this->learn_origin(*held);
    gate::offer_result offered = this->gate.offer(this->gate_offer_of(id, *held), held->arrived);
    if (std::holds_alternative<gate::start_now>(offered.decision)) {
        this->start(id);
    } else if (auto* why = std::get_if<gate::refusal>(&offered.decision)) {
        this->refuse(id, *why);
    }
    this->apply(offered.changes);
}

// Without workspaces, a call states neither a key nor whether an upstream makes it.
void egress::learn_origin(pending_call& held) {
    auto snapshot = this->shared.snapshot.read();
    if (snapshot == nullptr || !snapshot->contents().workspaces.empty()) {
        return;
    }
    auto found = this->origins.record(held.call.route, held.call.caller_service,
                                      snapshot->contents().services.size(), held.arrived);
    held.origin = found.origin;
    held.keeps_floor = true;
    if (held.origin == routing::call_origin::upstreams) {
        held.call.precedes = true;
        ++this->nested_offered;
    }
    if (found.changed) {
        log_call_origin(held.call.route, to_string(found.origin));
    }
}

// Returns the properties of a call by which the gate decides on it.
gate::offered_call egress::gate_offer_of(const gate::call_id& id, const pending_call& held) const {
    gate::offered_call offered{.id = id,
                               .workspace = held.call.workspace,
                               .deadline = held.deadline,
                               .route = held.call.route,
                               .priority = held.call.priority,
                               .may_be_late = held.call.may_be_late,
                               .precedes = held.call.precedes,
                               .keeps_floor = held.keeps_floor};
    if (held.call.objective_us > 0) {
        mono_time sent = held.deadline - std::chrono::microseconds(held.call.budget_us);
        offered.objective_at = sent + std::chrono::microseconds(held.call.objective_us);
    }
    return offered;
}

void egress::fill_in_report(messages::call_result& answer, const pending_call& call,
                            mono_time now) const {
    answer.load = this->gate.load_for_route(call.call.route, now);
    answer.load.failing_share = this->upstream_failures.share(upstream_key, now);
    answer.held_us = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived).count());
}

// Updates the rate of requests that the upstream fails to answer, by which ingresses prefer other
// instances. A response with an application error counts as answered.
void egress::record_result(const edge::upstream_result& result, mono_time now) {
    const auto* response = std::get_if<edge::http_response>(&result);
    bool lost = std::holds_alternative<edge::response_lost>(result) ||
                std::holds_alternative<edge::connection_refused>(result);
    if (lost || (response != nullptr && is_not_run_response(this->options.headers, *response))) {
        this->upstream_failures.on_refused(upstream_key, now);
    } else if (response != nullptr) {
        this->upstream_failures.on_accepted(upstream_key);
    }
}

void egress::apply(const gate::gate_changes& changes) {
    for (const gate::call_id& id : changes.start) {
        this->start(id);
    }
    for (const gate::refused_call& each : changes.refused) {
        this->refuse(each.id, each.why);
    }
}

edge::upstream_request egress::make_request(const pending_call& call, const std::string& handle,
                                            mono_time now) const {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
    edge::upstream_request request{.method = call.call.method,
                                   .target = call.call.target,
                                   .headers = edge::forwardable_headers(call.call.headers),
                                   .body = call.body,
                                   .deadline = call.deadline};
    const edge::header_profile& names = this->options.headers;
    auto add = [&request](const std::string& name, std::string value) {
        if (!name.empty() && !value.empty()) {
            request.headers.push_back({.name = name, .value = std::move(value)});
        }
    };
    auto upstream = this->upstream_id.read();
    add(names.request_id, call.call.request_id);
    add(names.context, handle);
    add(names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    add(names.workspace, call.call.workspace);
    add(names.caller_service, call.call.caller_service);
    add(names.expected_upstream, upstream == nullptr ? "" : *upstream);
    return request;
}

void egress::start(const gate::call_id& id) {
    auto found = this->calls.find(id);
    if (!found.has_value()) {
        return;
    }
    pending_call& call = **found;
    mono_time now = this->clock.now();
    call.started = now;
    call.handle = this->contexts.add({.workspace = call.call.workspace,
                                      .deadline = call.deadline,
                                      .depth = call.call.depth,
                                      .retry_probability = call.call.retry_probability});
    call.run = this->nested_retries.begin_run(call.call.route, call.call.retry_probability, now);
    ++this->started;
    this->retries_started += call.call.retry_probability >= 1 ? 1 : 0;
    call.request = this->client.start(
        this->make_request(call, call.handle, now),
        [this, id](edge::upstream_result result) { this->finish(id, std::move(result)); });
}

void egress::finish(const gate::call_id& id, edge::upstream_result result) {
    auto held = this->calls.take(id);
    if (!held.has_value()) {
        return;
    }
    pending_call& call = **held;
    this->contexts.remove(call.handle);
    mono_time now = this->clock.now();
    this->nested_retries.end_run(call.run, now);
    mono_duration latency = now - call.started;
    this->upstream_busy_us += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
    const edge::header_profile& names = this->options.headers;
    result = check_response(names, std::move(result), call.call.request_id);
    this->record_result(result, now);
    gate::gate_changes changes = this->gate.finish(id, kind_of(result), latency, now);
    const auto* lost = std::get_if<edge::response_lost>(&result);
    std::string_view cause = lost != nullptr ? edge::loss_name(lost->why) : std::string_view();
    messages::call_result answer = result_of(names, std::move(result));
    answer.sequence = id.sequence;
    if (answer.outcome == messages::call_outcome::not_run) {
        answer.retry_after_ms = milliseconds_of(this->gate.pause_left(now));
    }
    this->fill_in_report(answer, call, now);
    if (answer.outcome == messages::call_outcome::answered) {
        ++this->answered;
        if (id.sequence % results_per_origin == 0 && call.origin != routing::call_origin::unknown) {
            answer.headers.push_back({.name = std::string(routing::origin_header),
                                      .value = std::string(to_string(call.origin))});
        }
    } else if (answer.outcome == messages::call_outcome::not_run) {
        ++this->refused;
    } else {
        ++this->unknown;
    }
    this->record_call_end(id, call, answer, cause.empty() ? answer.reason : cause, now);
    call.reply(std::move(answer));
    this->apply(changes);
}

void egress::refuse(const gate::call_id& id, const gate::refusal& why) {
    auto held = this->calls.take(id);
    if (!held.has_value()) {
        return;
    }
    ++this->refused;
    messages::call_result answer{.sequence = id.sequence,
                                 .outcome = why.outcome,
                                 .reason = std::string(gate::reason_name(why.reason)),
                                 .reached_upstream = false,
                                 .retry_after_ms = milliseconds_of(why.retry_after)};
    mono_time now = this->clock.now();
    this->fill_in_report(answer, **held, now);
    this->record_call_end(id, **held, answer, answer.reason, now);
    (*held)->reply(std::move(answer));
}

void egress::record_call_end(const gate::call_id& id, const pending_call& call,
                             const messages::call_result& answer, std::string_view reason,
                             mono_time now) const {
    auto upstream = this->upstream_id.read();
    bool ran = call.started != mono_time();
    mono_duration waited = (ran ? call.started : now) - call.arrived;
    mono_duration took = ran ? now - call.started : mono_duration(0);
    this->observer.on_call_ended({.outcome = outcome_name(answer.outcome),
                                  .reason = reason,
                                  .started = ran,
                                  .waited = waited,
                                  .took = took});
    log_call({.id = call.call.request_id,
              .ingress = id.instance,
              .upstream = upstream == nullptr ? std::string_view() : std::string_view(*upstream),
              .outcome = outcome_name(answer.outcome),
              .reason = reason,
              .retry_probability = call.call.retry_probability,
              .status = answer.status,
              .load = answer.load,
              .waited = waited,
              .took = took});
}

void egress::cancel(const gate::call_id& id) {
    switch (this->gate.cancel(id)) {
        case gate::cancel_result::removed_from_queue:
            this->calls.take(id);
            break;
        case gate::cancel_result::abort_running:
            this->abort(id);
            break;
        case gate::cancel_result::not_here:
            break;
    }
}

void egress::connection_lost(std::uint64_t connection) {
    std::vector<gate::call_id> affected;
    this->calls.for_each([&](const gate::call_id& id, const std::shared_ptr<pending_call>& each) {
        if (each->connection == connection) {
            affected.push_back(id);
        }
    });
    for (const gate::call_id& id : affected) {
        gate::cancel_result result = this->gate.cancel(id);
        if (result == gate::cancel_result::removed_from_queue) {
            this->calls.take(id);
        } else if (result == gate::cancel_result::abort_running) {
            this->abort(id);
        }
    }
}

// Aborts a running idempotent call. Others continue until their deadline at the latest, because an
// abort could leave their effect incomplete.
void egress::abort(const gate::call_id& id) {
    auto found = this->calls.find(id);
    if (found.has_value() && (*found)->call.idempotent) {
        this->client.cancel((*found)->request);
    }
}

void egress::tick() {
    auto wakeup = this->gate.next_wakeup();
    mono_time now = this->clock.now();
    if (wakeup.has_value() && *wakeup <= now) {
        this->apply(this->gate.expire(now));
    }
}

void egress::set_availability(gate::upstream_availability availability) {
    this->apply(this->gate.set_availability(availability));
    this->availability_known = true;
}

// In this order, no step starts more calls than the description as a whole allows: the slots of a
// cold upstream come last.
void egress::describe_upstream(const config::service& service,
                               const membership::instance_record* record) {
    if (service.slots_from_list && !this->fixed_slots_set) {
        this->fixed_slots_set = true;
        this->set_fixed_slots(service.slots);
    }
    auto cold = service.cold_start.value_or(config::cold_start{});
    this->gate.set_restart_period({.duration = cold.duration, .rate = cold.rate});
    if (record != nullptr) {
        this->report_warmth(service, *record);
    }
    bool stated = service.slots_from_list && record != nullptr && record->slots > 0;
    this->apply(this->gate.configure(stated ? record->slots : service.slots, service.queue,
                                     this->clock.now()));
}

// An unchanged record says nothing new: its cold time counts from when it was first seen.
void egress::report_warmth(const config::service& service,
                           const membership::instance_record& record) {
    mono_time now = this->clock.now();
    bool changed = !this->reported.has_value() || this->reported->upstream != record.upstream ||
                   this->reported->cold_left_ms != record.cold_left_ms;
    if (changed) {
        this->reported = record;
        this->reported_warm_at = now + std::chrono::milliseconds(record.cold_left_ms);
    }
    gate::cold_period period;
    if (service.cold_start.has_value()) {
        period = {.until = this->reported_warm_at, .rate = service.cold_start->rate};
    }
    this->apply(this->gate.set_cold(period, now));
}

void egress::set_fixed_slots(std::uint32_t slots) {
    this->apply(
        this->gate.set_start_limit(std::make_unique<gate::slot_limit>(gate::slot_limit_options{
                                       .slots = slots, .warmth = gate::upstream_warmth::unknown}),
                                   this->clock.now()));
}

void egress::set_upstream_id(std::string id) {
    this->upstream_id.publish(std::make_shared<const std::string>(std::move(id)));
}

egress_totals egress::totals() const {
    return {.started = this->started,
            .answered = this->answered,
            .refused = this->refused,
            .unknown = this->unknown,
            .upstream_busy_us = this->upstream_busy_us,
            .retries_started = this->retries_started,
            .requests_sent = this->client.totals().requests_sent,
            .retries_refused = this->retries_refused,
            .promoted = this->gate.promoted(),
            .nested_offered = this->nested_offered};
}

}  // namespace trefoil::daemon
