// Implements the table of peer connections: dialing with back-off, queues of messages that wait for
// a connection, and the closing of idle connections.

#include "daemon/peer_links.h"

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
// Short against the idle limit. The look at all connections costs more than anything else in
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

struct peer_links::link {
    transport::connection_id id = 0;
    messages::hello peer;
    bool outgoing = false;
    std::atomic<std::int64_t> last_used_us{0};   // Last message other than a heartbeat.
    std::atomic<std::int64_t> busy_until_us{0};  // Latest deadline of the calls of both sides.
    std::atomic<bool> result_lost{false};        // A result of a call could not be sent.
    std::atomic<bool> silent{false};             // Out of use until something arrives.

    void use(mono_time now) { this->last_used_us = to_microseconds(now); }
    void expect_result(mono_time deadline) {
        std::int64_t until = to_microseconds(deadline);
        std::int64_t known = this->busy_until_us;
        while (known < until && !this->busy_until_us.compare_exchange_weak(known, until)) {
        }
    }
    std::mutex mutex;
    routing::clock_offset offset;
    // Calls that came before the first pong, without which their age is unknown. Guarded by mutex.
    std::vector<std::pair<messages::call, mono_time>> early_calls;
};

peer_links::peer_links(peer_links_options given, link_receiver& target, const time_source& time)
    : options(std::move(given)),
      receiver(target),
      clock(time),
      random(entropy_seed()),
      endpoint(this->options.endpoint, *this, time) {
    this->dial_tokens = this->options.dials_per_second;
    this->dial_tokens_at = time.now();
}

result<transport::started, transport::listen_failure> peer_links::start(const std::string& ip,
                                                                        std::uint16_t port) {
    return this->endpoint.start(ip, port);
}

bool peer_links::take_dial_token(mono_time now) {
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

void peer_links::dial(const std::string& address) {
    if (address.empty() || address == this->options.endpoint.self.address) {
        return;
    }
    mono_time now = this->clock.now();
    // The lock is held over connect(), so that the result finds the address in `dialing`.
    absl::MutexLock lock(&this->dial_mutex);
    dial_state& state = this->dials[address];
    if (state.dialing || now < state.next_allowed || !this->take_dial_token(now)) {
        return;
    }
    state.dialing = true;
    this->dialing[this->endpoint.connect(address)] = address;
}

void peer_links::finish_dial(transport::connection_id id, bool opened) {
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
        // Full jitter: a uniformly random wait up to the bound spreads the return of many daemons.
        auto bound = std::min<std::chrono::nanoseconds>(
            this->options.longest_backoff,
            this->options.shortest_backoff * (1U << std::min(state.failures, 10U)));
        ++state.failures;
        state.next_allowed = this->clock.now() + std::chrono::duration_cast<mono_duration>(
                                                     bound * this->random.uniform());
    }
    this->receiver.on_dial_failed(address);
}

std::set<std::string> peer_links::unreachable_addresses() const {
    std::set<std::string> failing;
    {
        absl::MutexLock lock(&this->dial_mutex);
        for (const auto& [address, state] : this->dials) {
            if (state.failures > 0) {
                failing.insert(address);
            }
        }
    }
    // An attempt can fail while the peer is heard again on a connection that was silent.
    this->by_connection.for_each([&](transport::connection_id, const auto& each) {
        if (!each->silent) {
            failing.erase(each->peer.address);
        }
    });
    return failing;
}

std::vector<std::pair<std::string, mono_time>> peer_links::last_heard() const {
    std::vector<std::pair<std::string, mono_time>> result;
    this->by_connection.for_each([&](transport::connection_id id, const auto& each) {
        auto heard = this->endpoint.last_received(id);
        if (heard.has_value() && !each->silent) {
            result.emplace_back(each->peer.instance, *heard);
        }
    });
    return result;
}

std::optional<transport::connection_id> peer_links::open_connection(
    const std::string& instance) const {
    auto state = this->by_instance.find(instance);
    if (!state.has_value() || state->links.empty()) {
        return std::nullopt;
    }
    const auto& used = state->links.back();
    used->use(this->clock.now());
    return used->id;
}

bool peer_links::send_on(transport::connection_id connection,
                         const messages::peer_message& message) {
    auto found = this->by_connection.find(connection);
    if (found.has_value()) {
        (*found)->use(this->clock.now());
    }
    bool sent = this->endpoint.send(connection, message);
    if (!sent && found.has_value() && std::holds_alternative<messages::call_result>(message)) {
        (*found)->result_lost = true;
    }
    return sent;
}

bool peer_links::is_open(const std::string& instance) const {
    auto state = this->by_instance.find(instance);
    return state.has_value() && !state->links.empty();
}

bool peer_links::send_if_open(const std::string& instance, const messages::peer_message& message) {
    auto id = this->open_connection(instance);
    return id.has_value() && this->endpoint.send(*id, message);
}

void peer_links::send(const std::string& instance, const std::string& address,
                      const messages::peer_message& message) {
    if (!this->send_if_open(instance, message)) {
        this->enqueue(
            instance, address,
            {.content = message, .expires = this->clock.now() + this->options.queue_limit});
    }
}

void peer_links::send_call(const std::string& instance, const std::string& address,
                           outgoing_call call) {
    auto id = this->open_connection(instance);
    if (id.has_value()) {
        this->transmit_call(*id, std::move(call));
        return;
    }
    mono_time expires =
        std::min(call.deadline, this->clock.now() + mono_duration(this->options.queue_limit));
    this->enqueue(instance, address, {.content = std::move(call), .expires = expires});
}

void peer_links::enqueue(const std::string& instance, const std::string& address,
                         queued_message message) {
    std::optional<queued_message> rejected;
    std::optional<transport::connection_id> opened;
    this->by_instance.update(instance, [&](peer_state& state) {
        if (!state.links.empty()) {
            opened = state.links.back()->id;
        } else if (state.waiting.size() < queue_capacity) {
            state.waiting.push_back(std::move(message));
            state.address = address;
            this->has_leftovers = true;
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

void peer_links::transmit(transport::connection_id id, queued_message message) {
    if (auto* call = std::get_if<outgoing_call>(&message.content)) {
        this->transmit_call(id, std::move(*call));
    } else {
        this->endpoint.send(id, std::get<messages::peer_message>(message.content));
    }
}

// Stamps the call at the last moment, so that the time in a queue counts against its budget.
void peer_links::transmit_call(transport::connection_id id, outgoing_call call) {
    if (!call.about_to_send(id)) {
        return;
    }
    mono_time now = this->clock.now();
    if (auto found = this->by_connection.find(id); found.has_value()) {
        (*found)->expect_result(call.deadline);
    }
    call.call.sent_us = to_microseconds(now);
    call.call.budget_us =
        std::chrono::duration_cast<std::chrono::microseconds>(call.deadline - now).count();
    call.call.objective_us = objective_left_us(call.objective, now);
    if (!this->endpoint.send(id, std::move(call.call))) {
        call.not_sent();
    }
}

void peer_links::on_open(transport::connection_id id, const messages::hello& peer, bool outgoing) {
    this->finish_dial(id, true);
    if (peer.instance == this->options.endpoint.self.instance) {
        this->endpoint.close(id);
        return;
    }
    {
        absl::MutexLock lock(&this->dial_mutex);
        this->dials[peer.address].failures = 0;
    }
    auto opened = std::make_shared<link>();
    opened->id = id;
    opened->peer = peer;
    opened->outgoing = outgoing;
    opened->use(this->clock.now());
    this->by_connection.update(id, [&](std::shared_ptr<link>& slot) { slot = opened; });
    this->put_to_use(opened, true);
}

void peer_links::put_to_use(const std::shared_ptr<link>& usable, bool preferred) {
    std::deque<queued_message> waiting;
    bool first = false;
    this->by_instance.update(usable->peer.instance, [&](peer_state& state) {
        first = state.links.empty();
        state.links.insert(preferred ? state.links.end() : state.links.begin(), usable);
        waiting.swap(state.waiting);
    });
    this->receiver.on_link_open(usable->peer, first);
    for (queued_message& each : waiting) {
        this->transmit(usable->id, std::move(each));
    }
}

// The next message opens another connection: a path that lost its state delivers nothing, while a
// new one works.
void peer_links::on_silent(transport::connection_id id, const messages::hello& peer) {
    auto found = this->by_connection.find(id);
    if (!found.has_value()) {
        return;
    }
    (*found)->silent = true;
    bool last = false;
    this->by_instance.update(peer.instance, [&](peer_state& state) {
        std::erase_if(state.links, [id](const auto& each) { return each->id == id; });
        last = state.links.empty();
    });
    this->has_leftovers = true;
    this->receiver.on_link_silent(id, peer, last);
}

// One that was opened meanwhile stays the one used.
void peer_links::on_heard(transport::connection_id id, const messages::hello&) {
    auto found = this->by_connection.find(id);
    if (found.has_value() && (*found)->silent.exchange(false)) {
        this->put_to_use(*found, false);
    }
}

void peer_links::on_close(transport::connection_id id, const messages::hello* peer,
                          bool finished_by_peer) {
    this->finish_dial(id, false);
    auto closed = this->by_connection.take(id);
    if (peer == nullptr || !closed.has_value()) {
        return;
    }
    bool last = false;
    this->by_instance.update(peer->instance, [&](peer_state& state) {
        std::erase_if(state.links, [id](const auto& each) { return each->id == id; });
        last = state.links.empty() && !(*closed)->silent;
    });
    this->has_leftovers = true;
    this->receiver.on_link_closed(id, *peer, {.last = last, .finished_by_peer = finished_by_peer});
}

void peer_links::on_message(transport::connection_id id, const messages::hello& peer,
                            messages::peer_message message, mono_time received) {
    auto found = this->by_connection.find(id);
    if (!found.has_value()) {
        return;
    }
    link& from = **found;
    if (auto* pong = std::get_if<messages::pong>(&message)) {
        this->on_pong(from, *pong, received);
        return;
    }
    from.use(received);
    if (auto* call = std::get_if<messages::call>(&message)) {
        from.expect_result(received + std::chrono::microseconds(call->budget_us));
        this->on_call_message(from, std::move(*call), received);
        return;
    }
    this->receiver.on_message({.connection = id, .peer = &peer, .received = received},
                              std::move(message));
}

void peer_links::on_pong(link& from, const messages::pong& pong, mono_time received) {
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

void peer_links::on_call_message(link& from, messages::call call, mono_time received) {
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
    this->receiver.on_call({.connection = from.id, .peer = &from.peer, .received = received},
                           std::move(call), sent);
}

void peer_links::set_kept(std::vector<std::string> instances) {
    absl::MutexLock lock(&this->dial_mutex);
    this->kept = std::move(instances);
}

void peer_links::tick() {
    mono_time now = this->clock.now();
    if (this->has_leftovers.exchange(false)) {
        this->drop_expired(now);
        this->dial_for_waiting();
    }
    if (now >= this->next_idle_check) {
        this->next_idle_check = now + idle_check_interval;
        this->close_idle();
    }
}

// The dial for a message may have been put off by the rate of new connections.
void peer_links::dial_for_waiting() {
    std::vector<std::string> addresses;
    this->by_instance.for_each([&](const std::string&, peer_state& state) {
        if (state.links.empty() && !state.waiting.empty()) {
            addresses.push_back(state.address);
        }
    });
    for (const std::string& address : addresses) {
        this->dial(address);
    }
}

void peer_links::drop_expired(mono_time now) {
    std::vector<queued_message> expired;
    this->by_instance.for_each([&](const std::string&, peer_state& state) {
        for (std::size_t i = 0; i < state.waiting.size();) {
            if (state.waiting[i].expires <= now) {
                expired.push_back(std::move(state.waiting[i]));
                state.waiting.erase(state.waiting.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                ++i;
                this->has_leftovers = true;
            }
        }
    });
    this->by_instance.erase_if([](const std::string&, const peer_state& state) {
        return state.links.empty() && state.waiting.empty();
    });
    for (queued_message& each : expired) {
        if (auto* call = std::get_if<outgoing_call>(&each.content)) {
            call->not_sent();
        }
    }
}

bool peer_links::is_idle(const link& each) const {
    std::int64_t oldest =
        to_microseconds(this->clock.now() - mono_duration(this->options.idle_limit));
    return each.last_used_us < oldest && each.busy_until_us < oldest;
}

// Only the side that opened a connection closes it when idle, so that the two sides do not disagree
// about which of two parallel connections to keep.
void peer_links::close_idle() {
    std::vector<std::string> spared;
    {
        absl::MutexLock lock(&this->dial_mutex);
        spared = this->kept;
    }
    std::vector<std::shared_ptr<link>> idle;
    this->by_connection.for_each([&](transport::connection_id, const auto& each) {
        bool is_kept = std::find(spared.begin(), spared.end(), each->peer.instance) != spared.end();
        if (each->outgoing && !is_kept && this->is_idle(*each)) {
            idle.push_back(each);
        }
    });
    for (const auto& each : idle) {
        this->finish_idle(each);
    }
}

// The peer may have sent a call in the moment in which the connection closes. The call is not read
// any more, and the close says so, so that the peer sends it elsewhere.
void peer_links::finish_idle(const std::shared_ptr<link>& idle) {
    this->endpoint.finish(idle->id, !idle->result_lost, [this, idle] {
        if (!this->is_idle(*idle)) {
            return false;
        }
        this->withdraw(*idle);
        return true;
    });
}

// Takes a connection that closes out of use, so that the next message opens another.
void peer_links::withdraw(const link& each) {
    this->by_instance.update(each.peer.instance, [&](peer_state& state) {
        std::erase_if(state.links, [&](const auto& open) { return open->id == each.id; });
    });
}

void peer_links::leave(bool settled, std::chrono::milliseconds limit) {
    std::vector<std::shared_ptr<link>> open;
    this->by_connection.for_each(
        [&](transport::connection_id, const auto& each) { open.push_back(each); });
    for (const auto& each : open) {
        this->endpoint.finish(each->id, settled && !each->result_lost, [] { return true; });
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
