// Implements the schedule of digest requests.

#include "dissemination/gossip_rounds.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

// A later reply carries no confirmation that is still useful.
constexpr milliseconds reply_timeout{5000};
constexpr milliseconds min_push_interval{200};
// While the platform confirmation is younger than this, one age vector a second is enough: the
// platform is up, and the vector serves only to detect which instances are alive.
constexpr milliseconds platform_lost_after{2500};

bool older_than(const std::optional<mono_time>& at, mono_time now, milliseconds limit) {
    return !at.has_value() || now - *at > limit;
}

}  // namespace

gossip_rounds::gossip_rounds(const core_options& settings, random_source& source, mono_time start)
    : options(settings),
      random(source),
      last_at(start - settings.round_interval),
      last_ages_at(start - settings.round_interval),
      last_reader_at(start - settings.reader_poll_interval) {}

std::optional<gossip_rounds::digest_request> gossip_rounds::next_request(
    mono_time now, const std::vector<std::string>& peers, std::optional<mono_time> confirmed_at,
    std::optional<mono_time> platform_confirmed_at) {
    bool fast = older_than(confirmed_at, now, this->options.fast_rounds_after);
    milliseconds interval = fast ? this->options.fast_round_interval : this->options.round_interval;
    auto wait = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(interval) *
                                                          this->jitter);
    if (peers.empty() || now - this->last_at < wait) {
        return std::nullopt;
    }
    // The interval starts at the due time, so that the owner's tick interval does not add to every
    // round. Rounds missed during a pause are not made up for.
    this->last_at = std::max(this->last_at + wait, now - interval / 2);
    // Jitter desynchronizes daemons that started together.
    this->jitter = 0.95 + 0.1 * this->random.uniform();
    digest_request result = this->start_round(now, peers[this->next_peer++ % peers.size()]);
    bool ages_due = now - this->last_ages_at >= this->options.round_interval * 0.9;
    result.wants_ages = ages_due || older_than(platform_confirmed_at, now, platform_lost_after);
    if (result.wants_ages) {
        this->last_ages_at = now;
    }
    return result;
}

std::optional<gossip_rounds::digest_request> gossip_rounds::next_reader_request(
    mono_time now, const std::vector<std::string>& readers, bool fast) {
    milliseconds interval = this->options.reader_poll_interval / (fast ? 2 : 1);
    auto wait = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(interval) *
                                                          this->reader_jitter);
    if (readers.empty() || now - this->last_reader_at < wait) {
        return std::nullopt;
    }
    this->last_reader_at = std::max(this->last_reader_at + wait, now - interval / 2);
    this->reader_jitter = 0.95 + 0.1 * this->random.uniform();
    digest_request result = this->start_round(now, readers[this->next_reader++ % readers.size()]);
    result.wants_ages = false;
    return result;
}

gossip_rounds::digest_request gossip_rounds::start_round(mono_time now, const std::string& peer) {
    std::erase_if(this->pending_requests, [&](const pending_request& each) {
        return now - each.requested_at > reply_timeout;
    });
    this->pending_requests.push_back(
        {.peer = peer, .round = ++this->last_round, .requested_at = now});
    return {.peer = peer, .round = this->last_round, .wants_ages = true};
}

std::optional<mono_time> gossip_rounds::finish_round(const std::string& peer, std::uint64_t round) {
    auto found = std::find_if(
        this->pending_requests.begin(), this->pending_requests.end(),
        [&](const pending_request& each) { return each.round == round && each.peer == peer; });
    if (found == this->pending_requests.end()) {
        return std::nullopt;
    }
    mono_time requested_at = found->requested_at;
    this->pending_requests.erase(found);
    return requested_at;
}

bool gossip_rounds::may_push_digest(mono_time now, const std::string& peer) {
    auto [found, inserted] = this->pushed_at.try_emplace(peer, now);
    if (!inserted && now - found->second < min_push_interval) {
        return false;
    }
    found->second = now;
    return true;
}

void gossip_rounds::on_disconnected(const std::string& peer) {
    this->pushed_at.erase(peer);
    std::erase_if(this->pending_requests,
                  [&](const pending_request& each) { return each.peer == peer; });
}

}  // namespace trefoil::dissemination
