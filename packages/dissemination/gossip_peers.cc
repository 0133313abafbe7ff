// Implements the selection and the rotation of gossip peers.

#include "dissemination/gossip_peers.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trefoil::dissemination {

namespace {

constexpr milliseconds attempt_timeout{5000};
constexpr milliseconds min_retry_delay{100};
constexpr milliseconds max_retry_delay{5000};
// A released connection over which the peer sent a digest request this recently is left open.
constexpr milliseconds peer_use_timeout{10000};
// Number of list entries that one selection examines, to bound its cost with 1,400 entries.
constexpr std::size_t sample_size = 48;
// One selection in this many disregards the states, so that the two sides of a healed partition,
// which consider each other gone, reconnect.
constexpr std::uint64_t any_state_period = 4;
constexpr milliseconds unconfirmed_rotation_interval{2000};

bool contains(const std::vector<std::string>& list, const std::string& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

gossip_peers::gossip_peers(const core_options& settings, random_source& source, mono_time start)
    : options(settings), random(source), unconfirmed_rotate_at(start) {
    auto interval = static_cast<double>(mono_duration(settings.rotation_interval).count());
    // The first rotation is jittered, so that daemons that started together do not rotate together.
    this->rotate_at =
        start +
        mono_duration(static_cast<mono_duration::rep>(interval * (0.5 + this->random.uniform())));
}

void gossip_peers::on_connected(mono_time now, const membership::instance_record& peer,
                                const std::string& opened_address) {
    // Both sides may open a connection at the same time. The attempt of this side then ends with
    // the connection that the peer opened.
    auto own_attempt = this->attempts.find(peer.address);
    bool opened_here = !opened_address.empty() ||
                       (own_attempt != this->attempts.end() && own_attempt->second.running);
    connection& entry = this->open_connections[peer.id];
    entry.record = peer;
    entry.opened_here = entry.opened_here || opened_here;
    entry.last_request_at = opened_here ? entry.last_request_at : now;
    if (opened_here) {
        auto found = this->attempts.find(opened_address);
        if (found != this->attempts.end() && found->second.id.empty()) {
            this->from_seeds.push_back(peer.id);
        }
        this->attempts.erase(opened_address);
        this->attempts.erase(peer.address);
        if (!contains(this->selected, peer.id) && !this->is_reader(peer.id)) {
            this->selected.push_back(peer.id);
        }
    }
}

void gossip_peers::on_disconnected(const std::string& peer) {
    this->open_connections.erase(peer);
    std::erase(this->selected, peer);
    std::erase(this->from_seeds, peer);
    std::erase(this->released, peer);
}

void gossip_peers::on_connect_failed(mono_time now, const std::string& address) {
    attempt& entry = this->attempts[address];
    entry.running = false;
    entry.failures = std::min(entry.failures + 1, 16U);
    milliseconds limit = std::min(min_retry_delay * (1U << (entry.failures - 1)), max_retry_delay);
    entry.retry_at =
        now + milliseconds(this->random.below(static_cast<std::uint64_t>(limit.count()) + 1));
}

void gossip_peers::record_peer_use(mono_time now, const std::string& peer) {
    auto found = this->open_connections.find(peer);
    if (found != this->open_connections.end()) {
        found->second.last_request_at = now;
    }
}

std::vector<std::string> gossip_peers::partners(mono_time now) const {
    std::vector<std::string> gossip_partners;
    for (const auto& [id, entry] : this->open_connections) {
        if (entry.last_request_at >= now - peer_use_timeout && !contains(this->selected, id)) {
            gossip_partners.push_back(id);
        }
    }
    // The iteration order of the map is not deterministic.
    std::sort(gossip_partners.begin(), gossip_partners.end());
    gossip_partners.insert(gossip_partners.begin(), this->selected.begin(), this->selected.end());
    return gossip_partners;
}

std::size_t gossip_peers::running_attempts() const {
    return static_cast<std::size_t>(
        std::count_if(this->attempts.begin(), this->attempts.end(), [this](const auto& item) {
            return item.second.running && !this->is_reader(item.second.id);
        }));
}

bool gossip_peers::is_reader(const std::string& id) const {
    return std::any_of(this->readers.begin(), this->readers.end(),
                       [&](const auto& each) { return each->id == id; });
}

void gossip_peers::set_readers(
    const std::vector<std::shared_ptr<const membership::instance_record>>& next) {
    auto previous = std::exchange(this->readers, next);
    for (const auto& each : previous) {
        bool unused = !this->is_reader(each->id) && this->open_connections.contains(each->id) &&
                      !contains(this->selected, each->id) && !contains(this->released, each->id);
        if (unused) {
            this->released.push_back(each->id);
        }
    }
}

std::vector<std::string> gossip_peers::connected_readers() const {
    std::vector<std::string> result;
    for (const auto& each : this->readers) {
        if (this->open_connections.contains(each->id)) {
            result.push_back(each->id);
        }
    }
    return result;
}

bool gossip_peers::may_open(mono_time now, const std::string& address) const {
    auto found = this->attempts.find(address);
    return found == this->attempts.end() ||
           (!found->second.running && now >= found->second.retry_at);
}

void gossip_peers::open_readers(mono_time now, std::vector<action>& actions) {
    for (const auto& each : this->readers) {
        if (!this->open_connections.contains(each->id) && this->may_open(now, each->address)) {
            this->start_attempt(now, each->address, each->id, actions);
        }
    }
}

gossip_peers::requirements gossip_peers::unmet_requirements(const membership::view& current) const {
    std::size_t outside = 0;
    std::size_t in_site = 0;
    auto count = [&](const membership::instance_record& record) {
        outside += record.failure_domain != this->options.failure_domain ? 1 : 0;
        in_site += record.site == this->options.site ? 1 : 0;
    };
    for (const std::string& id : this->selected) {
        count(this->open_connections.at(id).record);
    }
    for (const auto& [address, entry] : this->attempts) {
        const membership::member* target = entry.running ? current.find(entry.id) : nullptr;
        if (target != nullptr) {
            count(*target->record);
        }
    }
    std::size_t half = (this->options.gossip_peer_count + 1) / 2;
    // One peer may belong to another site.
    std::size_t site_share = std::max(half, this->options.gossip_peer_count - 1);
    return {.outside_domain = outside < half, .own_site = in_site < site_share};
}

bool gossip_peers::eligible(mono_time now, const membership::instance_record& record) const {
    if (record.id == this->options.instance || record.address == this->options.address ||
        contains(this->selected, record.id) || this->is_reader(record.id)) {
        return false;
    }
    return this->may_open(now, record.address);
}

const membership::member* gossip_peers::pick_candidate(mono_time now,
                                                       const membership::view& current,
                                                       bool any_state) {
    const std::vector<membership::member>& members = current.listed();
    if (members.empty()) {
        return nullptr;
    }
    requirements unmet = this->unmet_requirements(current);
    any_state = any_state || this->random.below(any_state_period) == 0;
    bool all = members.size() <= sample_size;
    std::size_t offset = this->random.below(members.size());
    const membership::member* best = nullptr;
    int best_score = -1;
    for (std::size_t i = 0; i < std::min(sample_size, members.size()); ++i) {
        std::size_t index =
            all ? (offset + i) % members.size() : this->random.below(members.size());
        const membership::member& candidate = members[index];
        if (!this->eligible(now, *candidate.record)) {
            continue;
        }
        int score = 0;
        score += any_state || candidate.state == membership::instance_state::live ? 4 : 0;
        score += !unmet.outside_domain ||
                         candidate.record->failure_domain != this->options.failure_domain
                     ? 2
                     : 0;
        score += !unmet.own_site || candidate.record->site == this->options.site ? 1 : 0;
        if (score > best_score) {
            best = &candidate;
            best_score = score;
        }
    }
    return best;
}

void gossip_peers::start_attempt(mono_time now, const std::string& address, const std::string& id,
                                 std::vector<action>& actions) {
    attempt& entry = this->attempts[address];
    entry.id = id;
    entry.running = true;
    entry.started_at = now;
    actions.emplace_back(open_connection{.address = address});
}

void gossip_peers::open_seeds(mono_time now, std::vector<action>& actions) {
    std::size_t count = this->options.seeds.size();
    std::size_t offset = this->random.below(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (this->running_attempts() >= this->options.gossip_peer_count) {
            return;
        }
        const std::string& address = this->options.seeds[(offset + i) % count];
        auto found = this->attempts.find(address);
        bool waiting = found != this->attempts.end() &&
                       (found->second.running || now < found->second.retry_at);
        if (address != this->options.address && !waiting) {
            this->start_attempt(now, address, "", actions);
        }
    }
}

void gossip_peers::release_seeds() {
    // All daemons have the same few seeds. If they kept gossiping with them, the other daemons
    // would receive no requests, and their state would not spread.
    for (const std::string& id : std::exchange(this->from_seeds, {})) {
        if (std::erase(this->selected, id) != 0) {
            this->released.push_back(id);
        }
    }
}

void gossip_peers::release_one(const membership::view& current) {
    if (this->selected.size() <= this->options.gossip_peer_count) {
        return;
    }
    // The most recently selected peer stays. A peer of this failure domain is released first when
    // too few peers are outside it.
    std::size_t candidates = this->selected.size() - 1;
    std::size_t victim = this->random.below(candidates);
    if (this->unmet_requirements(current).outside_domain) {
        for (std::size_t i = 0; i < candidates; ++i) {
            if (this->open_connections.at(this->selected[i]).record.failure_domain ==
                this->options.failure_domain) {
                victim = i;
            }
        }
    }
    this->released.push_back(this->selected[victim]);
    this->selected.erase(this->selected.begin() + static_cast<std::ptrdiff_t>(victim));
}

void gossip_peers::close_released(mono_time now, std::vector<action>& actions) {
    std::erase_if(this->released, [&](const std::string& id) {
        const connection& entry = this->open_connections.at(id);
        if (contains(this->selected, id) || this->is_reader(id) || !entry.opened_here) {
            return true;
        }
        if (entry.last_request_at != mono_time::min() &&
            now - entry.last_request_at < peer_use_timeout) {
            return false;
        }
        actions.emplace_back(close_connection{.peer = id});
        return true;
    });
}

void gossip_peers::expire_attempts(mono_time now) {
    std::vector<std::string> expired;
    for (const auto& [address, entry] : this->attempts) {
        if (entry.running && now - entry.started_at > attempt_timeout) {
            expired.push_back(address);
        }
    }
    for (const std::string& address : expired) {
        this->on_connect_failed(now, address);
    }
    absl::erase_if(this->attempts, [&](const auto& item) {
        return !item.second.running && now - item.second.retry_at > 12 * max_retry_delay;
    });
}

void gossip_peers::tick(mono_time now, const membership::view& current, bool unconfirmed,
                        std::vector<action>& actions) {
    this->expire_attempts(now);
    std::size_t target = this->options.gossip_peer_count;
    if (!current.listed().empty()) {
        this->release_seeds();
    }
    if (unconfirmed && now >= this->unconfirmed_rotate_at) {
        this->rotate_at = std::min(this->rotate_at, now);
        this->unconfirmed_rotate_at = now + unconfirmed_rotation_interval;
    }
    if (now >= this->rotate_at) {
        // One additional peer is selected. Once it is connected, another one is released.
        ++target;
        if (this->selected.size() >= target || current.listed().size() <= target) {
            this->release_one(current);
            this->rotate_at = now + this->options.rotation_interval;
            --target;
        }
    }
    while (this->selected.size() + this->running_attempts() < target) {
        const membership::member* candidate = this->pick_candidate(now, current, unconfirmed);
        if (candidate == nullptr) {
            break;
        }
        const membership::instance_record& record = *candidate->record;
        if (this->open_connections.contains(record.id)) {
            this->selected.push_back(record.id);
        } else {
            this->start_attempt(now, record.address, record.id, actions);
        }
    }
    this->open_readers(now, actions);
    if (this->selected.empty() && this->readers.empty() && !this->options.seeds.empty()) {
        this->open_seeds(now, actions);
    }
    while (this->selected.size() > target) {
        this->release_one(current);
    }
    this->close_released(now, actions);
}

}  // namespace trefoil::dissemination
