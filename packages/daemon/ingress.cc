// Implements the ingress role.

#include "daemon/ingress.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/random.h"
#include "daemon/request_log.h"

namespace trefoil::daemon {

namespace {

constexpr std::chrono::milliseconds silence_timeout{750};
// Maximum number of instances of the own failure domain to which connections are opened before
// calls need them. A connection costs some KB and a few heartbeats.
constexpr std::size_t max_preconnected_peers = 32;
constexpr std::chrono::milliseconds preconnect_interval{250};
// Interval for freeing expired entries of the selector, which ignores them in the meantime.
constexpr std::chrono::milliseconds expiry_interval{500};
constexpr unsigned status_too_large = 413;
constexpr unsigned status_request_timeout = 408;
// Used in metrics and logs only, because no response is sent.
constexpr unsigned status_caller_gone = 499;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_gateway_timeout = 504;

// Statuses of gateways and overloaded upstreams, for which another upstream may succeed.
bool is_retryable_status(unsigned status) {
    return status == status_unavailable || status == status_bad_gateway ||
           status == status_gateway_timeout;
}

// The wait to announce to a refused caller; absent if waiting does not help. `free_after` is the
// shortest wait that an overloaded instance announced.
std::optional<std::chrono::milliseconds> retry_after_for(
    std::string_view reason, const std::optional<std::chrono::milliseconds>& free_after) {
    constexpr std::chrono::milliseconds shortest{50};
    // For conditions that end with a change of the fleet or of its configuration.
    constexpr std::chrono::milliseconds after_change{250};
    if (reason == reasons::overloaded) {
        return std::max(shortest, free_after.value_or(after_change));
    }
    if (reason == reasons::not_ready || reason == reasons::stopping ||
        reason == reasons::no_upstream || reason == reasons::unconfirmed) {
        return after_change;
    }
    return std::nullopt;
}

std::string_view reason_of_give_up(const routing::give_up& decision, std::string_view last) {
    return decision.reason == routing::give_up_reason::deadline_exceeded
               ? reasons::deadline_exceeded
               : last;
}

// Copies the call's message, which does not contain the body. An attempt that counts as a retry is
// one with probability 1.
messages::call next_attempt_message(const detail::ingress_call& call) {
    messages::call message = call.message;
    message.retry_probability = call.history.retries > 0 ? 1 : message.retry_probability;
    return message;
}

// Maps a call result with the outcome "not run" to the end of its attempt.
routing::attempt_end end_of_not_run_result(const messages::call_result& result) {
    if (result.reached_upstream) {
        return routing::attempt_end::not_run_reply;
    }
    return result.reason == reasons::retry_budget ? routing::attempt_end::over_budget
                                                  : routing::attempt_end::refused;
}

// The outcome to log for an attempt that ended without a call result.
std::string_view outcome_of(routing::attempt_end end) {
    if (end == routing::attempt_end::refused) {
        return "not_run";
    }
    return end == routing::attempt_end::not_sent ? "not_sent" : "no_reply";
}

}  // namespace

ingress::ingress(ingress_options given, shared_state& daemon_state, limit_service& limiter,
                 admission::context_table& handles, egress& own_egress,
                 service_retry_budgets& retry_budgets, nested_retry_tracker& tracker,
                 request_observer& watcher, const time_source& time)
    : options(std::move(given)),
      shared(daemon_state),
      limits(limiter),
      splits(entropy_seed()),
      acceptance({.headers = this->options.headers}, daemon_state, handles, this->splits),
      local(own_egress),
      budgets(retry_budgets),
      nested_retries(tracker),
      observer(watcher),
      clock(time),
      selector(this->options.failure_domain, daemon_state, this->options.overflow),
      policy({}) {
    this->selector.set_connected(this->options.instance, true);
}

edge::http_response ingress::refuse(unsigned status) {
    std::string_view reason = reasons::bad_request;
    if (status == status_too_large) {
        reason = reasons::payload_too_large;
    } else if (status == status_headers_too_large) {
        reason = reasons::headers_too_large;
    } else if (status == status_request_timeout) {
        reason = reasons::request_timeout;
    } else if (status == status_unavailable) {
        // The daemon stops while the request is in progress, so the request may have reached an
        // upstream.
        return make_refusal(
            {.reason = reasons::stopping, .outcome = messages::call_outcome::unknown},
            this->options.headers);
    }
    return make_refusal({.reason = reason}, this->options.headers);
}

edge::http_response ingress::refuse_during_shutdown() {
    return make_refusal({.reason = reasons::stopping,
                         .retry_after = retry_after_for(reasons::stopping, std::nullopt)},
                        this->options.headers);
}

bool ingress::may_run_ahead(const edge::http_request& request) const {
    return this->acceptance.may_run_ahead(request);
}

edge::http_response ingress::refuse_without_memory() {
    return make_refusal({.reason = reasons::overloaded,
                         .retry_after = retry_after_for(reasons::overloaded, std::nullopt)},
                        this->options.headers);
}

void ingress::handle(edge::http_request request, std::shared_ptr<edge::responder> responder) {
    auto call = std::make_shared<ingress_call>();
    ++this->in_progress;
    call->responder = std::move(responder);
    mono_time now = this->clock.now();
    call->arrived = now - request.waited;
    call->responder->on_caller_gone([this, call] { this->abandon(call); });
    auto refusal = this->acceptance.accept(request, now, *call);
    if (refusal.has_value()) {
        this->respond_refused(call, *refusal);
        return;
    }
    call->message.caller_service = this->shared.settings.read()->service;
    call->message.headers =
        edge::forwardable_request_headers(this->options.headers, request.headers);
    if (!request.body.empty()) {
        call->body = edge::make_shared_body(std::move(request.body), std::move(request.held));
    }
    call->message.may_be_late = call->objective.count() == 0;
    if (!call->has_workspaces) {
        call->origin = this->origins.origin_of(call->message.route, now);
        this->estimate_wait(*call);
    }
    this->count_for_retry_budget(call, now);
    this->rank_nested_call(call);
    if (call->nested || call->message.workspace.empty()) {
        call->admitted = true;
        this->dispatch(call, reasons::no_upstream);
        return;
    }
    this->limits.admit(call->message.workspace, [this, call](const admission_outcome& outcome) {
        if (call->ended) {
            return;
        }
        call->admitted = outcome.admitted;
        if (outcome.admitted) {
            this->dispatch(call, reasons::no_upstream);
        } else {
            this->refuse_over_limit(call, outcome);
        }
    });
}

// A caller that returns after a refusal counts its objective from its first attempt. Nested calls
// expire with the request that makes them, so their limits tell nothing.
void ingress::estimate_wait(ingress_call& call) {
    if (call.origin != routing::call_origin::callers || !call.stated_limit.has_value()) {
        return;
    }
    call.waited_before = this->waits.record(call.message.route, *call.stated_limit);
    call.message.may_be_late = call.objective <= call.waited_before;
    this->returned += call.waited_before.count() > 0 ? 1 : 0;
}

// Lets a nested call precede new requests. A request without a workspace may be a nested call. In a
// configuration without workspaces that sign is missing, and the route's origin decides.
void ingress::rank_nested_call(const call_ptr& call) {
    if (call->origin.has_value()) {
        call->message.precedes = call->nested || *call->origin == routing::call_origin::upstreams;
        return;
    }
    bool may_be_nested = !call->nested && call->message.workspace.empty();
    call->holds_precedence = may_be_nested && this->precedence.begin(this->local.load().running);
    call->message.precedes = call->nested || call->holds_precedence;
}

// Counts the call for the retry budget of its service. A request without a workspace may be a
// nested call of the local upstream that carries no context handle, so the probability that a
// retried request makes it is estimated, unless its route is known to be called by callers.
void ingress::count_for_retry_budget(const call_ptr& call, mono_time now) const {
    const std::string& service = call->message.service;
    if (call->nested) {
        this->nested_retries.count_nested_call(service, call->message.retry_probability, now);
    } else if (call->message.workspace.empty() && call->origin != routing::call_origin::callers) {
        call->message.retry_probability =
            this->nested_retries.count_nested_call(service, std::nullopt, now);
    } else {
        this->budgets.budget_for(service, now)->count_call(now);
    }
}

void ingress::refuse_over_limit(const call_ptr& call, const admission_outcome& outcome) {
    const std::string& workspace = call->message.workspace;
    auto state = this->limits.inspect_demand(workspace).value_or(admission::demand_state{});
    log_limit({.id = call->message.request_id,
               .workspace = workspace,
               .demand = state.demand,
               .fleet_demand = state.total,
               .share = state.share,
               .retry_after = outcome.retry_after.value_or(std::chrono::milliseconds(0))});
    this->respond_refused(call,
                          {.reason = reasons::rate_limited, .retry_after = outcome.retry_after});
}

void ingress::dispatch(const call_ptr& call, std::string_view last_reason) {
    mono_time now = this->clock.now();
    if (now >= call->history.deadline) {
        this->respond_refused(call, {.reason = reasons::deadline_exceeded,
                                     .outcome = routing::retry_policy::outcome(call->history)});
        return;
    }
    auto found = this->selector.pick(*call, now);
    if (const auto* picked = std::get_if<routing::picked_upstream>(&found)) {
        this->send_attempt(call, picked->chosen);
        return;
    }
    this->respond_refused(
        call, {.reason = last_reason, .outcome = routing::retry_policy::outcome(call->history)});
}

void ingress::send_attempt(const call_ptr& call, const routing::candidate& target) {
    mono_time now = this->clock.now();
    std::uint64_t sequence = this->next_sequence.fetch_add(1, std::memory_order_relaxed);
    auto started = std::make_shared<attempt>();
    started->call = call;
    started->instance = target.instance;
    started->expires = call->history.deadline;
    started->sent_at = now;
    call->tried.push_back(target.instance);
    call->last_sequence = sequence;
    ++call->attempts_sent;
    this->selector.record_choice(*started, target, now);
    this->attempts.update(sequence, [&](std::shared_ptr<attempt>& slot) { slot = started; });
    this->selector.record_sent(target.instance, now);
    if (target.instance == this->options.instance) {
        this->send_local(sequence, call);
    } else {
        this->send_remote(sequence, call, target);
    }
}

void ingress::send_local(std::uint64_t sequence, const call_ptr& call) {
    messages::call message = next_attempt_message(*call);
    mono_time now = this->clock.now();
    message.sequence = sequence;
    message.sent_us = to_microseconds(now);
    message.budget_us =
        std::chrono::duration_cast<std::chrono::microseconds>(call->history.deadline - now).count();
    message.objective_us = objective_left_us(call->objective_at(), now);
    this->local.offer(
        {.instance = this->options.instance,
         .incarnation = this->options.incarnation,
         .sequence = sequence},
        std::move(message), call->history.deadline, 0,
        [this](messages::call_result result) { this->on_result(std::move(result)); }, call->body);
}

void ingress::send_remote(std::uint64_t sequence, const call_ptr& call,
                          const routing::candidate& target) {
    messages::call message = next_attempt_message(*call);
    message.sequence = sequence;
    this->connections->send_call(
        target.instance, target.address,
        {.call = std::move(message),
         .deadline = call->history.deadline,
         .objective = call->objective_at(),
         .about_to_send =
             [this, sequence](transport::connection_id connection) {
                 auto found = this->attempts.find(sequence);
                 return found.has_value() && (*found)->claim(connection);
             },
         .not_sent =
             [this, sequence, deadline = call->history.deadline] {
                 bool late = deadline <= this->clock.now();
                 this->end_attempt(sequence, routing::attempt_end::not_sent,
                                   late ? reasons::deadline_exceeded : reasons::no_upstream);
             },
         .body = call->body,
         .not_accepted =
             [this, sequence] {
                 this->end_attempt(sequence, routing::attempt_end::refused, reasons::overloaded);
             },
         .wanted = [this, sequence] { return this->attempts.find(sequence).has_value(); }});
}

void ingress::on_result(messages::call_result result) {
    std::uint64_t sequence = result.sequence;
    this->finish_attempt(sequence, std::move(result));
}

// A result for an attempt that has already ended is dropped: its call was retried or answered.
void ingress::finish_attempt(std::uint64_t sequence, messages::call_result result) {
    auto found = this->attempts.take(sequence);
    if (!found.has_value()) {
        return;
    }
    mono_time now = this->clock.now();
    const call_ptr& call = (*found)->call;
    this->selector.record_result(**found, result, now);
    this->record_attempt_end(**found, outcome_name(result.outcome), result.reason,
                             std::chrono::microseconds(result.held_us));
    switch (result.outcome) {
        case messages::call_outcome::answered:
            this->deliver(call, std::move(result));
            break;
        case messages::call_outcome::not_run:
            this->handle_failure(call, end_of_not_run_result(result), known_reason(result.reason));
            break;
        case messages::call_outcome::unknown:
            this->handle_failure(call, routing::attempt_end::unknown_reply,
                                 known_reason(result.reason));
            break;
    }
}

void ingress::record_attempt_end(const attempt& each, std::string_view outcome,
                                 std::string_view reason, mono_duration held) const {
    log_attempt({.id = each.call->message.request_id,
                 .instance = each.instance,
                 .candidates = each.candidates,
                 .expected = each.expected,
                 .report_age = each.report_age,
                 .late_place = each.call->message.may_be_late,
                 .outcome = outcome,
                 .reason = reason,
                 .duration = this->clock.now() - each.sent_at,
                 .held = held});
    this->observer.on_attempt_ended({.outcome = outcome, .reason = reason});
}

void ingress::end_attempt(std::uint64_t sequence, routing::attempt_end end,
                          std::string_view reason) {
    auto found = this->attempts.take(sequence);
    if (!found.has_value()) {
        return;
    }
    this->selector.record_end_without_result((*found)->instance);
    this->record_attempt_end(**found, outcome_of(end), reason, {});
    // A call whose deadline passed while it waited for a connection is no evidence against the
    // instance.
    if (end == routing::attempt_end::not_sent && reason != reasons::deadline_exceeded) {
        this->selector.record_connection_failure((*found)->instance, this->clock.now());
    }
    bool sent = end != routing::attempt_end::not_sent;
    this->handle_failure((*found)->call, sent ? end : routing::attempt_end::refused, reason);
}

void ingress::handle_failure(const call_ptr& call, routing::attempt_end end,
                             std::string_view reason) {
    if (end != routing::attempt_end::over_budget) {
        call->last_failure = reason;
    }
    auto decision = this->decide_retry(*call, call->history, end, reason);
    if (std::holds_alternative<routing::retry_elsewhere>(decision)) {
        this->dispatch(call, reason);
        return;
    }
    const auto& given_up = std::get<routing::give_up>(decision);
    // The caller gets the reason of the failure, not the lack of retry budget.
    if (end == routing::attempt_end::over_budget) {
        reason = call->last_failure;
    }
    this->respond_refused(
        call, {.reason = reason_of_give_up(given_up, reason), .outcome = given_up.outcome});
}

// Decides whether to retry. Logs retries that use the retry budget and those that it denies.
routing::retry_decision ingress::decide_retry(const ingress_call& call,
                                              routing::call_attempts& history,
                                              routing::attempt_end end, std::string_view reason) {
    mono_time now = this->clock.now();
    auto budget = this->budgets.budget_for(call.message.service, now);
    auto decision = this->policy.decide(history, end, *budget, now);
    const auto* retry = std::get_if<routing::retry_elsewhere>(&decision);
    const auto* given_up = std::get_if<routing::give_up>(&decision);
    bool allowed = retry != nullptr && retry->allowance != routing::retry_allowance::none;
    bool denied = given_up != nullptr && given_up->reason == routing::give_up_reason::budget_used;
    if (allowed || denied) {
        log_retry({.id = call.message.request_id,
                   .service = call.message.service,
                   .route = call.message.route,
                   .instance = call.tried.empty() ? std::string_view() : call.tried.back(),
                   .reason = reason,
                   .allowance = allowed ? retry->allowance : routing::retry_allowance::none,
                   .window = budget->window(now)});
    }
    return decision;
}

// An egress adds the header last, and it is no header of the response.
void ingress::record_origin(const ingress_call& call, const messages::call_result& result) {
    if (!call.origin.has_value() || result.headers.empty() ||
        result.headers.back().name != routing::origin_header) {
        return;
    }
    this->origins.add(call.message.route, routing::call_origin_named(result.headers.back().value),
                      this->clock.now());
}

void ingress::deliver(const call_ptr& call, messages::call_result result) {
    this->selector.record_response_size(call->message.route, result.body.size());
    this->record_origin(*call, result);
    edge::http_response response{.status = result.status,
                                 .headers = edge::forwardable_headers(result.headers),
                                 .body = std::move(result.body)};
    if (is_retryable_status(result.status) && call->history.idempotent) {
        routing::call_attempts history = call->history;
        auto decision = this->decide_retry(*call, history, routing::attempt_end::unknown_reply,
                                           reasons::upstream_failed);
        if (std::holds_alternative<routing::retry_elsewhere>(decision)) {
            call->history = history;
            call->earlier_response = std::move(response);
            this->dispatch(call, reasons::upstream_failed);
            return;
        }
    }
    this->respond(call, std::move(response), {});
}

void ingress::respond_refused(const call_ptr& call, call_refusal refusal) {
    bool needs_retry_after =
        refusal.outcome == messages::call_outcome::not_run && !refusal.retry_after.has_value();
    if (needs_retry_after) {
        refusal.retry_after = retry_after_for(refusal.reason, call->retry_after);
    }
    if (call->earlier_response.has_value()) {
        this->respond(call, std::move(*call->earlier_response), {});
        return;
    }
    this->respond(call, make_refusal(refusal, this->options.headers), refusal.reason);
}

void ingress::respond(const call_ptr& call, edge::http_response response, std::string_view reason) {
    if (call->ended) {
        return;
    }
    unsigned status = response.status;
    call->responder->respond(std::move(response));
    this->finish(call, status, reason);
}

void ingress::finish(const call_ptr& call, unsigned status, std::string_view reason) {
    call->ended = true;
    call->body.reset();
    if (call->holds_precedence) {
        this->precedence.end();
    }
    finished_request finished{.service = call->message.service,
                              .route = call->message.route,
                              .workspace = call->message.workspace,
                              .status = status,
                              .reason = reason,
                              .admitted = call->admitted,
                              .retries = call->history.retries,
                              .duration = this->clock.now() - call->arrived};
    this->observer.on_finished(finished);
    log_request({.id = call->message.request_id,
                 .route = call->message.route,
                 .workspace = call->message.workspace,
                 .service = call->message.service,
                 .status = status,
                 .reason = reason,
                 .may_have_run = call->history.may_have_run,
                 .base_revision = call->message.base_revision,
                 .attempts = call->attempts_sent,
                 .retries = call->history.retries,
                 .retry_probability = call->message.retry_probability,
                 .duration = finished.duration,
                 .objective = call->objective});
    --this->in_progress;
}

void ingress::on_connected(const std::string& instance) {
    this->selector.set_connected(instance, true);
}

void ingress::on_disconnected(const std::string& instance) {
    this->selector.set_connected(instance, false);
}

// Opens connections in advance, because a call that has to wait for one often misses its latency
// objective on slow machines.
void ingress::preconnect_peers(mono_time now) {
    if (now < this->next_preconnect || this->connections == nullptr) {
        return;
    }
    this->next_preconnect = now + preconnect_interval;
    for (const std::string& address : this->selector.unconnected_peers(max_preconnected_peers)) {
        this->connections->dial(address);
    }
}

std::vector<std::uint64_t> ingress::attempts_on_connection(transport::connection_id connection) {
    std::vector<std::uint64_t> found;
    this->attempts.for_each([&](std::uint64_t sequence, const std::shared_ptr<attempt>& each) {
        if (each->connection == connection) {
            found.push_back(sequence);
        }
    });
    return found;
}

void ingress::on_connection_silent(transport::connection_id connection,
                                   const std::string& instance) {
    if (!this->attempts_on_connection(connection).empty()) {
        this->selector.record_connection_failure(instance, this->clock.now());
    }
}

void ingress::on_connection_lost(transport::connection_id connection, const std::string& instance,
                                 bool not_run) {
    std::vector<std::uint64_t> lost = this->attempts_on_connection(connection);
    if (!lost.empty() && !not_run) {
        this->selector.record_connection_failure(instance, this->clock.now());
    }
    for (std::uint64_t sequence : lost) {
        if (not_run) {
            this->end_attempt(sequence, routing::attempt_end::refused, reasons::stopping);
        } else {
            this->end_attempt(sequence, routing::attempt_end::no_reply, reasons::connection_lost);
        }
    }
}

void ingress::tick() {
    mono_time now = this->clock.now();
    this->stalls.tick(now);
    if (now >= this->next_expiry) {
        this->next_expiry = now + expiry_interval;
        this->selector.expire(now);
        this->origins.expire(now);
    }
    this->preconnect_peers(now);
    std::vector<std::pair<std::uint64_t, std::shared_ptr<attempt>>> expired;
    this->attempts.for_each([&](std::uint64_t sequence, const std::shared_ptr<attempt>& each) {
        if (each->expires <= now || this->peer_is_silent(*each, now)) {
            expired.emplace_back(sequence, each);
        }
    });
    for (const auto& [sequence, each] : expired) {
        this->expire_attempt(sequence, *each);
    }
}

// A peer that has a call is pinged after 300 ms and then every 500 ms. If nothing arrives from it
// within silence_timeout, an idempotent call is retried elsewhere, because it takes longer than
// most callers can wait until the connection is declared dead.
bool ingress::peer_is_silent(const attempt& each, mono_time now) const {
    transport::connection_id connection = each.connection;
    bool sent = connection != attempt::not_sent_yet && connection != attempt::abandoned;
    if (!sent || !each.call->history.idempotent || now - each.sent_at < silence_timeout) {
        return false;
    }
    auto heard = this->connections->last_received(connection);
    return heard.has_value() && this->stalls.silence(*heard, now) >= silence_timeout;
}

void ingress::expire_attempt(std::uint64_t sequence, attempt& timed_out) {
    bool local_attempt = timed_out.instance == this->options.instance;
    if (!local_attempt && timed_out.claim(attempt::abandoned)) {
        this->end_attempt(sequence, routing::attempt_end::not_sent, reasons::deadline_exceeded);
        return;
    }
    this->cancel_at_egress(sequence, timed_out);
    this->end_attempt(sequence, routing::attempt_end::no_reply, reasons::deadline_exceeded);
}

void ingress::cancel_at_egress(std::uint64_t sequence, attempt& cancelled) {
    if (cancelled.instance == this->options.instance) {
        this->local.cancel({.instance = this->options.instance,
                            .incarnation = this->options.incarnation,
                            .sequence = sequence});
    } else if (!cancelled.claim(attempt::abandoned)) {
        this->connections->send_on(cancelled.connection, messages::cancel{.sequence = sequence});
    }
}

// Ends a call whose caller has disconnected; no response is sent.
void ingress::abandon(const call_ptr& call) {
    if (call->ended) {
        return;
    }
    if (auto current = this->attempts.take(call->last_sequence)) {
        this->selector.record_end_without_result((*current)->instance);
        this->record_attempt_end(**current, "abandoned", reasons::caller_gone, {});
        this->cancel_at_egress(call->last_sequence, **current);
    }
    this->finish(call, status_caller_gone, reasons::caller_gone);
}

}  // namespace trefoil::daemon
