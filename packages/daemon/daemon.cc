// Implements the assembly of the daemon and its graceful shutdown.

#include "daemon/daemon.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "daemon/process_limits.h"

namespace trefoil::daemon {

namespace {

constexpr std::string_view fleet_protocol = "trefoil/1";
// Interval of on_timer(), and so the maximum delay with which an expired deadline is noticed. Each
// tick wakes the process even if nothing is due, which costs a machine with a small share of a core
// a noticeable part of its processor time.
constexpr std::chrono::milliseconds timer_interval{20};
// The interval while a queued call of the egress is due sooner. The shortest wait there is 10 ms.
constexpr std::chrono::milliseconds short_timer_interval{10};
// After the home of a workspace was killed, calls of the workspace are refused until the loans to
// that home have expired. Shorter loans need more renewal messages.
constexpr std::chrono::milliseconds loan_duration{2000};
constexpr std::chrono::milliseconds loan_renew_interval{700};

// Start time in microseconds with random low bits, so that two starts in one microsecond differ and
// a later start is greater.
std::uint64_t make_incarnation() {
    constexpr unsigned random_bits = 10;
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
    return (static_cast<std::uint64_t>(microseconds) << random_bits) |
           (entropy_seed() & ((1U << random_bits) - 1));
}

messages::hello make_hello(const settings& options, std::uint64_t incarnation) {
    return {.fleet_protocol = std::string(fleet_protocol),
            .instance = options.instance,
            .incarnation = incarnation,
            .failure_domain = options.failure_domain,
            .site = options.site,
            .service = options.service,
            .address = options.listen.peers.text()};
}

dissemination::core_options make_core_options(const settings& options,
                                              const platform_binding& platform) {
    dissemination::core_options core{.instance = options.instance,
                                     .failure_domain = options.failure_domain,
                                     .site = options.site,
                                     .address = options.listen.peers.text(),
                                     .max_document_bytes = platform.max_document_bytes};
    for (const socket_address& seed : options.seeds) {
        core.seeds.push_back(seed.text());
    }
    if (platform.mirrors) {
        dissemination::use_mirror(core, options.platform_followers,
                                  options.platform_followers_min_domain);
    }
    return core;
}

std::optional<routing::domain_overflow_options> make_overflow_options(const settings& options) {
    if (!options.domain_overflow.has_value()) {
        return std::nullopt;
    }
    return routing::domain_overflow_options{
        .failure_domain = options.failure_domain,
        .floor = options.domain_overflow->floor,
        .limit = options.domain_overflow->limit,
        .min_upstreams = options.domain_overflow->min_upstreams};
}

bool is_listed(const membership::view& view, const std::string& instance) {
    const membership::member* own = view.find(instance);
    return own != nullptr && own->listed;
}

bool listed_as_leaving(const membership::view& view, const std::string& instance) {
    return is_listed(view, instance) &&
           view.find(instance)->record->state == membership::listed_state::leaving;
}

}  // namespace

daemon::daemon(const settings& given, platform_binding bound)
    : options(given),
      platform(std::move(bound)),
      incarnation(make_incarnation()),
      caller_bytes(caller_memory(given.memory_mb)),
      metrics(this->clock),
      limits({.incarnation = this->incarnation,
              .loan_duration = loan_duration,
              .renew_interval = loan_renew_interval},
             {.instance = given.instance,
              .failure_domain = given.failure_domain,
              .limiter = {.tolerance = given.limits}},
             this->shared, this->clock),
      retry_budgets(this->shared),
      nested_retries(this->retry_budgets),
      local_egress({.upstream = given.upstream.text(),
                    .headers = this->platform.headers,
                    .loop = &this->loop,
                    .memory = &this->caller_bytes},
                   this->shared, this->contexts, this->nested_retries, this->metrics, this->clock),
      local_ingress({.instance = given.instance,
                     .incarnation = this->incarnation,
                     .failure_domain = given.failure_domain,
                     .headers = this->platform.headers,
                     .overflow = make_overflow_options(given)},
                    this->shared, this->limits, this->contexts, this->local_egress,
                    this->retry_budgets, this->nested_retries, this->metrics, this->clock),
      control(make_core_options(given, this->platform), make_hello(given, this->incarnation),
              this->shared, *this->platform.service, this->clock),
      connections({.endpoint = {.self = make_hello(given, this->incarnation),
                                .fleet_secret = given.fleet_secret,
                                .loop = &this->loop},
                   .memory = &this->caller_bytes},
                  *this, this->clock),
      operators({.instance = given.instance,
                 .incarnation = this->incarnation,
                 .failure_domain = given.failure_domain,
                 .site = given.site},
                this->shared,
                {.local_egress = this->local_egress,
                 .local_ingress = this->local_ingress,
                 .limits = this->limits,
                 .connections = this->connections,
                 .metrics = this->metrics,
                 .platform = *this->platform.service,
                 .callers = this->callers_server,
                 .memory = this->caller_bytes},
                this->clock),
      callers_server({.ip = given.listen.callers.ip,
                      .port = given.listen.callers.port,
                      .max_connections = max_caller_connections(given.max_descriptors),
                      .memory = &this->caller_bytes,
                      .loop = &this->loop},
                     this->local_ingress),
      admin_server({.ip = given.listen.admin.ip,
                    .port = given.listen.admin.port,
                    .max_connections = max_admin_connections,
                    .loop = &this->loop},
                   this->operators),
      timer(this->loop, [this] { this->on_timer(); }) {
    this->shared.settings.publish(std::make_shared<const settings>(given));
    this->control.set_connections(this->connections);
    this->limits.set_connections(this->connections);
    this->local_ingress.set_connections(this->connections);
}

void daemon::reload(const settings& next) {
    settings merged = this->options;
    merged.service = next.service;
    merged.log_level = next.log_level;
    merged.retries = next.retries;
    set_log_level(next.log_level);
    this->shared.settings.publish(std::make_shared<const settings>(merged));
    log(log_level::info, "settings_reloaded",
        {{"service", next.service}, {"restart_needed", merged == next ? "no" : "yes"}});
}

daemon::~daemon() {
    this->drain_and_stop();
    this->loop.stop();
}

result<daemon_started, start_failure> daemon::start() {
    const listen_addresses& listen = this->options.listen;
    this->loop.start();
    if (!succeeded(this->connections.start(listen.peers.ip, listen.peers.port))) {
        return start_failure{.field = "listen.peers", .address = listen.peers.text()};
    }
    if (!succeeded(this->admin_server.start())) {
        return start_failure{.field = "listen.admin", .address = listen.admin.text()};
    }
    if (!succeeded(this->callers_server.start())) {
        return start_failure{.field = "listen.callers", .address = listen.callers.text()};
    }
    this->running = true;
    this->control.start();
    this->loop.post([this] { this->on_timer(); });
    log(log_level::info, "daemon_started",
        {{"instance", this->options.instance},
         {"failure_domain", this->options.failure_domain},
         {"site", this->options.site},
         {"callers", listen.callers.text()},
         {"peers", listen.peers.text()},
         {"admin", listen.admin.text()}});
    return daemon_started{};
}

// The order lets callers move to other daemons without a failed request: first callers on
// persistent connections are told to disconnect while their requests are still forwarded, then the
// listener closes, then the calls in progress complete. Until the listener closes, the upstream
// takes calls too: it may be the only one of its service, and its peers prefer others already.
void daemon::drain_and_stop() {
    if (!this->running) {
        return;
    }
    this->running = false;
    mono_time stop_began = this->clock.now();
    log(log_level::info, "drain_started");
    this->shared.phase = lifecycle::draining;
    this->control.begin_leaving();
    this->callers_server.disable_keep_alive();
    std::this_thread::sleep_for(this->options.stop.announce);
    this->callers_server.stop_accepting();
    this->local_egress.drain();
    bool settled = this->wait_until_idle(this->options.stop.drain_limit());
    this->callers_server.stop();
    this->admin_server.stop();
    this->platform.service->stop();
    this->control.stop();
    this->connections.close_all(settled || this->local_egress.idle(),
                                this->options.stop.flush_limit(this->clock.now() - stop_began));
    this->loop.stop();
    this->connections.stop();
    log(log_level::info, "daemon_stopped");
}

bool daemon::wait_until_idle(std::chrono::milliseconds limit) {
    mono_time end = this->clock.now() + limit;
    while (this->clock.now() < end) {
        bool idle = this->callers_server.open_connections() == 0 &&
                    this->local_ingress.calls_in_progress() == 0 && this->local_egress.idle();
        if (idle) {
            return true;
        }
        std::this_thread::sleep_for(timer_interval);
    }
    log(log_level::warning, "drain_limit_reached");
    return false;
}

void daemon::on_timer() {
    this->apply_shared_state();
    this->log_control_state_changes();
    this->limits.tick();
    this->local_egress.tick();
    this->local_ingress.tick();
    auto due = this->local_egress.next_tick();
    bool soon = due.has_value() && *due < this->clock.now() + timer_interval;
    this->timer.arm(soon ? short_timer_interval : timer_interval);
}

// The egress applies the configuration and the instance list on its own, so that a call from an
// ingress with an older view is still refused where it must be.
void daemon::apply_shared_state() {
    auto snapshot = this->shared.snapshot.read();
    auto view = this->shared.members.read();
    if (snapshot == nullptr || (snapshot == this->applied_snapshot && view == this->applied_view)) {
        return;
    }
    this->applied_snapshot = snapshot;
    this->applied_view = view;
    this->metrics.set_objectives(*snapshot);
    const upstream_calls calls_before = this->upstream_calls_now();
    const config::caller_limits& caller = snapshot->caller_limits();
    this->callers_server.set_limits({.header_bytes = caller.max_header_bytes,
                                     .body_bytes = caller.max_body_bytes,
                                     .header_timeout = caller.header_timeout,
                                     .idle_timeout = caller.idle_timeout});
    this->apply_own_record(*snapshot, view.get());
    auto availability = gate::upstream_availability::available;
    if (snapshot->is_taken_out(this->options.instance, this->options.failure_domain)) {
        availability = gate::upstream_availability::taken_out;
    } else if (view != nullptr && this->is_leaving(*view)) {
        availability = gate::upstream_availability::leaving;
    }
    // Without an instance list it is unknown whether the upstream is leaving and which process of
    // it runs.
    if (view != nullptr && view->list_revision() > 0) {
        this->local_egress.set_availability(availability);
    }
    this->log_upstream_changes(availability, view.get(), calls_before);
}

// Some upstreams leave without an announcement: the platform only drops them from the list.
bool daemon::is_leaving(const membership::view& view) {
    bool listed = is_listed(view, this->options.instance);
    this->upstream_was_listed = this->upstream_was_listed || listed;
    return listed ? listed_as_leaving(view, this->options.instance) : this->upstream_was_listed;
}

void daemon::log_upstream_changes(gate::upstream_availability availability,
                                  const membership::view* view, const upstream_calls& before) {
    upstream_status status{.availability = availability};
    const membership::member* own = view == nullptr ? nullptr : view->find(this->options.instance);
    if (own != nullptr && own->listed) {
        status.id = own->record->upstream;
        status.slots = own->record->slots;
        status.cold_left_ms = own->record->cold_left_ms;
    }
    this->state_changes.update_upstream(status, before);
}

upstream_calls daemon::upstream_calls_now() const {
    messages::load_report load = this->local_egress.load();
    return {.started = this->local_egress.totals().started,
            .running = load.running,
            .queued = load.queued};
}

void daemon::log_control_state_changes() {
    auto state = this->shared.control.read();
    if (state == nullptr) {
        return;
    }
    mono_time now = this->clock.now();
    std::optional<mono_duration> age;
    if (state->confirmed_at.has_value()) {
        age = now - *state->confirmed_at;
    }
    this->state_changes.update_ready(state->ready, state->waiting_for);
    this->state_changes.update_confirmation(state->confirmed(now), age);
}

// Passes the configuration and the list record of the daemon's own upstream to the egress.
void daemon::apply_own_record(const config::snapshot& snapshot, const membership::view* view) {
    const membership::member* own = view == nullptr ? nullptr : view->find(this->options.instance);
    const membership::instance_record* record =
        own != nullptr && own->listed ? own->record.get() : nullptr;
    if (record != nullptr) {
        this->local_egress.set_upstream_id(record->upstream);
    }
    const config::service* service = snapshot.find_service(this->shared.settings.read()->service);
    if (service != nullptr) {
        this->local_egress.describe_upstream(*service, record);
    }
}

void daemon::on_connection_open(const messages::hello& peer, bool first) {
    if (first) {
        log(log_level::info, "peer_reached",
            {{"instance", peer.instance}, {"address", peer.address}});
    }
    if (first) {
        this->local_ingress.on_connected(peer.instance);
    }
    this->control.on_connection_open(peer, first);
}

void daemon::on_connection_silent(transport::connection_id connection, const messages::hello& peer,
                                  bool last) {
    this->local_ingress.on_connection_silent(connection, peer.instance);
    if (last) {
        log(log_level::info, "peer_lost", {{"instance", peer.instance}, {"address", peer.address}});
        this->local_ingress.on_disconnected(peer.instance);
    }
    this->control.on_connection_closed(peer, last);
}

void daemon::on_connection_closed(transport::connection_id connection, const messages::hello& peer,
                                  connection_end end) {
    if (end.last) {
        log(log_level::info, "peer_lost", {{"instance", peer.instance}, {"address", peer.address}});
    }
    this->local_egress.connection_lost(connection);
    this->local_ingress.on_connection_lost(connection, peer.instance, end.settled_by_peer);
    if (end.last) {
        this->local_ingress.on_disconnected(peer.instance);
    }
    this->control.on_connection_closed(peer, end.last);
}

void daemon::on_dial_failed(const std::string& address) {
    this->control.on_dial_failed(address);
}

void daemon::on_call(const message_origin& origin, messages::call call, mono_time sent) {
    gate::call_id id{.instance = origin.peer->instance,
                     .incarnation = origin.peer->incarnation,
                     .sequence = call.sequence};
    mono_time deadline = sent + std::chrono::microseconds(call.budget_us);
    transport::connection_id connection = origin.connection;
    auto offered = std::make_shared<messages::call>(std::move(call));
    // A slow machine may read a call and its cancellation from one buffer. The call is offered
    // after the messages that were read with it, so that a cancelled call is not started.
    this->loop.post([this, id, deadline, connection, offered] {
        this->local_egress.offer(id, std::move(*offered), deadline, connection,
                                 [this, connection](messages::call_result result) {
                                     this->connections.send_on(connection, std::move(result));
                                 });
    });
}

void daemon::on_message(const message_origin& origin, messages::peer_message message) {
    if (auto* result = std::get_if<messages::call_result>(&message)) {
        this->local_ingress.on_result(std::move(*result));
    } else if (const auto* cancelled = std::get_if<messages::cancel>(&message)) {
        this->local_egress.cancel({.instance = origin.peer->instance,
                                   .incarnation = origin.peer->incarnation,
                                   .sequence = cancelled->sequence});
    } else if (std::holds_alternative<messages::loan_request>(message) ||
               std::holds_alternative<messages::loan_grant>(message) ||
               std::holds_alternative<messages::token_request>(message) ||
               std::holds_alternative<messages::token_grant>(message) ||
               std::holds_alternative<messages::demand_report>(message) ||
               std::holds_alternative<messages::demand_totals>(message) ||
               std::holds_alternative<messages::domain_demand>(message)) {
        this->limits.on_message(origin.peer->instance, message);
    } else {
        this->control.on_message(*origin.peer, message);
    }
}

}  // namespace trefoil::daemon
