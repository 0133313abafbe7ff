// Demand limiters of a fleet with their collectors, joined by an in-memory exchange with a delay,
// for tests. Daemons can be cut off, killed and restarted.

#ifndef TREFOIL_ADMISSION_TESTING_DEMAND_FLEET_H_
#define TREFOIL_ADMISSION_TESTING_DEMAND_FLEET_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "admission/demand_collector.h"
#include "admission/demand_limiter.h"
#include "base/random.h"

namespace trefoil::admission {

struct demand_fleet_options {
    int daemons = 12;
    int domains = 3;
    workspace_limit limit{.workspace = "north", .rate = 60, .burst = 60};
    demand_limiter_options limiter = {};
    mono_duration delay = std::chrono::milliseconds(5);
    std::uint64_t seed = 1;
};

// Time moves in steps of 1 ms.
class demand_fleet {
public:
    explicit demand_fleet(const demand_fleet_options& given) : options(given), random(given.seed) {
        for (int i = 0; i < this->options.daemons; ++i) {
            this->nodes.push_back({.domain = "d" + std::to_string(i % this->options.domains)});
            this->restart(i);
        }
        for (int i = 0; i < this->options.daemons; ++i) {
            this->fleet[this->nodes[i].domain].insert(name(i));
        }
    }

    static std::string name(int index) { return "i" + std::to_string(index); }

    void restart(int index) {
        node& target = this->nodes[index];
        target.limiter = std::make_unique<demand_limiter>(this->options.limiter);
        target.limiter->set_limits({this->options.limit}, this->now);
        target.limiter->set_fleet_size(static_cast<std::uint32_t>(this->options.daemons));
        target.collector = std::make_unique<demand_collector>(target.domain);
        target.next_report = this->now + std::chrono::milliseconds(this->random.below(250));
    }

    // Messages between groups are lost.
    void set_group(int index, int group) { this->nodes[index].group = group; }
    void set_alive(int index, bool alive) { this->nodes[index].alive = alive; }

    bool call(int index) {
        bool admitted = std::holds_alternative<request_admitted>(
            this->nodes[index].limiter->try_admit(this->options.limit.workspace, this->now));
        if (admitted) {
            this->admissions.push_back(this->now);
        }
        return admitted;
    }

    void step() {
        this->now += std::chrono::milliseconds(1);
        while (!this->queue.empty() && this->queue.top().at <= this->now) {
            auto action = this->queue.top().action;
            this->queue.pop();
            action();
        }
        for (int i = 0; i < this->options.daemons; ++i) {
            if (this->nodes[i].alive && this->now >= this->nodes[i].next_report) {
                this->nodes[i].next_report = this->now + this->options.limiter.report_interval;
                this->report(i);
            }
        }
    }

    // Poisson arrivals at `per_second` spread over `targets`, for `duration`; returns how many were
    // refused of how many.
    std::pair<int, int> load(double per_second, const std::vector<int>& targets,
                             mono_duration duration) {
        int refused = 0;
        int calls = 0;
        mono_time end = this->now + duration;
        while (this->now < end) {
            this->step();
            if (this->random.uniform() < per_second / 1000) {
                int target = targets[this->random.below(targets.size())];
                if (!this->nodes[target].alive) {
                    continue;
                }
                ++calls;
                refused += this->call(target) ? 0 : 1;
            }
        }
        return {refused, calls};
    }

    // Most admissions in any time of the length `window`.
    std::size_t most_in(mono_duration window) const {
        std::size_t most = 0;
        std::deque<mono_time> recent;
        for (mono_time each : this->admissions) {
            recent.push_back(each);
            while (recent.front() <= each - window) {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
    }

    std::optional<demand_state> inspect(int index) {
        return this->nodes[index].limiter->inspect(this->options.limit.workspace, this->now);
    }

    std::vector<int> all() const {
        std::vector<int> list(static_cast<std::size_t>(this->options.daemons));
        std::iota(list.begin(), list.end(), 0);
        return list;
    }

    mono_time now = mono_time(std::chrono::hours(1));
    std::vector<mono_time> admissions;

private:
    struct node {
        std::string domain;
        std::unique_ptr<demand_limiter> limiter{};
        std::unique_ptr<demand_collector> collector{};
        mono_time next_report{};
        int group = 0;
        bool alive = true;
    };
    struct delivery {
        mono_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const delivery& other) const {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    // The first daemon of the domain that is alive and in the same group.
    int collector_of(const std::string& domain, int group) const {
        for (int i = 0; i < this->options.daemons; ++i) {
            const node& each = this->nodes[i];
            if (each.domain == domain && each.alive && each.group == group) {
                return i;
            }
        }
        return -1;
    }

    void send(int from, int to, std::function<void()> action) {
        this->queue.push({.at = this->now + this->options.delay,
                          .order = ++this->order,
                          .action = [this, from, to, action = std::move(action)] {
                              bool passes = this->nodes[to].alive &&
                                            this->nodes[from].group == this->nodes[to].group;
                              if (passes) {
                                  action();
                              }
                          }});
    }

    void report(int index) {
        node& self = this->nodes[index];
        auto report = self.limiter->report(this->now);
        int target = this->collector_of(self.domain, self.group);
        this->send(index, target, [this, index, target, report] {
            auto answer =
                this->nodes[target].collector->answer(name(index), report, this->fleet, this->now);
            this->send(target, index, [this, index, answer] {
                this->nodes[index].limiter->apply(answer, this->now);
            });
        });
        if (target != index) {
            return;
        }
        auto own = self.collector->own_domain(this->fleet, this->now);
        for (int i = 0; i < this->options.domains; ++i) {
            std::string domain = "d" + std::to_string(i);
            int other = this->collector_of(domain, self.group);
            if (domain != self.domain && other >= 0) {
                this->send(index, other, [this, other, own] {
                    this->nodes[other].collector->take(own, this->now);
                });
            }
        }
    }

    const demand_fleet_options options;
    seeded_random random;
    std::vector<node> nodes;
    fleet_domains fleet;
    std::priority_queue<delivery> queue;
    std::uint64_t order = 0;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TESTING_DEMAND_FLEET_H_
