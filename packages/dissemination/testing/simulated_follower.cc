// Implements the simulated follower with the intervals of the real store client.

#include "dissemination/testing/simulated_follower.h"

#include <algorithm>
#include <utility>

#include "dissemination/document_version.h"

namespace trefoil::dissemination {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds watch_period{2500};
constexpr milliseconds event_pause{150};
constexpr milliseconds min_backoff{100};
constexpr milliseconds max_backoff{1000};
constexpr milliseconds load_timeout{1500};
constexpr milliseconds watch_timeout_margin{700};
constexpr milliseconds probe_interval{400};

}  // namespace

std::uint64_t simulated_store::revision() const {
    std::uint64_t newest = 0;
    for (const auto& [name, document] : this->documents) {
        newest = std::max(newest, document.revision);
    }
    return newest;
}

simulated_follower::simulated_follower(simulated_store& followed, random_source& source,
                                       mono_time start)
    : store(followed),
      random(source),
      watch_phase(start + milliseconds(source.below(watch_period.count()))),
      next_call(start) {}

void simulated_follower::set_following(bool wanted) {
    if (std::exchange(this->following, wanted) != wanted) {
        this->loaded = false;
        this->watching = false;
        this->copied_at.reset();
        this->failures = 0;
    }
}

bool simulated_follower::is_served() const {
    return this->access == store_access::served && !this->store.down;
}

void simulated_follower::copy_documents(bool load) {
    std::uint64_t loaded_revision = this->store.revision();
    for (const auto& [name, entry] : this->store.documents) {
        simulated_store::entry& copied = this->copy[name];
        bool same = copied.revision != 0 && copied.checksum == entry.checksum;
        bool first_loaded = this->store.one_counter && load;
        if (same && this->store.one_counter && !this->store.renames_at_each_load) {
            continue;
        }
        copied = entry;
        copied.revision = first_loaded ? loaded_revision : entry.revision;
    }
    this->copied_version = this->store.version;
    this->copied_revision = loaded_revision;
    this->reached_store = true;
    this->failures = 0;
}

void simulated_follower::fail(mono_time now) {
    this->watching = false;
    this->reached_store = false;
    milliseconds limit =
        std::min(max_backoff, min_backoff * (1 << std::min(this->failures++, 10U)));
    this->next_call =
        now + limit / 2 +
        milliseconds(this->random.below(static_cast<std::uint64_t>(limit.count()) / 2));
}

void simulated_follower::call(mono_time now) {
    ++this->store.calls;
    if (!this->is_served() && this->access != store_access::ignored) {
        this->fail(now);
    } else if (!this->loaded && this->is_served()) {
        this->start_copy(now);
    } else {
        this->watching = true;
        while (this->watch_phase <= now) {
            this->watch_phase += watch_period;
        }
        this->watch_until = this->watch_phase;
        this->call_ends =
            this->loaded ? this->watch_until + watch_timeout_margin : now + load_timeout;
    }
}

// Shows while a watch is outstanding that the store still answers this daemon.
void simulated_follower::probe(mono_time now) {
    if (now - std::max(this->known_current, this->last_probe) < probe_interval) {
        return;
    }
    ++this->store.probes;
    this->last_probe = now;
    // A later revision shows that the watch has not returned a change yet.
    if (this->is_served() && this->loaded && this->copied_version == this->store.version) {
        this->known_current = now;
    }
}

void simulated_follower::start_copy(mono_time now) {
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_and_mbps = 1000;
    std::size_t bytes = 0;
    for (const auto& [name, entry] : this->store.documents) {
        auto held = this->copy.find(name);
        bool changed = held == this->copy.end() || held->second.revision != entry.revision;
        bytes += changed || !this->loaded ? entry.body.size() : 0;
    }
    double time_ms = this->link_mbps > 0 ? static_cast<double>(bytes) * bits_per_byte /
                                               (this->link_mbps * bits_per_ms_and_mbps)
                                         : 0;
    this->copied_at = now + milliseconds(static_cast<std::int64_t>(time_ms));
    this->finish_copy(now);
}

void simulated_follower::finish_copy(mono_time now) {
    if (now < *this->copied_at) {
        return;
    }
    this->copied_at.reset();
    this->copy_documents(!this->loaded);
    this->known_current = now;
    if (this->loaded) {
        this->next_call = now + event_pause;
    }
    this->loaded = true;
}

void simulated_follower::end_call(mono_time now) {
    if (this->access == store_access::ignored) {
        if (now >= this->call_ends) {
            this->fail(now);
        }
    } else if (!this->is_served()) {
        this->fail(now);
    } else if (this->store.version != this->copied_version) {
        this->watching = false;
        this->start_copy(now);
    } else if (now >= this->watch_until) {
        this->watching = false;
        this->copy_documents(false);
        this->known_current = now;
    }
}

std::optional<platform_answer> simulated_follower::answer_to(mono_time now,
                                                             const pending_read& pending) const {
    const read_document& request = pending.request;
    auto found = this->copy.find(request.name);
    if (found != this->copy.end()) {
        const auto& [name, entry] = *found;
        std::uint64_t read_revision = this->store.one_counter
                                          ? std::max(entry.revision, this->copied_revision)
                                          : entry.revision;
        read_origin origin{.revision = read_revision, .at = this->known_current};
        auto applied =
            apply_reading({.revision = request.after,
                           .checksum = request.checksum,
                           .read_revision = std::max(request.after, request.read_revision)},
                          {.version = {.revision = entry.revision,
                                       .checksum = entry.checksum,
                                       .read_revision = read_revision}});
        if (applied.outcome == reading_outcome::newer) {
            return platform_document{
                .revision = entry.revision, .body = entry.body, .origin = origin};
        }
        bool ends = now >= pending.begun + request.wait || this->known_current > pending.begun;
        if (this->following && !ends) {
            return std::nullopt;
        }
        if (this->following && this->reached_store && this->loaded) {
            return platform_unchanged{
                .revision = entry.revision, .checksum = entry.checksum, .origin = origin};
        }
        return platform_unavailable{};
    }
    if (this->following && now < pending.begun + request.wait) {
        return std::nullopt;
    }
    if (!this->following || !this->reached_store || !this->loaded) {
        return platform_unavailable{};
    }
    return platform_absent{};
}

void simulated_follower::read(mono_time now, const read_document& request, reply answer) {
    pending_read made{.request = request, .begun = now, .answer = std::move(answer)};
    auto result = this->answer_to(now, made);
    if (result.has_value()) {
        made.answer(*result);
    } else {
        this->pending_reads.push_back(std::move(made));
    }
}

void simulated_follower::step(mono_time now) {
    if (this->following && this->copied_at.has_value()) {
        this->finish_copy(now);
    } else if (this->following && this->watching) {
        this->probe(now);
        this->end_call(now);
    } else if (this->following && now >= this->next_call) {
        this->call(now);
    }
    for (pending_read& each : std::exchange(this->pending_reads, {})) {
        auto result = this->answer_to(now, each);
        if (result.has_value()) {
            each.answer(*result);
        } else {
            this->pending_reads.push_back(std::move(each));
        }
    }
}

}  // namespace trefoil::dissemination
