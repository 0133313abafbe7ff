// Implements the times of digests.

#include "dissemination/gossip_rounds.h"

#include <algorithm>

namespace trefoil::dissemination {

namespace {

// A reply that comes later than this confirms nothing that is still useful.
constexpr milliseconds round_lifetime{5000};
constexpr milliseconds correction_interval{200};
// While a platform confirmation is younger than this, one age vector a second is enough: the
// platform is up, and the vector only tells which instances are alive.
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
      reader_asked_at(start - settings.reader_question_interval) {}

std::optional<gossip_rounds::question> gossip_rounds::due(
    mono_time now, const std::vector<std::string>& peers, std::optional<mono_time> confirmed_at,
    std::optional<mono_time> platform_confirmed_at) {
    bool hurry = older_than(confirmed_at, now, this->options.hurry_after);
    milliseconds interval = hurry ? this->options.hurried_interval : this->options.round_interval;
    auto wait = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(interval) *
                                                          this->jitter);
    if (peers.empty() || now - this->last_at < wait) {
        return std::nullopt;
    }
    // Counted from when the digest was due, so that the owner's tick interval does not add to every
    // round. After a pause the missed rounds are not made up for.
    this->last_at = std::max(this->last_at + wait, now - interval / 2);
    // Jitter keeps the rounds of daemons that started together apart.
    this->jitter = 0.95 + 0.1 * this->random.uniform();
    question result = this->ask(now, peers[this->next_peer++ % peers.size()]);
    bool ages_due = now - this->last_ages_at >= this->options.round_interval * 0.9;
    result.wants_ages = ages_due || older_than(platform_confirmed_at, now, platform_lost_after);
    if (result.wants_ages) {
        this->last_ages_at = now;
    }
    return result;
}

std::optional<gossip_rounds::question> gossip_rounds::due_reader(
    mono_time now, const std::vector<std::string>& readers, bool hurry) {
    milliseconds interval = this->options.reader_question_interval / (hurry ? 2 : 1);
    auto wait = std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(interval) *
                                                          this->reader_jitter);
    if (readers.empty() || now - this->reader_asked_at < wait) {
        return std::nullopt;
    }
    this->reader_asked_at = std::max(this->reader_asked_at + wait, now - interval / 2);
    this->reader_jitter = 0.95 + 0.1 * this->random.uniform();
    question result = this->ask(now, readers[this->next_reader++ % readers.size()]);
    result.wants_ages = false;
    return result;
}

gossip_rounds::question gossip_rounds::ask(mono_time now, const std::string& peer) {
    std::erase_if(this->sent,
                  [&](const pending& each) { return now - each.asked_at > round_lifetime; });
    this->sent.push_back({.peer = peer, .round = ++this->last_round, .asked_at = now});
    return {.peer = peer, .round = this->last_round, .wants_ages = true};
}

std::optional<mono_time> gossip_rounds::take(const std::string& peer, std::uint64_t round) {
    auto found = std::find_if(this->sent.begin(), this->sent.end(), [&](const pending& each) {
        return each.round == round && each.peer == peer;
    });
    if (found == this->sent.end()) {
        return std::nullopt;
    }
    mono_time asked_at = found->asked_at;
    this->sent.erase(found);
    return asked_at;
}

bool gossip_rounds::may_correct(mono_time now, const std::string& peer) {
    auto [found, inserted] = this->corrected_at.try_emplace(peer, now);
    if (!inserted && now - found->second < correction_interval) {
        return false;
    }
    found->second = now;
    return true;
}

void gossip_rounds::disconnected(const std::string& peer) {
    this->corrected_at.erase(peer);
    std::erase_if(this->sent, [&](const pending& each) { return each.peer == peer; });
}

}  // namespace trefoil::dissemination
