// Implements the simulated follower with the times of the platform's real one.

#include "dissemination/testing/simulated_follower.h"

#include <algorithm>
#include <utility>

namespace trefoil::dissemination {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds watch_period{2500};
constexpr milliseconds series_pause{150};
constexpr milliseconds shortest_pause{100};
constexpr milliseconds longest_pause{1000};

}  // namespace

simulated_follower::simulated_follower(simulated_store& followed, random_source& source,
                                       mono_time start)
    : store(followed),
      random(source),
      phase(start + milliseconds(source.below(watch_period.count()))),
      next_call(start) {}

void simulated_follower::set_following(bool wanted) {
    if (std::exchange(this->following, wanted) != wanted) {
        this->loaded = false;
        this->watching = false;
        this->failures = 0;
    }
}

void simulated_follower::take_documents() {
    this->copy = this->store.documents;
    this->seen = this->store.version;
    this->contact = true;
    this->failures = 0;
}

void simulated_follower::fail(mono_time now) {
    this->watching = false;
    this->contact = false;
    milliseconds limit =
        std::min(longest_pause, shortest_pause * (1 << std::min(this->failures++, 10U)));
    this->next_call =
        now + limit / 2 +
        milliseconds(this->random.below(static_cast<std::uint64_t>(limit.count()) / 2));
}

void simulated_follower::call(mono_time now) {
    ++this->store.calls;
    if (this->refused || this->store.down) {
        this->fail(now);
    } else if (!this->loaded) {
        this->take_documents();
        this->loaded = true;
    } else {
        this->watching = true;
        while (this->phase <= now) {
            this->phase += watch_period;
        }
        this->watch_until = this->phase;
    }
}

void simulated_follower::end_call(mono_time now) {
    if (this->refused || this->store.down) {
        this->fail(now);
    } else if (this->store.version != this->seen) {
        this->watching = false;
        this->take_documents();
        this->next_call = now + series_pause;
    } else if (now >= this->watch_until) {
        this->watching = false;
        this->take_documents();
    }
}

std::optional<platform_answer> simulated_follower::answer_to(mono_time now,
                                                             const waiting_read& request) const {
    auto found = this->copy.find(request.name);
    if (found != this->copy.end() && found->second.revision > request.after) {
        return platform_document{found->second.revision, found->second.body};
    }
    if (this->following && now < request.until) {
        return std::nullopt;
    }
    if (!this->following || !this->contact || !this->loaded) {
        return platform_unavailable{};
    }
    if (found == this->copy.end()) {
        return platform_absent{};
    }
    return platform_unchanged{found->second.revision};
}

void simulated_follower::read(mono_time now, const read_document& request, reply answer) {
    waiting_read made{.name = request.name,
                      .after = request.after,
                      .until = now + request.wait,
                      .answer = std::move(answer)};
    auto result = this->answer_to(now, made);
    if (result.has_value()) {
        made.answer(*result);
    } else {
        this->waiting.push_back(std::move(made));
    }
}

void simulated_follower::step(mono_time now) {
    if (this->following && this->watching) {
        this->end_call(now);
    } else if (this->following && now >= this->next_call) {
        this->call(now);
    }
    for (waiting_read& each : std::exchange(this->waiting, {})) {
        auto result = this->answer_to(now, each);
        if (result.has_value()) {
            each.answer(*result);
        } else {
            this->waiting.push_back(std::move(each));
        }
    }
}

}  // namespace trefoil::dissemination
