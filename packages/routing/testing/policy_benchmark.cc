// Compares policies for the choice of upstreams, the concurrency limit and the queue in a
// simulation with model upstreams. It is not run as a test.
//
// Example:
//
//     build/packages/routing/policy_benchmark 1          # seed 1, summary of all policies
//     build/packages/routing/policy_benchmark 1 seconds  # and each second of the default

#include <fmt/format.h>

#include <cstdlib>
#include <utility>

#include "routing/testing/policy_simulation.h"

namespace trefoil::routing {

namespace {

constexpr std::array<std::pair<const char*, domain_failure>, 3> failures = {
    {{"killed", domain_failure::killed},
     {"silent", domain_failure::silent},
     {"upstream down", domain_failure::upstream_down}}};

void print_seconds(const simulation& run) {
    for (std::size_t second = 0; second < run.by_second.size(); ++second) {
        const tally& each = run.by_second.at(second);
        fmt::print("  second {:2}: calls {:5} served {:6.2f}% late {:5.2f}% refused {:5.2f}%\n",
                   second, each.calls, each.share(each.served), each.share(each.late),
                   each.share(each.refused));
    }
}

void print_failure(const site& where, const rules& with, const char* name, domain_failure failure,
                   std::uint64_t seed, bool every_second) {
    simulation run(where, with, {.failure = failure}, seed);
    run.run();
    tally all;
    double worst = 100;
    for (const tally& each : run.by_second) {
        all.calls += each.calls;
        all.served += each.served;
        all.late += each.late;
        all.refused += each.refused;
        worst = std::min(worst, each.share(each.served));
    }
    fmt::print(
        "{:9} {:20} {:13} served {:6.2f}% late {:5.2f}% refused {:5.2f}% worst second {:6.2f}% "
        "retries/call {:.4f} above capacity {}\n",
        where.name, with.name, name, all.share(all.served), all.share(all.late),
        all.share(all.refused), worst,
        static_cast<double>(run.retries) / static_cast<double>(all.calls), run.above_capacity());
    if (every_second) {
        print_seconds(run);
    }
}

void print_noise(const site& where, const rules& with, std::uint64_t seed) {
    simulation run(where, with, {.noise = 5}, seed);
    run.run();
    double worst = 100;
    for (std::size_t index = 1; index < workspaces; ++index) {
        const tally& each = run.by_workspace.at(index);
        worst = std::min(worst, each.share(each.served));
    }
    const tally& noisy = run.by_workspace[0];
    fmt::print("{:9} {:20} noisy         worst workspace {:6.2f}% noisy workspace {:6.2f}%\n",
               where.name, with.name, worst, noisy.share(noisy.served));
}

}  // namespace

}  // namespace trefoil::routing

int main(int count, char** arguments) {
    using namespace trefoil::routing;
    std::uint64_t seed = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    const std::array<site, 2> sites = {{{"hanbit", 4, 6, 12, microseconds(500), 0.55},
                                        {"guantera", 3, 9, 6, microseconds(1500), 0.55}}};
    const std::array<rules, 6> all_rules = {
        {{.name = "choice"},
         {.name = "round robin", .choice = choice_rule::round_robin},
         {.name = "least in flight", .choice = choice_rule::least_in_flight},
         {.name = "two without reports", .choice = choice_rule::two_without_reports},
         {.name = "fixed limit", .fixed_limit = true},
         {.name = "one FIFO queue", .fifo = true}}};
    for (const site& where : sites) {
        for (const rules& with : all_rules) {
            bool every_second = count > 2 && &with == &all_rules[0];
            for (const auto& [name, failure] : failures) {
                print_failure(where, with, name, failure, seed, every_second);
            }
            print_noise(where, with, seed);
        }
    }
    return 0;
}
