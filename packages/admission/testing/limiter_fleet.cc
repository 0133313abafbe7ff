// Implements the simulated fleet of rate limiters.

#include "admission/testing/limiter_fleet.h"

#include <algorithm>
#include <utility>

#include "messages/codec.h"

namespace trefoil::admission {

namespace {

constexpr mono_duration step_length = std::chrono::milliseconds(1);
constexpr std::uint64_t steps_per_tick = 10;

}  // namespace

double largest_excess(std::vector<mono_time> times, double rate, double burst) {
    std::sort(times.begin(), times.end());
    double level = burst;
    double lowest = 0;
    mono_time last = times.empty() ? mono_time() : times.front();
    for (mono_time time : times) {
        double seconds = std::chrono::duration<double>(time - last).count();
        level = std::min(burst, level + rate * seconds) - 1;
        last = time;
        lowest = std::min(lowest, level);
    }
    return -lowest;
}

limiter_fleet::limiter_fleet(const fleet_options& settings)
    : options(settings), random(settings.seed) {
    this->nodes.resize(settings.instances);
    this->next_incarnation = settings.seed * 1000000;
    for (int i = 0; i < settings.instances; ++i) {
        this->nodes[i].name = "instance-" + std::to_string(i);
        this->index[this->nodes[i].name] = i;
    }
    for (node& item : this->nodes) {
        item.view = this->names();
        this->start(item);
    }
}

void limiter_fleet::start(node& item) {
    double error = this->options.max_clock_drift;
    item.clock_rate = 1 + error * (2 * this->random.uniform() - 1);
    item.clock_base = mono_time(std::chrono::seconds(this->random.below(100000) + 1));
    item.clock_base -= std::chrono::duration_cast<mono_duration>(this->true_now.time_since_epoch() *
                                                                 item.clock_rate);
    item.stale_clock = mono_time();
    limit_options limits{.incarnation = ++this->next_incarnation, .faults = this->options.faults};
    item.limiter = std::make_unique<rate_limiter>(limits, this->clock(item));
    item.limiter->set_members(item.name, item.view);
    item.limiter->set_limits(this->options.limits, this->options.max_instances, this->clock(item));
}

mono_time limiter_fleet::clock(const node& item) const {
    return item.clock_base + std::chrono::duration_cast<mono_duration>(
                                 this->true_now.time_since_epoch() * item.clock_rate);
}

void limiter_fleet::step() {
    this->true_now += step_length;
    ++this->steps;
    this->deliver_due();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        int instance = static_cast<int>(i);
        if ((this->steps + i) % steps_per_tick != 0 || this->paused(instance)) {
            continue;
        }
        limiter_output out;
        this->nodes[i].limiter->tick(this->clock(this->nodes[i]), out);
        this->apply_output(instance, out);
    }
}

void limiter_fleet::deliver_due() {
    while (!this->queue.empty() && this->queue.top().time <= this->true_now) {
        delivery next = this->queue.top();
        this->queue.pop();
        if (this->paused(next.to)) {
            // The message waits in the receiver's socket buffer.
            next.time = this->nodes[next.to].paused_until;
            this->queue.push(std::move(next));
            continue;
        }
        node& receiver = this->nodes[next.to];
        mono_time time = this->clock(receiver);
        if (receiver.stale_clock != mono_time()) {
            time = std::exchange(receiver.stale_clock, mono_time());
        }
        limiter_output out;
        receiver.limiter->on_message(this->nodes[next.from].name, next.message, time, out);
        this->apply_output(next.to, out);
    }
}

admit_result limiter_fleet::call(int instance, const std::string& workspace) {
    std::uint64_t id = this->next_call++;
    node& item = this->nodes.at(instance);
    limiter_output out;
    ++this->total.calls;
    admit_result result = item.limiter->try_admit(workspace, id, this->clock(item), out);
    if (result == admit_result::admitted) {
        this->admitted[workspace].push_back(this->true_now);
    } else if (result == admit_result::wait) {
        ++this->total.waited;
        this->waiting[id] = workspace;
    } else {
        ++this->total.refused;
    }
    this->apply_output(instance, out);
    return result;
}

void limiter_fleet::apply_output(int from, limiter_output& out) {
    for (const wait_decision& decision : out.decisions) {
        auto found = this->waiting.find(decision.call);
        if (decision.admitted) {
            this->admitted[found->second].push_back(this->true_now);
        } else {
            ++this->total.refused;
        }
        this->waiting.erase(found);
        if (this->on_decision) {
            this->on_decision(decision);
        }
    }
    this->send(from, out);
}

void limiter_fleet::send(int from, limiter_output& out) {
    for (const outgoing_message& each : out.messages) {
        auto target = this->index.find(each.to);
        if (target == this->index.end()) {
            continue;
        }
        ++this->total.messages;
        if (this->options.measure_bytes) {
            std::uint64_t size = messages::encode(each.message).size();
            this->nodes[from].bytes += size;
            this->nodes[target->second].bytes += size;
        }
        this->enqueue(from, target->second, each.message);
        if (this->random.uniform() < this->options.duplication) {
            this->enqueue(from, target->second, each.message);
        }
    }
}

void limiter_fleet::enqueue(int from, int to, const messages::peer_message& message) {
    if (this->random.uniform() < this->options.loss ||
        this->nodes[from].group != this->nodes[to].group) {
        return;
    }
    mono_duration delay = this->options.delay;
    delay += mono_duration(this->random.below(this->options.jitter.count() + 1));
    if (this->random.uniform() < this->options.extra_delay_probability) {
        delay += mono_duration(this->random.below(this->options.max_extra_delay.count() + 1));
    }
    this->queue.push({.time = this->true_now + delay,
                      .order = this->next_order++,
                      .from = from,
                      .to = to,
                      .message = message});
}

void limiter_fleet::pause(int instance, mono_time until, bool stale) {
    node& item = this->nodes.at(instance);
    item.paused_until = until;
    item.stale_clock = stale ? this->clock(item) : mono_time();
}

bool limiter_fleet::paused(int instance) const {
    return this->true_now < this->nodes.at(instance).paused_until;
}

void limiter_fleet::restart(int instance) {
    node& item = this->nodes.at(instance);
    item.paused_until = mono_time();
    this->start(item);
}

void limiter_fleet::set_view(int instance, const std::vector<std::string>& live) {
    node& item = this->nodes.at(instance);
    item.view = live;
    item.limiter->set_members(item.name, live);
}

void limiter_fleet::set_group(int instance, int group) {
    this->nodes.at(instance).group = group;
}

std::vector<std::string> limiter_fleet::names() const {
    std::vector<std::string> all;
    all.reserve(this->nodes.size());
    for (const node& item : this->nodes) {
        all.push_back(item.name);
    }
    return all;
}

const std::vector<mono_time>& limiter_fleet::admissions(const std::string& workspace) {
    return this->admitted[workspace];
}

double limiter_fleet::excess(const std::string& workspace) {
    for (const workspace_limit& limit : this->options.limits) {
        if (limit.workspace == workspace) {
            return largest_excess(this->admitted[workspace], limit.rate, limit.burst);
        }
    }
    return 0;
}

}  // namespace trefoil::admission
