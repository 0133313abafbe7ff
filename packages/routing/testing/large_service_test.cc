// Tests of the choice among many upstreams by many ingresses. Each ingress rarely calls the same
// upstream twice, so its load data is seconds old.

#define BOOST_TEST_MODULE routing_large_service
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "routing/load_table.h"
#include "routing/upstream_picker.h"

namespace trefoil::routing {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t domains = 4;
constexpr std::size_t upstreams = 72;
constexpr std::size_t ingresses = 91;
constexpr std::uint32_t slots = 12;
constexpr mono_time origin{std::chrono::hours(1)};
constexpr auto one_way = milliseconds(10);
constexpr auto mean_time = milliseconds(300);
// Service times of the upstreams as multiples of the mean, assigned round robin.
constexpr std::array<double, 3> time_factors = {0.6, 1.0, 1.4};

struct outcome {
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t refused = 0;
    std::uint64_t crossed = 0;  // Attempts that went to another failure domain.

    double refused_share() const {
        return static_cast<double>(this->refused) / static_cast<double>(this->attempts);
    }
    double crossed_share() const {
        return static_cast<double>(this->crossed) / static_cast<double>(this->attempts);
    }
};

std::string domain_of(std::size_t index) {
    return "d" + std::to_string(index % domains);
}

// Calls arrive at random ingresses. An upstream refuses a call at once if no slot is free, and the
// call is then sent to another one.
class large_service {
public:
    large_service(double load, std::uint64_t seed) : random(seed) {
        for (std::size_t i = 0; i < upstreams; ++i) {
            this->candidates.push_back({.instance = std::to_string(i),
                                        .address = std::to_string(i),
                                        .failure_domain = domain_of(i)});
        }
        for (std::size_t i = 0; i < ingresses; ++i) {
            this->pickers.push_back(std::make_unique<upstream_picker>(
                upstream_picker_options{.failure_domain = domain_of(i)}));
            this->loads.push_back(std::make_unique<load_table>());
            for (const candidate& each : this->candidates) {
                this->loads.back()->set_connected(each.instance, true);
            }
        }
        this->running.resize(upstreams);
        this->per_second =
            load * upstreams * slots / std::chrono::duration<double>(mean_time).count();
    }

    outcome run() {
        this->arrive();
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        return this->counted;
    }

private:
    using tried_list = std::vector<std::string>;

    void after(mono_duration time, std::function<void()> event) {
        this->events.emplace(this->now + time, std::move(event));
    }

    mono_duration exponential(double mean_s) {
        std::chrono::duration<double> time(-std::log(1.0 - this->random.uniform()) * mean_s);
        return duration_cast<mono_duration>(time);
    }

    bool measured() const { return this->now >= origin + seconds(5); }

    void arrive() {
        if (this->now >= origin + seconds(15)) {
            return;
        }
        this->counted.calls += this->measured() ? 1 : 0;
        this->send(this->random.below(ingresses), {});
        this->after(this->exponential(1 / this->per_second), [this] { this->arrive(); });
    }

    void send(std::size_t ingress, tried_list tried) {
        pick_context context{.route = "read", .objective = milliseconds(800), .payload_kib = 0.2};
        auto found = this->pickers[ingress]->pick(this->candidates, tried, *this->loads[ingress],
                                                  context, this->now, this->random);
        const auto* picked = std::get_if<picked_upstream>(&found);
        if (picked == nullptr) {
            return;
        }
        std::size_t target = std::stoul(picked->chosen.instance);
        tried.push_back(picked->chosen.instance);
        this->loads[ingress]->on_call_sent(picked->chosen.instance, this->now);
        if (this->measured()) {
            ++this->counted.attempts;
            this->counted.crossed += domain_of(target) == domain_of(ingress) ? 0 : 1;
        }
        this->after(one_way,
                    [this, ingress, target, tried] { this->offer(ingress, target, tried); });
    }

    void offer(std::size_t ingress, std::size_t target, const tried_list& tried) {
        if (this->running[target] >= slots) {
            this->counted.refused += this->measured() ? 1 : 0;
            this->reply(ingress, target, [this, ingress, tried] { this->send(ingress, tried); });
            return;
        }
        ++this->running[target];
        double mean_s = std::chrono::duration<double>(mean_time).count();
        double fixed = mean_s * time_factors[target % time_factors.size()] / 2;
        auto took = this->exponential(fixed) +
                    duration_cast<mono_duration>(std::chrono::duration<double>(fixed));
        this->after(took, [this, ingress, target] {
            --this->running[target];
            this->reply(ingress, target, [] {});
        });
    }

    void reply(std::size_t ingress, std::size_t target, std::function<void()> then) {
        auto time = mean_time * time_factors[target % time_factors.size()];
        auto time_us =
            static_cast<std::uint32_t>(duration_cast<std::chrono::microseconds>(time).count());
        messages::load_report report{.running = this->running[target],
                                     .limit = slots,
                                     .service_us = time_us,
                                     .mean_service_us = time_us};
        this->after(one_way, [=, this, then = std::move(then)] {
            std::string name = std::to_string(target);
            this->loads[ingress]->on_call_ended(name);
            this->loads[ingress]->on_report(name, report, this->now);
            this->loads[ingress]->on_service_time(name, "read", duration_cast<mono_duration>(time),
                                                  2 * one_way);
            then();
        });
    }

    seeded_random random;
    double per_second = 0;
    mono_time now = origin;
    std::multimap<mono_time, std::function<void()>> events;
    std::vector<candidate> candidates;
    std::vector<std::unique_ptr<upstream_picker>> pickers;
    std::vector<std::unique_ptr<load_table>> loads;
    std::vector<std::uint32_t> running;
    outcome counted;
};

}  // namespace

// Guards against ingresses that all prefer the same instances of a large service and overload them
// while most others have free slots.
BOOST_AUTO_TEST_CASE(ingresses_of_a_large_service_do_not_overload_the_fastest_instances) {
    for (std::uint64_t seed : {1, 2, 3}) {
        outcome counted = large_service(0.45, seed).run();
        BOOST_TEST_MESSAGE("seed " << seed << ": " << counted.calls << " calls, "
                                   << counted.attempts << " attempts, " << counted.refused
                                   << " refused, " << counted.crossed << " crossed");
        BOOST_TEST(counted.calls > 10000U);
        BOOST_TEST(counted.refused_share() < 0.02);
        BOOST_TEST(counted.crossed_share() < 0.25);
    }
}

}  // namespace trefoil::routing
