// Compares the decision to leave the failure domain with the comparison of all domains in each call
// and with calls that never leave, on the same load, and measures the time of a decision. It is not
// run as a test.
//
// Example:
//
//     build/packages/routing/domain_overflow_benchmark 1  # seed 1

#include <fmt/format.h>

#include <cmath>
#include <cstdlib>
#include <numbers>
#include <utility>

#include "routing/testing/overflow_simulation.h"

namespace trefoil::routing {

namespace {

constexpr double wave_period_s = 40;

double wave(std::size_t domain, double second, double mean, double height) {
    double phase = static_cast<double>(domain) / 3;
    return mean + height * std::sin(2 * std::numbers::pi * (second / wave_period_s + phase));
}

const std::vector<std::pair<std::string, overflow_load>>& loads() {
    static const std::vector<std::pair<std::string, overflow_load>> all = {
        {"low", {.demand = [](std::size_t, double) { return 0.45; }}},
        {"one full",
         {.demand = [](std::size_t domain, double) { return domain == 0 ? 1.4 : 0.4; }}},
        {"all full", {.demand = [](std::size_t, double) { return 1.2; }}},
        {"waves",
         {.demand = [](std::size_t domain,
                       double second) { return wave(domain, second, 0.7, 0.55); }}},
        {"waves, uneven domains",
         {.upstreams = {20, 12, 6},
          .demand = [](std::size_t domain,
                       double second) { return wave(domain, second, 0.65, 0.5); }}},
        {"domain lost and cold",
         {.demand = [](std::size_t, double) { return 0.55; },
          .events = {{15, 0, domain_event::lost}, {30, 0, domain_event::returns_cold}}}},
        {"domain taken out",
         {.demand = [](std::size_t, double) { return 0.55; },
          .events = {{15, 0, domain_event::taken_out}, {30, 0, domain_event::returns_cold}}}},
        {"small service",
         {.upstreams = {4, 4, 3},
          .daemons_per_domain = 9,
          .demand = [](std::size_t domain, double second) {
              return wave(domain, second, 0.7, 0.5);
          }}}};
    return all;
}

void compare(const std::string& name, const overflow_load& load, std::uint64_t seed) {
    const std::array<std::pair<const char*, std::optional<domain_overflow_options>>, 3> modes = {
        {{"compare all", std::nullopt},
         {"overflow", domain_overflow_options{}},
         {"never leave", domain_overflow_options{.limit = 0}}}};
    for (const auto& [mode, options] : modes) {
        overflow_simulation run(load, options, seed);
        run.run();
        overflow_tally all = run.all();
        double worst = 1;
        for (std::size_t second = 5; second + 5 < run.by_second.size(); second += 5) {
            overflow_tally window;
            for (std::size_t each = second; each < second + 5; ++each) {
                for (const auto& [domain, tally] : run.by_second[each]) {
                    window.add(tally);
                }
            }
            worst = std::min(worst, window.in_time_share());
        }
        fmt::print(
            "{:22} {:12} in time {:.4f} worst 5 s {:.4f} crossed {:.4f} attempts/call {:.3f}", name,
            mode, all.in_time_share(), worst, all.crossed_share(),
            overflow_tally::share(all.attempts, all.calls));
        for (const auto& [route, tally] : run.by_kind) {
            fmt::print(" {} {:.4f}", route, tally.in_time_share());
        }
        fmt::print("\n");
    }
}

// Time of a decision and a choice with reports of all upstreams, without and with overflow.
void measure(std::size_t upstreams) {
    seeded_random random(7);
    std::vector<candidate> all;
    load_table loads;
    mono_time now{std::chrono::hours(1)};
    for (std::size_t index = 0; index < upstreams; ++index) {
        all.push_back({.instance = "instance-" + std::to_string(index),
                       .failure_domain = "d" + std::to_string(index % 3)});
        loads.set_connected(all.back().instance, true);
        loads.on_report(all.back().instance,
                        {.running = static_cast<std::uint32_t>(random.below(12)),
                         .limit = 12,
                         .mean_service_us = 100000},
                        now);
    }
    auto list = std::make_shared<const candidate_list>(candidate_list::services{{"service", all}});
    upstream_picker picker({.failure_domain = "d0"});
    domain_overflow overflow({.failure_domain = "d0"});
    const pick_context context{.route = "r", .objective = std::chrono::milliseconds(300)};
    constexpr int calls = 100'000;
    auto time_of = [&](auto decide) {
        auto began = std::chrono::steady_clock::now();
        for (int call = 0; call < calls; ++call) {
            decide();
        }
        return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began)
                   .count() /
               calls;
    };
    const auto& candidates = list->of_service("service");
    double before = time_of([&] { picker.pick(candidates, {}, loads, context, now, random); });
    // 1,000 calls a second, so that the periodic updates are included.
    auto choose = [&] {
        now += std::chrono::milliseconds(1);
        auto target = overflow.choose({.service = "service", .objective = context.objective}, list,
                                      loads, now, random);
        picker.pick_among(candidates, *target.among, {}, loads, context, now, random);
    };
    double after = time_of(choose);
    fmt::print("{:5} upstreams: compare all {:.0f} ns, overflow {:.0f} ns\n", upstreams, before,
               after);
}

}  // namespace

}  // namespace trefoil::routing

int main(int count, char** arguments) {
    using namespace trefoil::routing;
    std::uint64_t seed = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    for (const auto& [name, load] : loads()) {
        compare(name, load, seed);
    }
    for (std::size_t upstreams : {40, 300, 1400}) {
        measure(upstreams);
    }
    return 0;
}
