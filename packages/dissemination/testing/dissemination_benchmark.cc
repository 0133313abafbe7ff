// Measures fleets of cores in simulated time: convergence of a change, control traffic, platform
// reads, confirmation, CPU time and memory. Each fleet size is also measured with the baseline in
// which every daemon watches the platform and none gossips.
//
// Usage: dissemination_benchmark [count...], or dissemination_benchmark undone: the cost of ways to
// find out that a change was undone

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <vector>

#include "dissemination/testing/fleet.h"
#include "dissemination/testing/undone_change.h"

namespace trefoil::dissemination {

namespace {

constexpr std::size_t body_bytes = 32768;
constexpr int changes = 5;

double quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto index = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    return values[index];
}

double mean(const std::vector<double>& values) {
    double sum = 0;
    for (double each : values) {
        sum += each;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

// Publishes changes of the base and returns the times in ms until each daemon held them.
std::vector<double> measure_convergence(fleet& subject) {
    std::vector<double> times;
    for (int change = 0; change < changes; ++change) {
        std::uint64_t revision = 10 + static_cast<std::uint64_t>(change);
        mono_time begin = subject.now();
        subject.publish("base", revision, std::string(body_bytes, 'a'));
        std::vector<bool> done(subject.size(), false);
        std::size_t left = subject.size();
        while (left > 0 && subject.now() - begin < milliseconds(60000)) {
            subject.run(milliseconds(5));
            for (std::size_t i = 0; i < subject.size(); ++i) {
                if (!done[i] && subject.held_revision(i, "base") == revision) {
                    done[i] = true;
                    --left;
                    times.push_back(
                        std::chrono::duration<double, std::milli>(subject.now() - begin).count());
                }
            }
        }
        subject.run(milliseconds(3000));
    }
    return times;
}

// Returns the percentage of (daemon, 100 ms) samples in which the daemon is unconfirmed.
double unconfirmed_share(fleet& subject, milliseconds duration) {
    std::size_t samples = 0;
    std::size_t unconfirmed = 0;
    for (milliseconds passed{0}; passed < duration; passed += milliseconds(100)) {
        subject.run(milliseconds(100));
        for (std::size_t i = 0; i < subject.size(); ++i) {
            ++samples;
            unconfirmed += subject.confirmed(i) ? 0 : 1;
        }
    }
    return 100.0 * static_cast<double>(unconfirmed) / static_cast<double>(samples);
}

void measure(std::size_t count, bool baseline) {
    fleet_options options{.count = count, .seed = 1, .measure_cpu = true};
    options.domains = count > 500 ? 10 : 4;
    options.sites = count > 500 ? 3 : 1;
    if (baseline) {
        options.core.gossip = false;
        options.core.readers_per_domain = count;
    }
    std::size_t memory_before = mallinfo2().uordblks;
    fleet subject(options);
    subject.publish("base", 2, std::string(body_bytes, 'a'));
    for (std::size_t site = 0; site < options.sites; ++site) {
        subject.publish("site/s" + std::to_string(site), 2, "good");
    }
    subject.publish_list(2);
    auto is_ready = [&](std::size_t i) { return subject.at(i).ready(); };
    auto start = subject.run_until_all(is_ready, milliseconds(30000));
    subject.run(milliseconds(15000));

    subject.tick_us.clear();
    subject.digest_us.clear();
    std::uint64_t bytes = subject.bytes_sent;
    std::uint64_t reads = subject.platform.reads;
    constexpr double seconds = 20;
    double unconfirmed = unconfirmed_share(subject, milliseconds(20000));
    double daemons = static_cast<double>(count);
    double byte_rate = static_cast<double>(subject.bytes_sent - bytes) / seconds / daemons;
    double read_rate = static_cast<double>(subject.platform.reads - reads) / seconds;
    std::vector<double> ticks = std::move(subject.tick_us);
    std::vector<double> digests = std::move(subject.digest_us);
    double memory = static_cast<double>(mallinfo2().uordblks - memory_before) / daemons / 1024;

    std::vector<double> times = measure_convergence(subject);
    subject.platform.down = true;
    subject.run(milliseconds(6000));
    bytes = subject.bytes_sent;
    double down = unconfirmed_share(subject, milliseconds(20000));
    double down_rate = static_cast<double>(subject.bytes_sent - bytes) / seconds / daemons;
    fmt::print(
        "{:>5} {:>8} {:>8} {:>6.0f} {:>6.0f} {:>6.0f} {:>8.0f} {:>8.1f} {:>7.2f} {:>7.2f} {:>8.0f} "
        "{:>6.1f} {:>6.1f} {:>6.1f} {:>6.1f} {:>7.0f}\n",
        count, baseline ? "watch" : "gossip", start.count(), quantile(times, 0.5),
        quantile(times, 0.99), quantile(times, 1), byte_rate, read_rate, unconfirmed, down,
        down_rate, mean(ticks), quantile(ticks, 0.99), mean(digests), quantile(digests, 0.99),
        memory);
    std::fflush(stdout);
}

}  // namespace

}  // namespace trefoil::dissemination

namespace trefoil::dissemination {

namespace {

void print_undone_changes() {
    struct way {
        const char* name;
        bool new_revision_at_each_load;
        bool every_daemon_follows;
    };
    for (const auto& [daemons, domains] : {std::pair<std::size_t, std::size_t>{20, 2}, {195, 6}}) {
        for (const way& each : {way{"contents are compared", false, false},
                                way{"each load is a new revision", true, false},
                                way{"every daemon follows the store", false, true}}) {
            undone_change_result result =
                play({.daemons = daemons,
                      .domains = domains,
                      .new_revision_at_each_load = each.new_revision_at_each_load,
                      .every_daemon_follows = each.every_daemon_follows});
            fmt::print(
                "{} daemons, {}: held after {} ms; in 9 s {} bytes, {} calls, {} probes; calm {} "
                "bytes, {} calls, {} probes\n",
                daemons, each.name, result.time_ms, result.lost.bytes, result.lost.calls,
                result.lost.probes, result.calm.bytes, result.calm.calls, result.calm.probes);
        }
    }
}

}  // namespace

}  // namespace trefoil::dissemination

int main(int argc, char** argv) {
    if (argc == 2 && std::string_view(argv[1]) == "undone") {
        trefoil::dissemination::print_undone_changes();
        return 0;
    }
    std::vector<std::size_t> counts;
    for (int i = 1; i < argc; ++i) {
        counts.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (counts.empty()) {
        counts = {10, 40, 120, 1400};
    }
    fmt::print(
        "start_ms: all ready; p50, p99, last: ms until a change of {} bytes is held; B/s: encoded "
        "bytes sent by a daemon;\nreads/s: at the platform; unc%: share of time unconfirmed; "
        "down: 6 to 26 s after the platform went down;\ntick, digest: processor time in us; "
        "KiB: memory of a core, its membership and its simulated network\n",
        trefoil::dissemination::body_bytes);
    fmt::print(
        "{:>5} {:>8} {:>8} {:>6} {:>6} {:>6} {:>8} {:>8} {:>7} {:>7} {:>8} {:>6} {:>6} {:>6} {:>6} "
        "{:>7}\n",
        "count", "mode", "start_ms", "p50", "p99", "last", "B/s", "reads/s", "unc%", "dn_unc%",
        "dn_B/s", "tick", "t_p99", "digest", "d_p99", "KiB");
    for (std::size_t count : counts) {
        trefoil::dissemination::measure(count, false);
        trefoil::dissemination::measure(count, true);
    }
    return 0;
}
