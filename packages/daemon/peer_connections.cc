// Implements the table of peer connections: dialing with back-off, message queues of instances
// without a connection, and the closing of idle connections.

#include "daemon/peer_connections.h"

#include <algorithm>
#include <mutex>
#include <thread>
#include <utility>

#include "base/log.h"

namespace trefoil::daemon {

namespace {

constexpr std::size_t queue_capacity = 64;
constexpr std::size_t early_call_capacity = 256;
constexpr std::chrono::milliseconds close_check_interval{5};
// Largest body in the frame of its call, for a peer that accepts larger ones in parts and for one
// of an earlier version. The frame has room for the headers besides.
constexpr std::size_t whole_body_bytes = std::size_t{64} << 10U;
constexpr std::size_t earlier_whole_body_bytes = std::size_t{3} << 20U;
// Much shorter than the idle timeout. Checking all connections is the most expensive part of
// tick().
constexpr std::chrono::milliseconds idle_check_interval{1000};

}  // namespace

std::int64_t objective_left_us(const std::optional<mono_time>& objective, mono_time now) {
    if (!objective.has_value()) {
        return 0;
    }
    auto left = std::chrono::duration_cast<std::chrono::microseconds>(*objective - now);
    return std::max<std::int64_t>(left.count(), 1);
}

struct peer_connections::peer_connection {
    transport::connection_id id = 0;
    messages::hello peer;
    bool outgoing = false;
    std::atomic<std::int64_t> last_used_us{0};   // Last message other than a heartbeat.
    std::atomic<std::int64_t> busy_until_us{0};  // Latest deadline of the calls of both sides.
    std::atomic<bool> result_lost{false};        // A result of a call could not be sent.
    std::atomic<bool> silent{false};             // Not used for sending until a frame arrives.

    void record_use(mono_time now) { this->last_used_us = to_microseconds(now); }
    void expect_result(mono_time deadline) {
        std::int64_t until = to_microseconds(deadline);
        std::int64_t known = this->busy_until_us;
        while (known < until && !this->busy_until_us.compare_exchange_weak(known, until)) {
        }
    }
    std::mutex mutex;
    routing::clock_offset offset;
    // Calls received before the first pong, without which the offset of the peer's clock and so
    // their age is unknown. Guarded by mutex.
    std::vector<std::pair<messages::call, mono_time>> early_calls;
};

peer_connections::peer_connections(peer_connections_options given, peer_event_handler& target,
                                   const time_source& time)
    : options(std::move(given)),
      handler(target),
      clock(time),
      random(entropy_seed()),
      bodies_received(*this, this->options.memory),
      endpoint(this->options.endpoint, *this, time) {
    this->dial_tokens = this->options.dials_per_second;
    this->dial_tokens_at = time.now();
}

result<transport::started, transport::listen_failure> peer_connections::start(const std::string& ip,
                                                                              std::uint16_t port) {
    return this->endpoint.start(ip, port);
}

bool peer_connections::take_dial_token(mono_time now) {
    double elapsed = std::chrono::duration<double>(now - this->dial_tokens_at).count();
    this->dial_tokens_at = now;
    this->dial_tokens = std::min(this->options.dials_per_second,
                                 this->dial_tokens + elapsed * this->options.dials_per_second);
    if (this->dial_tokens < 1) {
        return false;
    }
    this->dial_tokens -= 1;
    return true;
}

void peer_connections::dial(const std::string& address) {
    if (address.empty() || address == this->options.endpoint.self.address) {
        return;
    }
    mono_time now = this->clock.now();
    // Held during connect(), so that finish_dial() finds the address in `dialing`.
    absl::MutexLock lock(&this->dial_mutex);
    dial_state& state = this->dials[address];
    if (state.dialing || now < state.next_allowed || !this->take_dial_token(now)) {
        return;
    }
    state.dialing = true;
    this->dialing[this->endpoint.connect(address)] = address;
}

void peer_connections::finish_dial(transport::connection_id id, bool opened) {
    std::string address;
    {
        absl::MutexLock lock(&this->dial_mutex);
        auto found = this->dialing.find(id);
        if (found == this->dialing.end()) {
            return;
        }
        address = found->second;
        this->dialing.erase(found);
        dial_state& state = this->dials[address];
        state.dialing = false;
        if (opened) {
            state.failures = 0;
            return;
        }
        // Full jitter: a uniformly random wait up to the bound spreads the reconnects of a fleet.
        auto bound = std::min<std::chrono::nanoseconds>(
            this->options.max_backoff,
            this->options.min_backoff * (1U << std::min(state.failures, 10U)));
        ++state.failures;
        state.next_allowed = this->clock.now() + std::chrono::duration_cast<mono_duration>(
                                                     bound * this->random.uniform());
    }
    this->handler.on_dial_failed(address);
}

std::set<std::string> peer_connections::unreachable_addresses() const {
    std::set<std::string> failing;
    {
        absl::MutexLock lock(&this->dial_mutex);
        for (const auto& [address, state] : this->dials) {
            if (state.failures > 0) {
                failing.insert(address);
            }
        }
    }
    // A dial can fail although a silent connection to the same peer has recovered.
    this->by_connection.for_each([&](transport::connection_id, const auto& each) {
        if (!each->silent) {
            failing.erase(each->peer.address);
        }
    });
    return failing;
}

std::vector<std::pair<std::string, mono_time>> peer_connections::last_heard() const {
    std::vector<std::pair<std::string, mono_time>> result;
    this->by_connection.for_each([&](transport::connection_id id, const auto& each) {
        auto heard = this->endpoint.last_received(id);
        if (heard.has_value() && !each->silent) {
            result.emplace_back(each->peer.instance, *heard);
        }
    });
    return result;
}

std::optional<transport::connection_id> peer_connections::open_connection(
    const std::string& instance) const {
    auto state = this->by_instance.find(instance);
    if (!state.has_value() || state->connections.empty()) {
        return std::nullopt;
    }
    const auto& used = state->connections.back();
    used->record_use(this->clock.now());
    return used->id;
}

bool peer_connections::send_on(transport::connection_id connection,
                               const messages::peer_message& message) {
    auto found = this->by_connection.find(connection);
    if (found.has_value()) {
        (*found)->record_use(this->clock.now());
    }
    bool sent = this->endpoint.send(connection, message);
    if (!sent && found.has_value() && std::holds_alternative<messages::call_result>(message)) {
        (*found)->result_lost = true;
    }
    return sent;
}

bool peer_connections::is_open(const std::string& instance) const {
    auto state = this->by_instance.find(instance);
    return state.has_value() && !state->connections.empty();
}

bool peer_connections::send_if_open(const std::string& instance,
                                    const messages::peer_message& message) {
    auto id = this->open_connection(instance);
    return id.has_value() && this->endpoint.send(*id, message);
}

void peer_connections::send(const std::string& instance, const std::string& address,
                            const messages::peer_message& message) {
    if (!this->send_if_open(instance, message)) {
        this->enqueue(
            instance, address,
            {.content = message, .expires = this->clock.now() + this->options.max_queue_time});
    }
}

void peer_connections::send_call(const std::string& instance, const std::string& address,
                                 outgoing_call call) {
    auto id = this->open_connection(instance);
    if (id.has_value()) {
        this->transmit_call(*id, std::move(call));
        return;
    }
    mono_time expires =
        std::min(call.deadline, this->clock.now() + mono_duration(this->options.max_queue_time));
    this->enqueue(instance, address, {.content = std::move(call), .expires = expires});
}

void peer_connections::enqueue(const std::string& instance, const std::string& address,
                               queued_message message) {
    std::optional<queued_message> rejected;
    std::optional<transport::connection_id> opened;
    this->by_instance.update(instance, [&](peer_state& state) {
        if (!state.connections.empty()) {
            opened = state.connections.back()->id;
        } else if (state.queued.size() < queue_capacity) {
            state.queued.push_back(std::move(message));
            state.address = address;
            this->needs_cleanup = true;
        } else {
            rejected = std::move(message);
        }
    });
    if (opened.has_value()) {
        this->transmit(*opened, std::move(message));
        return;
    }
    if (rejected.has_value()) {
        if (auto* call = std::get_if<outgoing_call>(&rejected->content)) {
            call->not_sent();
        }
        return;
    }
    this->dial(address);
}

void peer_connections::transmit(transport::connection_id id, queued_message message) {
    if (auto* call = std::get_if<outgoing_call>(&message.content)) {
        this->transmit_call(id, std::move(*call));
    } else {
        this->endpoint.send(id, std::get<messages::peer_message>(message.content));
    }
}

void peer_connections::transmit_call(transport::connection_id id, outgoing_call call) {
    std::size_t bytes = call.body == nullptr ? 0 : call.body->size();
    bool in_parts = bytes > whole_body_bytes && this->endpoint.accepts_bodies(id);
    if (in_parts) {
        this->transmit_body(id, std::move(call));
    } else if (bytes > earlier_whole_body_bytes) {
        call.not_accepted();
    } else {
        this->transmit_whole_call(id, std::move(call));
    }
}

// The call is claimed and sent once the peer has confirmed its body.
void peer_connections::transmit_body(transport::connection_id id, outgoing_call call) {
    if (auto found = this->by_connection.find(id); found.has_value()) {
        (*found)->expect_result(call.deadline);
    }
    auto held = std::make_shared<outgoing_call>(std::move(call));
    auto arrived = [this, id, held] {
        if (!held->about_to_send(id)) {
            this->endpoint.send_body_message(
                id, messages::body_discard{.sequence = held->call.sequence});
            return;
        }
        this->set_times(id, *held);
        if (!this->endpoint.send_body_message(
                id, messages::call_with_body{.total = held->body->size(), .call = held->call})) {
            held->not_sent();
        }
    };
    auto failed = [held](body_failure why) {
        if (why == body_failure::refused) {
            held->not_accepted();
        } else {
            held->not_sent();
        }
    };
    this->bodies_sent.start(id, held->call.sequence, held->body,
                            {.deadline = held->deadline,
                             .wanted = held->wanted,
                             .arrived = std::move(arrived),
                             .failed = std::move(failed)});
}

void peer_connections::transmit_whole_call(transport::connection_id id, outgoing_call call) {
    if (!call.about_to_send(id)) {
        return;
    }
    if (call.body != nullptr) {
        call.call.body = *call.body;
    }
    this->set_times(id, call);
    if (!this->endpoint.send(id, std::move(call.call))) {
        call.not_sent();
    }
}

bool peer_connections::send_body_message(transport::connection_id connection,
                                         const messages::body_message& message) {
    if (auto found = this->by_connection.find(connection); found.has_value()) {
        (*found)->record_use(this->clock.now());
    }
    return this->endpoint.send_body_message(connection, message);
}

// Sets the send time and budget right before sending, so that time in the queue counts against the
// budget.
void peer_connections::set_times(transport::connection_id id, outgoing_call& call) {
    mono_time now = this->clock.now();
    if (auto found = this->by_connection.find(id); found.has_value()) {
        (*found)->expect_result(call.deadline);
    }
    call.call.sent_us = to_microseconds(now);
    call.call.budget_us =
        std::chrono::duration_cast<std::chrono::microseconds>(call.deadline - now).count();
    call.call.objective_us = objective_left_us(call.objective, now);
}

void peer_connections::on_open(transport::connection_id id, const messages::hello& peer,
                               bool outgoing) {
    this->finish_dial(id, true);
    if (peer.instance == this->options.endpoint.self.instance) {
        this->endpoint.drop(id);
        return;
    }
    {
        absl::MutexLock lock(&this->dial_mutex);
        this->dials[peer.address].failures = 0;
    }
    auto opened = std::make_shared<peer_connection>();
    opened->id = id;
    opened->peer = peer;
    opened->outgoing = outgoing;
    opened->record_use(this->clock.now());
    this->by_connection.update(id, [&](std::shared_ptr<peer_connection>& slot) { slot = opened; });
    this->activate(opened, true);
}

void peer_connections::activate(const std::shared_ptr<peer_connection>& usable, bool preferred) {
    std::deque<queued_message> queued;
    bool first = false;
    this->by_instance.update(usable->peer.instance, [&](peer_state& state) {
        first = state.connections.empty();
        state.connections.insert(preferred ? state.connections.end() : state.connections.begin(),
                                 usable);
        queued.swap(state.queued);
    });
    this->handler.on_connection_open(usable->peer, first);
    for (queued_message& each : queued) {
        this->transmit(usable->id, std::move(each));
    }
}

// Takes the silent connection out of use, so that the next message opens another one. If a device
// on the network path has lost the state of this connection, it delivers nothing more, but a new
// connection works.
void peer_connections::on_silent(transport::connection_id id, const messages::hello& peer) {
    auto found = this->by_connection.find(id);
    if (!found.has_value()) {
        return;
    }
    (*found)->silent = true;
    bool last = false;
    this->by_instance.update(peer.instance, [&](peer_state& state) {
        std::erase_if(state.connections, [id](const auto& each) { return each->id == id; });
        last = state.connections.empty();
    });
    this->needs_cleanup = true;
    this->bodies_sent.connection_lost(id);
    this->handler.on_connection_silent(id, peer, last);
}

// A connection that was opened meanwhile stays the preferred one.
void peer_connections::on_resumed(transport::connection_id id, const messages::hello&) {
    auto found = this->by_connection.find(id);
    if (found.has_value() && (*found)->silent.exchange(false)) {
        this->activate(*found, false);
    }
}

void peer_connections::on_close(transport::connection_id id, const messages::hello* peer,
                                bool settled_by_peer) {
    this->finish_dial(id, false);
    auto closed = this->by_connection.take(id);
    this->bodies_received.connection_lost(id);
    if (peer == nullptr || !closed.has_value()) {
        return;
    }
    bool last = false;
    this->by_instance.update(peer->instance, [&](peer_state& state) {
        std::erase_if(state.connections, [id](const auto& each) { return each->id == id; });
        last = state.connections.empty() && !(*closed)->silent;
    });
    this->needs_cleanup = true;
    this->bodies_sent.connection_lost(id);
    this->handler.on_connection_closed(id, *peer,
                                       {.last = last, .settled_by_peer = settled_by_peer});
}

void peer_connections::on_message(transport::connection_id id, const messages::hello& peer,
                                  messages::peer_message message, mono_time received) {
    auto found = this->by_connection.find(id);
    if (!found.has_value()) {
        return;
    }
    peer_connection& from = **found;
    if (auto* pong = std::get_if<messages::pong>(&message)) {
        this->on_pong(from, *pong, received);
        return;
    }
    from.record_use(received);
    if (auto* call = std::get_if<messages::call>(&message)) {
        from.expect_result(received + std::chrono::microseconds(call->budget_us));
        this->on_call_message(from, std::move(*call), received);
        return;
    }
    this->handler.on_message({.connection = id, .peer = &peer, .received = received},
                             std::move(message));
}

void peer_connections::on_body_message(transport::connection_id id, const messages::hello&,
                                       messages::body_message message, mono_time received) {
    auto found = this->by_connection.find(id);
    if (!found.has_value()) {
        return;
    }
    (*found)->record_use(received);
    if (const auto* part = std::get_if<messages::body_part>(&message)) {
        this->bodies_received.on_part(id, *part, received);
    } else if (const auto* progress = std::get_if<messages::body_progress>(&message)) {
        this->bodies_sent.on_progress(id, *progress);
    } else if (const auto* refusal = std::get_if<messages::body_refusal>(&message)) {
        this->bodies_sent.on_refusal(id, refusal->sequence);
    } else if (const auto* discarded = std::get_if<messages::body_discard>(&message)) {
        this->bodies_received.on_discard(id, discarded->sequence);
    } else {
        this->on_call_with_body(**found, std::get<messages::call_with_body>(std::move(message)),
                                received);
    }
}

// A call whose body was dropped meanwhile is refused, because it must not run without it.
void peer_connections::on_call_with_body(peer_connection& from, messages::call_with_body message,
                                         mono_time received) {
    auto body = this->bodies_received.take(from.id, message.call.sequence, message.total);
    if (!body.has_value()) {
        this->send_on(from.id, messages::call_result{.sequence = message.call.sequence,
                                                     .outcome = messages::call_outcome::not_run,
                                                     .reason = "overloaded",
                                                     .reached_upstream = false});
        return;
    }
    message.call.body = std::move(*body);
    from.expect_result(received + std::chrono::microseconds(message.call.budget_us));
    this->on_call_message(from, std::move(message.call), received);
}

void peer_connections::on_pong(peer_connection& from, const messages::pong& pong,
                               mono_time received) {
    std::vector<std::pair<messages::call, mono_time>> released;
    {
        std::lock_guard lock(from.mutex);
        from.offset.on_pong(pong, received);
        released.swap(from.early_calls);
    }
    for (auto& [call, arrived] : released) {
        this->on_call_message(from, std::move(call), arrived);
    }
}

void peer_connections::on_call_message(peer_connection& from, messages::call call,
                                       mono_time received) {
    mono_time sent;
    bool refused = false;
    {
        std::unique_lock lock(from.mutex);
        auto estimate = from.offset.earliest_send(call.sent_us, received);
        if (const auto* time = std::get_if<mono_time>(&estimate)) {
            sent = *time;
        } else {
            refused = from.early_calls.size() >= early_call_capacity;
            if (!refused) {
                from.early_calls.emplace_back(std::move(call), received);
                lock.unlock();
                this->endpoint.probe(from.id);
                return;
            }
        }
    }
    if (refused) {
        this->endpoint.send(from.id,
                            messages::call_result{.sequence = call.sequence,
                                                  .outcome = messages::call_outcome::not_run,
                                                  .reason = "overloaded"});
        return;
    }
    this->handler.on_call({.connection = from.id, .peer = &from.peer, .received = received},
                          std::move(call), sent);
}

void peer_connections::set_idle_exempt(std::vector<std::string> instances) {
    absl::MutexLock lock(&this->dial_mutex);
    this->idle_exempt = std::move(instances);
}

void peer_connections::tick() {
    mono_time now = this->clock.now();
    if (this->needs_cleanup.exchange(false)) {
        this->drop_expired(now);
        this->dial_for_queued();
    }
    if (now >= this->next_idle_check) {
        this->next_idle_check = now + idle_check_interval;
        this->run_on_loop([this, now] { this->bodies_sent.expire(now); });
        this->bodies_received.expire(now);
        this->close_idle_connections();
    }
}

// Dials the instances with queued messages again, because the dial limit or the back-off may have
// prevented the dial when the messages were queued.
void peer_connections::dial_for_queued() {
    std::vector<std::string> addresses;
    this->by_instance.for_each([&](const std::string&, peer_state& state) {
        if (state.connections.empty() && !state.queued.empty()) {
            addresses.push_back(state.address);
        }
    });
    for (const std::string& address : addresses) {
        this->dial(address);
    }
}

void peer_connections::drop_expired(mono_time now) {
    std::vector<queued_message> expired;
    this->by_instance.for_each([&](const std::string&, peer_state& state) {
        for (std::size_t i = 0; i < state.queued.size();) {
            if (state.queued[i].expires <= now) {
                expired.push_back(std::move(state.queued[i]));
                state.queued.erase(state.queued.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                ++i;
                this->needs_cleanup = true;
            }
        }
    });
    this->by_instance.erase_if([](const std::string&, const peer_state& state) {
        return state.connections.empty() && state.queued.empty();
    });
    for (queued_message& each : expired) {
        if (auto* call = std::get_if<outgoing_call>(&each.content)) {
            this->run_on_loop(std::move(call->not_sent));
        }
    }
}

// Calls end on the loop only, where their callers may end them too. Without a shared loop, as in
// tests, the action runs at once.
void peer_connections::run_on_loop(std::function<void()> action) {
    if (this->options.endpoint.loop != nullptr) {
        this->options.endpoint.loop->dispatch(std::move(action));
    } else {
        action();
    }
}

bool peer_connections::is_idle(const peer_connection& each) const {
    std::int64_t oldest =
        to_microseconds(this->clock.now() - mono_duration(this->options.idle_timeout));
    return each.last_used_us < oldest && each.busy_until_us < oldest;
}

// Only the side that opened a connection closes it when idle. Otherwise, of two parallel
// connections, each side might close the one that the other keeps.
void peer_connections::close_idle_connections() {
    std::vector<std::string> exempt;
    {
        absl::MutexLock lock(&this->dial_mutex);
        exempt = this->idle_exempt;
    }
    std::vector<std::shared_ptr<peer_connection>> idle;
    this->by_connection.for_each([&](transport::connection_id, const auto& each) {
        bool is_exempt =
            std::find(exempt.begin(), exempt.end(), each->peer.instance) != exempt.end();
        if (each->outgoing && !is_exempt && this->is_idle(*each)) {
            idle.push_back(each);
        }
    });
    for (const auto& each : idle) {
        this->close_if_idle(each);
    }
}

// The peer may send a call before it receives the close message. This daemon does not read that
// call any more, and the close message states that it was not run, so that the peer can send it to
// another instance.
void peer_connections::close_if_idle(const std::shared_ptr<peer_connection>& idle) {
    this->endpoint.close_gracefully(idle->id, !idle->result_lost, [this, idle] {
        if (!this->is_idle(*idle)) {
            return false;
        }
        this->deactivate(*idle);
        return true;
    });
}

// Removes a closing connection from use, so that the next message opens another one.
void peer_connections::deactivate(const peer_connection& each) {
    this->by_instance.update(each.peer.instance, [&](peer_state& state) {
        std::erase_if(state.connections, [&](const auto& open) { return open->id == each.id; });
    });
}

void peer_connections::close_all(bool settled, std::chrono::milliseconds limit) {
    std::vector<std::shared_ptr<peer_connection>> open;
    this->by_connection.for_each(
        [&](transport::connection_id, const auto& each) { open.push_back(each); });
    for (const auto& each : open) {
        this->endpoint.close_gracefully(each->id, settled && !each->result_lost,
                                        [] { return true; });
    }
    auto remains = [this](const auto& each) {
        return this->by_connection.find(each->id).has_value();
    };
    mono_time end = this->clock.now() + limit;
    while (std::any_of(open.begin(), open.end(), remains) && this->clock.now() < end) {
        std::this_thread::sleep_for(close_check_interval);
    }
}

}  // namespace trefoil::daemon
