// Implements the simulated follower with the intervals of the real store client.

#include "dissemination/testing/simulated_follower.h"

#include <algorithm>
#include <utility>

namespace trefoil::dissemination {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds watch_period{2500};
constexpr milliseconds event_pause{150};
constexpr milliseconds min_backoff{100};
constexpr milliseconds max_backoff{1000};

}  // namespace

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

void simulated_follower::copy_documents() {
    this->copy = this->store.documents;
    this->copied_version = this->store.version;
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
    if (this->refused || this->store.down) {
        this->fail(now);
    } else if (!this->loaded) {
        this->start_copy(now);
    } else {
        this->watching = true;
        while (this->watch_phase <= now) {
            this->watch_phase += watch_period;
        }
        this->watch_until = this->watch_phase;
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
    this->copy_documents();
    if (this->loaded) {
        this->next_call = now + event_pause;
    }
    this->loaded = true;
}

void simulated_follower::end_call(mono_time now) {
    if (this->refused || this->store.down) {
        this->fail(now);
    } else if (this->store.version != this->copied_version) {
        this->watching = false;
        this->start_copy(now);
    } else if (now >= this->watch_until) {
        this->watching = false;
        this->copy_documents();
    }
}

std::optional<platform_answer> simulated_follower::answer_to(mono_time now,
                                                             const pending_read& request) const {
    auto found = this->copy.find(request.name);
    if (found != this->copy.end() && found->second.revision > request.after) {
        return platform_document{found->second.revision, found->second.body};
    }
    if (this->following && now < request.until) {
        return std::nullopt;
    }
    if (!this->following || !this->reached_store || !this->loaded) {
        return platform_unavailable{};
    }
    if (found == this->copy.end()) {
        return platform_absent{};
    }
    return platform_unchanged{found->second.revision};
}

void simulated_follower::read(mono_time now, const read_document& request, reply answer) {
    pending_read made{.name = request.name,
                      .after = request.after,
                      .until = now + request.wait,
                      .answer = std::move(answer)};
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
