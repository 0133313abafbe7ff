// Compares rules for the choice of upstreams, for the concurrency limit and for the queue in one
// event loop with model upstreams. It does not run as a test.
//
// Example:
//
//     build/packages/routing/policy_benchmark 1          # seed 1, summary of all rules
//     build/packages/routing/policy_benchmark 1 seconds  # and one line per second for the choice

#include <fmt/format.h>

#include <cstdlib>

#include "routing/testing/policy_simulation.h"

namespace trefoil::routing {

namespace {

void print_run(const site& where, const rules& with, std::uint64_t seed, bool every_second) {
    simulation leaving(where, with, {.domain_leaves = true}, seed);
    leaving.run();
    tally all;
    double worst_second = 100;
    for (const tally& each : leaving.by_second) {
        all.calls += each.calls;
        all.served += each.served;
        all.late += each.late;
        all.refused += each.refused;
        worst_second = std::min(worst_second, each.share(each.served));
    }
    simulation noisy(where, with, {.noise = 5}, seed);
    noisy.run();
    double worst_workspace = 100;
    for (std::size_t index = 1; index < workspaces; ++index) {
        const tally& each = noisy.by_workspace.at(index);
        worst_workspace = std::min(worst_workspace, each.share(each.served));
    }
    fmt::print(
        "{:9} {:21} served {:6.2f}% late {:5.2f}% refused {:5.2f}% worst second {:6.2f}% "
        "retries/call {:.4f} above capacity {:6} | noisy: worst workspace {:6.2f}% own {:6.2f}%\n",
        where.name, with.name, all.share(all.served), all.share(all.late), all.share(all.refused),
        worst_second, static_cast<double>(leaving.retries) / static_cast<double>(all.calls),
        leaving.above_capacity(), worst_workspace,
        noisy.by_workspace[0].share(noisy.by_workspace[0].served));
    for (std::size_t second = 0; every_second && second < leaving.by_second.size(); ++second) {
        const tally& each = leaving.by_second.at(second);
        fmt::print("  second {:2}: calls {:5} served {:6.2f}% late {:5.2f}% refused {:5.2f}%\n",
                   second, each.calls, each.share(each.served), each.share(each.late),
                   each.share(each.refused));
    }
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
            print_run(where, with, seed, count > 2 && &with == &all_rules[0]);
        }
    }
    return 0;
}
