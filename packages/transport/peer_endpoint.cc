// Implements the handshake, the heartbeats and the handling of silent connections.

#include "transport/peer_endpoint.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <optional>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "base/random.h"
#include "messages/codec.h"

namespace trefoil::transport {

namespace {

constexpr std::size_t nonce_bytes = 16;
constexpr std::chrono::milliseconds check_interval{100};

// The proof includes the role on the connection, so that it cannot be reflected to its sender.
std::string make_proof(const std::string& secret, bool from_connector,
                       const messages::hello& sender, const std::string& receiver_nonce) {
    std::string text = from_connector ? "connector" : "acceptor";
    for (const std::string& part :
         {sender.fleet_protocol, sender.instance, std::to_string(sender.incarnation),
          sender.failure_domain, sender.site, sender.service, sender.address, sender.nonce,
          receiver_nonce}) {
        text += '\n';
        text += part;
    }
    return hmac_sha256_hex(secret, text);
}

bool is_control(const messages::peer_message& message) {
    return !std::holds_alternative<messages::call>(message) &&
           !std::holds_alternative<messages::call_result>(message) &&
           !std::holds_alternative<messages::cancel>(message);
}

}  // namespace

std::optional<std::pair<std::string, std::uint16_t>> split_address(const std::string& address) {
    std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return std::make_pair(address.substr(0, colon), port);
}

// State of one connection. The members up to `opened` are used only in the connection's own events,
// of which only one runs at a time.
struct peer_endpoint::session {
    session(const connection_liveness_options& options, mono_time now)
        : connected(now), liveness(options, now) {}

    bool outgoing = false;
    messages::hello own_hello;  // With the nonce of this connection.
    std::optional<messages::hello> peer_hello;
    bool accepts_bodies = false;      // Set before `opened`.
    std::atomic<bool> opened{false};  // Set once, after the peer's proof was verified.
    // Used only on the loop.
    bool silent = false;   // on_silent was called, and on_resumed not since.
    bool closing = false;  // This side is closing gracefully; messages are no longer delivered.
    const mono_time connected;
    connection_liveness liveness;
    // Send time of the peer's last ping, on the peer's clock, and its arrival time, on this side's
    // clock. Both are 0 before the first ping.
    std::mutex echo_mutex;
    std::int64_t peer_ping_us = 0;       // Guarded by echo_mutex.
    std::int64_t peer_ping_read_us = 0;  // Guarded by echo_mutex.

    messages::ping make_ping(mono_time now) {
        auto interval = this->liveness.record_ping(now);
        std::lock_guard lock(this->echo_mutex);
        return {.sent_us = to_microseconds(now),
                .echo_us = this->peer_ping_us,
                .clock_us = this->peer_ping_read_us,
                .interval_ms = static_cast<std::uint32_t>(interval.count())};
    }
};

peer_endpoint::peer_endpoint(peer_endpoint_options given, peer_events& receiver,
                             const time_source& time)
    : options(std::move(given)),
      events(receiver),
      clock(time),
      own_loop(this->options.loop == nullptr ? std::make_unique<io::event_loop>() : nullptr),
      loop(this->options.loop == nullptr ? *this->own_loop : *this->options.loop),
      check_timer(this->loop,
                  [this] {
                      this->check_connections(this->clock.now());
                      this->check_timer.arm(check_interval);
                  }),
      socket(*this, this->loop) {}

peer_endpoint::~peer_endpoint() {
    this->stop();
}

result<started, listen_failure> peer_endpoint::start(const std::string& ip, std::uint16_t port) {
    std::string problem = this->socket.start({.ip = ip, .port = port});
    if (!problem.empty()) {
        return listen_failure{.address = ip + ":" + std::to_string(port), .detail = problem};
    }
    this->loop.post([this] { this->check_timer.arm(check_interval); });
    if (this->own_loop != nullptr) {
        this->own_loop->start();
    }
    return started{};
}

void peer_endpoint::stop() {
    if (this->stopping.exchange(true)) {
        return;
    }
    if (this->own_loop != nullptr) {
        this->own_loop->stop();
    }
}

connection_id peer_endpoint::connect(const std::string& address) {
    auto target = split_address(address);
    if (!target.has_value()) {
        return this->socket.connect("0.0.0.0", 1);  // Fails and reports on_disconnected.
    }
    return this->socket.connect(target->first, target->second);
}

bool peer_endpoint::send(connection_id id, const messages::peer_message& message) {
    auto found = this->sessions.find(id);
    if (!found.has_value() || !(*found)->opened) {
        return false;
    }
    std::string frame = messages::encode(message);
    if (!this->socket.send(id, frame)) {
        return false;
    }
    (*found)->liveness.on_sent(message, this->clock.now());
    ++this->frames_sent;
    this->bytes_sent += frame.size();
    if (is_control(message)) {
        this->control_bytes_sent += frame.size();
    }
    return true;
}

bool peer_endpoint::accepts_bodies(connection_id id) const {
    auto found = this->sessions.find(id);
    return found.has_value() && (*found)->opened && (*found)->accepts_bodies;
}

bool peer_endpoint::send_body_message(connection_id id, const messages::body_message& message) {
    auto found = this->sessions.find(id);
    if (!found.has_value() || !(*found)->opened) {
        return false;
    }
    std::string frame = messages::encode_body_frame(message);
    if (!this->socket.send(id, frame)) {
        return false;
    }
    if (const auto* call = std::get_if<messages::call_with_body>(&message)) {
        (*found)->liveness.on_sent(call->call, this->clock.now());
    }
    ++this->frames_sent;
    this->bytes_sent += frame.size();
    return true;
}

void peer_endpoint::drop(connection_id id) {
    this->socket.drop(id);
}

void peer_endpoint::close_gracefully(connection_id id, bool settled,
                                     std::function<bool()> still_wanted) {
    this->loop.post([this, id, settled, wanted = std::move(still_wanted)] {
        if (!wanted()) {
            return;
        }
        if (auto found = this->sessions.find(id); found.has_value()) {
            (*found)->closing = true;
        }
        this->socket.close_gracefully(id, settled);
    });
}

void peer_endpoint::probe(connection_id id) {
    this->send(id, messages::ping{.sent_us = to_microseconds(this->clock.now())});
}

std::optional<mono_time> peer_endpoint::last_received(connection_id id) const {
    auto found = this->sessions.find(id);
    if (!found.has_value()) {
        return std::nullopt;
    }
    return (*found)->liveness.last_received();
}

traffic_totals peer_endpoint::totals() const {
    return {.frames_sent = this->frames_sent,
            .bytes_sent = this->bytes_sent,
            .bytes_received = this->bytes_received,
            .control_bytes_sent = this->control_bytes_sent,
            .control_bytes_received = this->control_bytes_received,
            .rejected_connections = this->rejected_connections};
}

void peer_endpoint::on_connected(connection_id id, bool outgoing) {
    auto created = std::make_shared<session>(this->options.liveness, this->clock.now());
    created->outgoing = outgoing;
    created->own_hello = this->options.self;
    created->own_hello.nonce = secure_random_hex(nonce_bytes);
    this->sessions.update(id, [&created](std::shared_ptr<session>& slot) { slot = created; });
    this->send_handshake(id, created->own_hello);
}

void peer_endpoint::on_frame(connection_id id, std::string frame) {
    mono_time received = this->clock.now();
    auto found = this->sessions.find(id);
    if (!found.has_value()) {
        return;
    }
    session& peer = **found;
    if (messages::is_body_frame(frame)) {
        this->on_body_frame(id, peer, frame, received);
        return;
    }
    auto decoded = messages::decode(frame);
    auto* message = std::get_if<messages::peer_message>(&decoded);
    if (message == nullptr) {
        this->reject(id, "undecodable_frame");
        return;
    }
    peer.liveness.on_received(*message, received);
    this->count_received(*message, frame.size());
    this->report_heard(id, peer);
    if (auto* hello = std::get_if<messages::hello>(message)) {
        peer.accepts_bodies = messages::announces_bodies(frame);
        this->on_hello(id, peer, *hello);
    } else if (auto* proof = std::get_if<messages::proof>(message)) {
        this->on_proof(id, peer, *proof);
    } else if (!peer.opened) {
        this->reject(id, "message_before_proof");
    } else if (auto* ping = std::get_if<messages::ping>(message)) {
        this->on_ping(id, peer, *ping, received);
    } else {
        this->events.on_message(id, *peer.peer_hello, std::move(*message), received);
    }
}

void peer_endpoint::on_body_frame(connection_id id, session& peer, const std::string& frame,
                                  mono_time received) {
    if (!peer.opened) {
        this->reject(id, "message_before_proof");
        return;
    }
    auto decoded = messages::decode_body_frame(frame);
    auto* message = std::get_if<messages::body_message>(&decoded);
    if (message == nullptr) {
        this->reject(id, "undecodable_frame");
        return;
    }
    const auto* call = std::get_if<messages::call_with_body>(message);
    // Other messages than the call only show that the peer is alive, as a cancel of no call does.
    peer.liveness.on_received(call == nullptr ? messages::peer_message(messages::cancel{})
                                              : messages::peer_message(call->call),
                              received);
    this->bytes_received += frame.size();
    this->report_heard(id, peer);
    this->events.on_body_message(id, *peer.peer_hello, std::move(*message), received);
}

void peer_endpoint::report_heard(connection_id id, session& peer) {
    if (peer.silent) {
        peer.silent = false;
        log(log_level::info, "peer_connection_heard", {{"connection", std::to_string(id)}});
        this->events.on_resumed(id, *peer.peer_hello);
    }
}

void peer_endpoint::on_hello(connection_id id, session& peer, const messages::hello& hello) {
    bool acceptable = !peer.peer_hello.has_value() && !hello.instance.empty() &&
                      hello.fleet_protocol == this->options.self.fleet_protocol;
    if (!acceptable) {
        this->reject(id, "unacceptable_hello");
        return;
    }
    peer.peer_hello = hello;
    this->send_handshake(
        id, messages::proof{.hmac = make_proof(this->options.fleet_secret, peer.outgoing,
                                               peer.own_hello, hello.nonce)});
}

void peer_endpoint::on_proof(connection_id id, session& peer, const messages::proof& proof) {
    bool expected_now = peer.peer_hello.has_value() && !peer.opened;
    bool valid =
        expected_now &&
        equal_constant_time(proof.hmac, make_proof(this->options.fleet_secret, !peer.outgoing,
                                                   *peer.peer_hello, peer.own_hello.nonce));
    if (!valid) {
        this->reject(id, "wrong_proof");
        return;
    }
    this->socket.allow_large_frames(id);
    peer.opened = true;
    this->send(id, peer.make_ping(this->clock.now()));
    this->events.on_open(id, *peer.peer_hello, peer.outgoing);
}

// The time for which the peer held this side's ping before it answered is subtracted from the
// arrival time of the answer. The result is limited to the time at which the ping was sent, because
// the rates of the two clocks differ.
void peer_endpoint::on_ping(connection_id id, session& peer, const messages::ping& ping,
                            mono_time received) {
    {
        std::lock_guard lock(peer.echo_mutex);
        peer.peer_ping_us = ping.sent_us;
        peer.peer_ping_read_us = to_microseconds(received);
    }
    if (ping.echo_us == 0) {
        this->send(id,
                   messages::pong{.echo_us = ping.sent_us, .clock_us = to_microseconds(received)});
        return;
    }
    auto held = std::chrono::microseconds(ping.sent_us - ping.clock_us);
    mono_time answered = std::max(received - held, from_microseconds(ping.echo_us));
    this->events.on_message(id, *peer.peer_hello,
                            messages::pong{.echo_us = ping.echo_us, .clock_us = ping.clock_us},
                            answered);
}

void peer_endpoint::on_disconnected(connection_id id, bool settled_by_peer) {
    auto found = this->sessions.take(id);
    if (this->stopping) {
        return;
    }
    bool was_open = found.has_value() && (*found)->opened;
    this->events.on_close(id, was_open ? &*(*found)->peer_hello : nullptr,
                          was_open && settled_by_peer);
}

void peer_endpoint::reject(connection_id id, const char* cause) {
    ++this->rejected_connections;
    log(log_level::warning, "peer_connection_rejected", {{"cause", cause}});
    this->socket.drop(id);
}

// Sends a handshake message; send() would refuse it, because the connection is not open yet.
void peer_endpoint::send_handshake(connection_id id, const messages::peer_message& message) {
    std::string frame = messages::encode(message);
    if (std::holds_alternative<messages::hello>(message)) {
        frame = messages::announce_bodies(frame);
    }
    this->socket.send(id, frame);
    ++this->frames_sent;
    this->bytes_sent += frame.size();
    this->control_bytes_sent += frame.size();
}

void peer_endpoint::count_received(const messages::peer_message& message, std::size_t bytes) {
    this->bytes_received += bytes;
    if (is_control(message)) {
        this->control_bytes_received += bytes;
    }
}

void peer_endpoint::check_connections(mono_time now) {
    this->stalls.tick(now);
    struct pending_verdict {
        connection_id id;
        std::shared_ptr<session> peer;
        liveness_verdict verdict;
    };
    std::vector<pending_verdict> due;
    this->sessions.for_each([&](connection_id id, const std::shared_ptr<session>& each) {
        liveness_verdict verdict = each->liveness.check(now, this->stalls);
        verdict.is_silent =
            verdict.is_silent || (!each->opened && this->stalls.silence(each->connected, now) >
                                                       this->options.liveness.silence_limit);
        if (verdict != liveness_verdict{}) {
            due.push_back({.id = id, .peer = each, .verdict = verdict});
        }
    });
    for (const pending_verdict& each : due) {
        this->apply_verdict(each.id, *each.peer, each.verdict, now);
    }
}

void peer_endpoint::report_silence(connection_id id, session& peer) {
    if (peer.silent) {
        return;
    }
    log(log_level::info, "peer_connection_silent", {{"connection", std::to_string(id)}});
    peer.silent = true;
    this->events.on_silent(id, *peer.peer_hello);
}

void peer_endpoint::apply_verdict(connection_id id, session& peer, const liveness_verdict& verdict,
                                  mono_time now) {
    bool dropped = verdict.is_silent && (!peer.opened || peer.closing);
    if (verdict.is_lost || dropped) {
        log(log_level::info, "peer_connection_dropped", {{"connection", std::to_string(id)}});
        this->socket.drop(id);
        return;
    }
    if (!peer.opened) {
        return;
    }
    if (verdict.is_silent) {
        this->report_silence(id, peer);
    }
    if (verdict.needs_probe) {
        this->probe(id);
    } else if (verdict.needs_ping) {
        this->send(id, peer.make_ping(now));
    }
}

}  // namespace trefoil::transport
