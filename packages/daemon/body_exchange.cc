// Implements the two sides of the exchange of large bodies.

#include "daemon/body_exchange.h"

#include <algorithm>
#include <iterator>

namespace trefoil::daemon {

namespace {

// Of a body that arrives, besides its bytes.
constexpr std::size_t assembly_overhead_bytes = 4096;

}  // namespace

void outgoing_bodies::start(transport::connection_id connection, std::uint64_t sequence,
                            edge::shared_body body, outgoing_body_events events) {
    key id{connection, sequence};
    {
        std::lock_guard lock(this->mutex);
        this->transfers.insert_or_assign(
            id, transfer{.body = std::move(body), .events = std::move(events)});
    }
    this->send_parts(id);
}

std::optional<outgoing_bodies::transfer> outgoing_bodies::take(const key& id) {
    std::lock_guard lock(this->mutex);
    auto found = this->transfers.extract(id);
    return found.empty() ? std::nullopt : std::optional(std::move(found.mapped()));
}

void outgoing_bodies::send_parts(const key& id) {
    while (true) {
        messages::body_part part{.sequence = id.second};
        {
            std::lock_guard lock(this->mutex);
            auto found = this->transfers.find(id);
            if (found == this->transfers.end()) {
                return;
            }
            transfer& state = found->second;
            if (state.sent == state.body->size() ||
                state.sent - state.confirmed >= this->window(id.first)) {
                return;
            }
            part.offset = state.sent;
            part.total = state.body->size();
            part.bytes = state.body->substr(state.sent, part_bytes);
            state.sent += part.bytes.size();
        }
        if (!this->link.send_body_message(id.first, part)) {
            if (auto ended = this->take(id)) {
                ended->events.failed(body_failure::not_sent);
            }
            return;
        }
    }
}

// The bodies on one connection share the window, so that other messages wait for few bytes.
std::size_t outgoing_bodies::window(transport::connection_id connection) const {
    auto sharing = std::distance(this->transfers.lower_bound({connection, 0}),
                                 this->transfers.lower_bound({connection + 1, 0}));
    return std::max(part_bytes, window_bytes / static_cast<std::size_t>(sharing));
}

void outgoing_bodies::on_progress(transport::connection_id connection,
                                  const messages::body_progress& progress) {
    key id{connection, progress.sequence};
    bool wanted = true;
    bool complete = false;
    {
        std::lock_guard lock(this->mutex);
        auto found = this->transfers.find(id);
        if (found == this->transfers.end()) {
            return;
        }
        transfer& state = found->second;
        state.confirmed =
            std::clamp(static_cast<std::size_t>(progress.received), state.confirmed, state.sent);
        complete = state.confirmed == state.body->size();
        wanted = state.events.wanted();
    }
    if (!wanted) {
        this->discard(id, false);
    } else if (!complete) {
        this->send_parts(id);
    } else if (auto ended = this->take(id)) {
        ended->events.arrived();
    }
}

void outgoing_bodies::on_refusal(transport::connection_id connection, std::uint64_t sequence) {
    if (auto ended = this->take({connection, sequence})) {
        ended->events.failed(body_failure::refused);
    }
}

void outgoing_bodies::discard(const key& id, bool failed) {
    auto ended = this->take(id);
    if (!ended.has_value()) {
        return;
    }
    this->link.send_body_message(id.first, messages::body_discard{.sequence = id.second});
    if (failed) {
        ended->events.failed(body_failure::not_sent);
    }
}

void outgoing_bodies::connection_lost(transport::connection_id connection) {
    std::vector<transfer> ended;
    {
        std::lock_guard lock(this->mutex);
        auto first = this->transfers.lower_bound({connection, 0});
        auto last = this->transfers.lower_bound({connection + 1, 0});
        for (auto each = first; each != last; ++each) {
            ended.push_back(std::move(each->second));
        }
        this->transfers.erase(first, last);
    }
    for (transfer& each : ended) {
        each.events.failed(body_failure::not_sent);
    }
}

void outgoing_bodies::expire(mono_time now) {
    std::vector<std::pair<key, bool>> ended;  // Whether the deadline has passed.
    {
        std::lock_guard lock(this->mutex);
        for (const auto& [id, each] : this->transfers) {
            bool expired = each.events.deadline <= now;
            if (expired || !each.events.wanted()) {
                ended.emplace_back(id, expired);
            }
        }
    }
    for (const auto& [id, expired] : ended) {
        this->discard(id, expired);
    }
}

void incoming_bodies::on_part(transport::connection_id connection, const messages::body_part& part,
                              mono_time now) {
    this->link.send_body_message(connection, this->add_part(connection, part, now));
}

// Returns the answer. A part of a body that was dropped is refused, because its sender waits.
messages::body_message incoming_bodies::add_part(transport::connection_id connection,
                                                 const messages::body_part& part, mono_time now) {
    std::lock_guard lock(this->mutex);
    key id{connection, part.sequence};
    auto found = this->assemblies.find(id);
    if (found == this->assemblies.end()) {
        if (part.offset != 0) {
            return messages::body_refusal{.sequence = part.sequence};
        }
        found = this->assemblies.try_emplace(id, this->account).first;
        found->second.total = part.total;
    }
    assembly& state = found->second;
    std::size_t size = state.bytes.size() + part.bytes.size();
    bool in_order = part.offset == state.bytes.size() && part.total == state.total &&
                    size <= state.total && !part.bytes.empty();
    // The whole body must have room, so that a sender does not send most of it in vain.
    bool fits = this->account == nullptr || state.total <= this->account->largest_reservation();
    if (!in_order || !fits || !state.held.resize(size + assembly_overhead_bytes)) {
        if (this->account != nullptr) {
            this->account->count_refused_body();
        }
        this->assemblies.erase(found);
        return messages::body_refusal{.sequence = part.sequence};
    }
    if (state.bytes.empty()) {
        state.bytes.reserve(state.total);
    }
    state.bytes += part.bytes;
    state.last_part = now;
    return messages::body_progress{.sequence = part.sequence, .received = size};
}

void incoming_bodies::on_discard(transport::connection_id connection, std::uint64_t sequence) {
    std::lock_guard lock(this->mutex);
    this->assemblies.erase({connection, sequence});
}

void incoming_bodies::connection_lost(transport::connection_id connection) {
    std::lock_guard lock(this->mutex);
    this->assemblies.erase(this->assemblies.lower_bound({connection, 0}),
                           this->assemblies.lower_bound({connection + 1, 0}));
}

void incoming_bodies::expire(mono_time now) {
    std::lock_guard lock(this->mutex);
    std::erase_if(this->assemblies, [now](const auto& each) {
        return now - each.second.last_part > mono_duration(stall_limit);
    });
}

std::optional<std::string> incoming_bodies::take(transport::connection_id connection,
                                                 std::uint64_t sequence, std::uint64_t total) {
    std::lock_guard lock(this->mutex);
    auto found = this->assemblies.extract({connection, sequence});
    if (found.empty() || found.mapped().total != total || found.mapped().bytes.size() != total) {
        return std::nullopt;
    }
    return std::move(found.mapped().bytes);
}

}  // namespace trefoil::daemon
