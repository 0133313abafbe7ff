// Implements the clock estimate with a sliding-window minimum of round trips.

#include "routing/clock_offset.h"

#include <algorithm>
#include <chrono>

namespace trefoil::routing {

namespace {

constexpr std::chrono::seconds sample_lifetime{10};

}  // namespace

void clock_offset::on_pong(const messages::pong& pong, mono_time now) {
    sample added{.ping_sent = from_microseconds(pong.echo_us),
                 .pong_received = now,
                 .peer_clock_us = pong.clock_us};
    if (added.ping_sent > now) {
        return;
    }
    std::lock_guard lock(this->mutex);
    while (!this->samples.empty() && this->samples.back().round_trip() >= added.round_trip()) {
        this->samples.pop_back();
    }
    this->samples.push_back(added);
    while (this->samples.front().pong_received + sample_lifetime < now) {
        this->samples.pop_front();
    }
}

std::variant<mono_time, no_clock_estimate> clock_offset::earliest_send(std::int64_t sent_us,
                                                                       mono_time now) const {
    std::lock_guard lock(this->mutex);
    for (const sample& each : this->samples) {
        if (each.pong_received + sample_lifetime >= now) {
            std::chrono::microseconds after(sent_us - each.peer_clock_us);
            return std::min(now, each.ping_sent + after);
        }
    }
    return no_clock_estimate{};
}

}  // namespace trefoil::routing
