// Simulates a fleet of demand limiters with their collectors and lenders for tests. Messages are
// exchanged in memory with delays and losses. Daemons can be partitioned, killed and restarted.

#ifndef TREFOIL_ADMISSION_TESTING_DEMAND_FLEET_H_
#define TREFOIL_ADMISSION_TESTING_DEMAND_FLEET_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "admission/demand_collector.h"
#include "admission/demand_limiter.h"
#include "admission/lender_client.h"
#include "admission/lender_handovers.h"
#include "base/random.h"
#include "messages/codec.h"

namespace trefoil::admission {

struct demand_fleet_options {
    int daemons = 12;
    int domains = 3;
    workspace_limit limit{.workspace = "north", .rate = 60, .burst = 60};
    std::vector<workspace_limit> limits = {};  // Used instead of `limit` unless empty.
    demand_limiter_options limiter = {};
    mono_duration delay = std::chrono::milliseconds(5);
    double loss = 0;  // Fraction of messages that are lost.
    // Delay until daemons learn about a change of the live daemons of their failure domain.
    mono_duration detection = std::chrono::milliseconds(1500);
    std::uint64_t seed = 1;
};

// Poisson arrivals of one workspace.
struct arrivals {
    std::string workspace;
    double per_second = 0;
};

struct call_counts {
    int refused = 0;
    int calls = 0;
    // Calls that a single bucket with the rate and burst of the workspace would refuse.
    int above_rate = 0;
};

// A token bucket that sees all calls of a workspace.
struct single_bucket {
    workspace_limit limit;
    double tokens = limit.burst;
    mono_time refilled_at{};

    bool take(mono_time now) {
        double gained = limit.rate * std::chrono::duration<double>(now - refilled_at).count();
        tokens = std::min(limit.burst, tokens + gained);
        refilled_at = now;
        bool admitted = tokens >= 1;
        tokens -= admitted ? 1 : 0;
        return admitted;
    }
};

// Simulated time advances in steps of 1 ms.
class demand_fleet {
public:
    explicit demand_fleet(const demand_fleet_options& given)
        : options(given), limits(given.limits), random(given.seed) {
        if (this->limits.empty()) {
            this->limits = {this->options.limit};
        }
        for (int i = 0; i < this->options.daemons; ++i) {
            this->nodes.push_back({.domain = "d" + std::to_string(i % this->options.domains)});
            this->fleet[this->nodes[i].domain].insert(name(i));
            this->indices[name(i)] = i;
        }
        for (int i = 0; i < this->options.daemons; ++i) {
            this->restart(i);
        }
        this->update_live_instances();
    }

    static std::string name(int index) { return "i" + std::to_string(index); }

    void restart(int index) {
        node& target = this->nodes[index];
        ++target.incarnation;
        target.limiter = std::make_unique<demand_limiter>(this->options.limiter);
        target.limiter->set_fleet({.daemons = static_cast<std::uint32_t>(this->options.daemons),
                                   .domains = static_cast<std::uint32_t>(this->options.domains),
                                   .index = static_cast<std::uint32_t>(index)});
        target.limiter->set_limits(this->limits, this->now);
        target.collector = std::make_unique<demand_collector>(target.domain);
        target.client = std::make_unique<lender_client>(name(index), this->random.next());
        target.handovers = std::make_unique<lender_handovers>();
        target.callbacks.clear();
        target.next_report = this->now + std::chrono::milliseconds(this->random.below(250));
        this->update_live_instances(index);
    }

    // Puts the daemon into a network partition. Messages between groups are lost.
    void set_group(int index, int group) {
        this->nodes[index].group = group;
        this->schedule(this->options.detection, [this] { this->update_live_instances(); });
    }
    void set_alive(int index, bool alive) {
        this->nodes[index].alive = alive;
        this->schedule(this->options.detection, [this] { this->update_live_instances(); });
    }

    // A planned stop: the daemon and the others of its failure domain learn about it immediately.
    void set_leaving(int index, bool leaving) {
        this->nodes[index].leaving = leaving;
        this->update_live_instances();
    }

    // Makes every second daemon of its failure domain consider the daemon dead, although messages
    // between them arrive.
    void set_suspected(int index, bool suspected) {
        this->nodes[index].suspected = suspected;
        this->update_live_instances();
    }

    void set_limits(const std::vector<workspace_limit>& next) {
        this->limits = next;
        for (node& each : this->nodes) {
            each.limiter->set_limits(next, this->now);
        }
    }

    // Sends a call to the daemon. `decided` receives the outcome, immediately or later, or never
    // when the daemon is restarted.
    void call(int index, const std::string& workspace, std::function<void(bool)> decided) {
        node& self = this->nodes[index];
        auto decision = self.limiter->try_admit(workspace, this->now);
        if (std::holds_alternative<request_needs_lender>(decision)) {
            std::uint64_t call = ++this->order;
            self.callbacks[call] = std::move(decided);
            this->send_lender_request(index, call, workspace,
                                      self.client->start(workspace, call, this->now));
            return;
        }
        this->count(workspace, decision);
        decided(std::holds_alternative<request_admitted>(decision));
    }

    // Sends a call whose outcome is known immediately. Requires a rate that does not use lenders.
    bool call(int index) {
        bool admitted = false;
        this->call(index, this->options.limit.workspace,
                   [&admitted](bool outcome) { admitted = outcome; });
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
            node& each = this->nodes[i];
            if (each.alive && this->now >= each.next_report) {
                each.next_report = this->now + this->options.limiter.report_interval;
                this->send_report(i);
            }
            if (each.alive && !each.callbacks.empty()) {
                this->expire_requests(i);
            }
            if (each.alive) {
                for (const held_request& late : each.handovers->expire(this->now)) {
                    this->decide_as_lender(i, late, false);
                }
            }
        }
    }

    // Sends calls with Poisson arrivals to random daemons of `targets` for `duration`. Then waits
    // for pending decisions, for the longest time that one can take.
    std::map<std::string, call_counts> load(const std::vector<arrivals>& traffic,
                                            const std::vector<int>& targets,
                                            mono_duration duration) {
        auto counts = std::make_shared<std::map<std::string, call_counts>>();
        std::map<std::string, single_bucket> ideal;
        for (const workspace_limit& each : this->limits) {
            ideal[each.workspace] = {.limit = each, .refilled_at = this->now};
        }
        mono_time end = this->now + duration;
        while (this->now < end) {
            this->step();
            for (const arrivals& each : traffic) {
                double due = each.per_second / 1000;
                for (double chance = this->random.uniform(); chance < due; due -= 1) {
                    int target = targets[this->random.below(targets.size())];
                    if (!this->nodes[target].alive) {
                        continue;
                    }
                    ++(*counts)[each.workspace].calls;
                    (*counts)[each.workspace].above_rate +=
                        ideal[each.workspace].take(this->now) ? 0 : 1;
                    this->call(target, each.workspace,
                               [counts, name = each.workspace](bool admitted) {
                                   (*counts)[name].refused += admitted ? 0 : 1;
                               });
                }
            }
        }
        constexpr int longest_decision_ms = 450;
        for (int i = 0; i < longest_decision_ms && this->has_undecided_calls(); ++i) {
            this->step();
        }
        return *counts;
    }

    std::pair<int, int> load(double per_second, const std::vector<int>& targets,
                             mono_duration duration) {
        const std::string& workspace = this->limits.front().workspace;
        auto counts = this->load({{workspace, per_second}}, targets, duration)[workspace];
        return {counts.refused, counts.calls};
    }

    // Maximum number of admissions in any interval of length `window`.
    std::size_t max_admissions_in(mono_duration window) const {
        return this->max_admissions_in(window, this->limits.front().workspace);
    }
    // Maximum number of admissions of `workspace` in any interval of length `window` that ends at
    // `from` or later.
    std::size_t max_admissions_in(mono_duration window, const std::string& workspace,
                                  mono_time from = mono_time::min()) const {
        std::size_t most = 0;
        std::deque<mono_time> recent;
        auto found = this->admissions.find(workspace);
        if (found == this->admissions.end()) {
            return 0;
        }
        for (mono_time each : found->second) {
            recent.push_back(each);
            while (recent.front() <= each - window) {
                recent.pop_front();
            }
            most = each >= from ? std::max(most, recent.size()) : most;
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
    std::map<std::string, std::vector<mono_time>> admissions;  // By workspace.
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;  // Encoded size; counted while `count_bytes` is set.
    bool count_bytes = false;

private:
    struct node {
        std::string domain;
        std::unique_ptr<demand_limiter> limiter{};
        std::unique_ptr<demand_collector> collector{};
        std::unique_ptr<lender_client> client{};
        std::unique_ptr<lender_handovers> handovers{};
        std::map<std::uint64_t, std::function<void(bool)>> callbacks{};  // By call number.
        mono_time next_report{};
        int incarnation = 0;
        int group = 0;
        bool alive = true;
        bool suspected = false;
        bool leaving = false;
    };
    struct delivery {
        mono_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const delivery& other) const {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    // The first daemon of the domain that is alive and in the group, or -1.
    int collector_of(const std::string& domain, int group) const {
        for (int i = 0; i < this->options.daemons; ++i) {
            const node& each = this->nodes[i];
            if (each.domain == domain && each.alive && each.group == group) {
                return i;
            }
        }
        return -1;
    }

    void schedule(mono_duration delay, std::function<void()> action) {
        this->queue.push(
            {.at = this->now + delay, .order = ++this->order, .action = std::move(action)});
    }

    void send(int from, int to, const messages::peer_message& message,
              std::function<void()> action) {
        if (from != to) {
            ++this->messages_sent;
            this->bytes_sent += this->count_bytes ? messages::encode(message).size() : 0;
        }
        if (from != to && this->random.uniform() < this->options.loss) {
            return;
        }
        int incarnation = this->nodes[to].incarnation;
        this->schedule(from == to ? mono_duration(0) : this->options.delay,
                       [this, from, to, incarnation, action = std::move(action)] {
                           const node& receiver = this->nodes[to];
                           bool passes = receiver.alive && receiver.incarnation == incarnation &&
                                         this->nodes[from].group == receiver.group;
                           if (passes) {
                               action();
                           }
                       });
    }

    bool has_undecided_calls() const {
        return std::any_of(this->nodes.begin(), this->nodes.end(),
                           [](const node& each) { return each.alive && !each.callbacks.empty(); });
    }

    // Updates the live instances that the daemon knows.
    void update_live_instances(int index) {
        node& self = this->nodes[index];
        std::vector<std::string> live;
        for (const std::string& each : this->fleet[self.domain]) {
            const node& other = this->nodes[this->indices[each]];
            bool suspects = other.suspected && index / this->options.domains % 2 == 1 &&
                            index != this->indices[each];
            bool seen = other.alive && other.group == self.group && !suspects;
            if (seen && !other.leaving) {
                live.push_back(each);
            }
        }
        self.client->set_instances(std::move(live));
    }
    void update_live_instances() {
        for (int i = 0; i < this->options.daemons; ++i) {
            this->update_live_instances(i);
        }
    }

    // An admission counts when the lender decides, even if the requesting daemon does not receive
    // the answer.
    void count(const std::string& workspace, const demand_decision& decision) {
        if (std::holds_alternative<request_admitted>(decision)) {
            this->admissions[workspace].push_back(this->now);
        }
    }

    void decide(int index, std::uint64_t call, bool admitted) {
        auto found = this->nodes[index].callbacks.find(call);
        if (found != this->nodes[index].callbacks.end()) {
            auto decided = std::move(found->second);
            this->nodes[index].callbacks.erase(found);
            decided(admitted);
        }
    }

    void send_lender_request(int index, std::uint64_t call, const std::string& workspace,
                             const lender_request& to_lender) {
        int lender = this->indices[to_lender.lender];
        if (lender == index) {
            this->decide_as_lender(index, {.workspace = workspace, .from = "", .round = call},
                                   true);
            return;
        }
        messages::token_request request{
            .round = to_lender.round, .workspace = workspace, .wanted_now = 1};
        held_request forwarded{
            .workspace = workspace, .from = name(index), .round = to_lender.round};
        this->send(index, lender, request,
                   [this, lender, forwarded] { this->decide_as_lender(lender, forwarded, true); });
    }

    // Decides as the lender. A request without a token may be held while a handover is pending.
    void decide_as_lender(int index, const held_request& request, bool may_hold) {
        node& self = this->nodes[index];
        if (auto headroom = self.limiter->start_lending(request.workspace, this->now)) {
            this->start_handover(index, *headroom);
        }
        auto decision = self.limiter->admit_as_lender(request.workspace, this->now);
        this->count(request.workspace, decision);
        bool admitted = std::holds_alternative<request_admitted>(decision);
        if (!admitted && may_hold && self.handovers->hold(request, this->now)) {
            return;
        }
        if (request.from.empty()) {
            this->decide(index, request.round, admitted);
            return;
        }
        int to = this->indices[request.from];
        messages::token_grant grant{
            .round = request.round, .workspace = request.workspace, .tokens = admitted ? 1.0 : 0.0};
        this->send(index, to, grant, [this, to, round = grant.round, admitted] {
            if (auto decided = this->nodes[to].client->on_answer(round)) {
                this->decide(to, *decided, admitted);
            }
        });
    }

    void start_handover(int index, const token_headroom& headroom) {
        auto to_lender = this->nodes[index].client->request_to_previous_lender(headroom.workspace);
        if (!to_lender.has_value()) {
            return;
        }
        this->nodes[index].handovers->start(to_lender->round, headroom.workspace, this->now);
        int previous = this->indices[to_lender->lender];
        messages::token_request request{.round = to_lender->round,
                                        .workspace = headroom.workspace,
                                        .wanted_prefetch = headroom.tokens};
        this->send(index, previous, request, [this, index, previous, request] {
            messages::token_grant grant{.round = request.round,
                                        .workspace = request.workspace,
                                        .tokens = this->nodes[previous].limiter->release_tokens(
                                            request.workspace, request.wanted_prefetch, this->now)};
            this->send(previous, index, grant, [this, index, grant] {
                node& receiver = this->nodes[index];
                if (auto completed = receiver.handovers->complete(grant.round, this->now)) {
                    receiver.limiter->add_tokens(completed->workspace, grant.tokens, this->now);
                    for (const held_request& each : completed->held) {
                        this->decide_as_lender(index, each, false);
                    }
                }
            });
        });
    }

    void expire_requests(int index) {
        node& self = this->nodes[index];
        for (const overdue_request& each : self.client->expire(this->now)) {
            if (each.next.has_value()) {
                this->send_lender_request(index, each.call, each.workspace, *each.next);
                continue;
            }
            auto decision = self.limiter->admit_without_lender(each.workspace, this->now);
            this->count(each.workspace, decision);
            this->decide(index, each.call, std::holds_alternative<request_admitted>(decision));
        }
    }

    void send_report(int index) {
        node& self = this->nodes[index];
        std::vector<std::string> own_workspaces;
        for (const std::string& each : self.limiter->lender_workspaces()) {
            if (self.client->is_lender(each, this->now)) {
                own_workspaces.push_back(each);
            }
        }
        for (const token_headroom& headroom :
             self.limiter->set_standby_workspaces(own_workspaces, this->now)) {
            this->start_handover(index, headroom);
        }
        auto report = self.limiter->make_report(this->now);
        int target = this->collector_of(self.domain, self.group);
        this->send(index, target, report, [this, index, target, report] {
            auto answer = this->nodes[target].collector->add_report(name(index), report,
                                                                    this->fleet, this->now);
            this->send(target, index, answer, [this, index, answer] {
                this->nodes[index].limiter->apply_totals(answer, this->now);
            });
        });
        if (target != index) {
            return;
        }
        auto own = self.collector->own_domain_demand(this->fleet, this->now);
        for (int i = 0; i < this->options.domains; ++i) {
            std::string domain = "d" + std::to_string(i);
            int other = this->collector_of(domain, self.group);
            if (domain != self.domain && other >= 0) {
                this->send(index, other, own, [this, other, own] {
                    this->nodes[other].collector->add_domain_demand(own, this->now);
                });
            }
        }
    }

    const demand_fleet_options options;
    std::vector<workspace_limit> limits;
    seeded_random random;
    std::map<std::string, int> indices;  // By instance.
    std::vector<node> nodes;
    fleet_domains fleet;
    std::priority_queue<delivery> queue;
    std::uint64_t order = 0;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_TESTING_DEMAND_FLEET_H_
