// Tests of dissemination where daemons mirror a store: what a fleet of 91 daemons in 4 domains asks
// the store, and how soon everyone has a change, on a calm day and with faults.

#define BOOST_TEST_MODULE dissemination_mirrored_platform
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "dissemination/testing/fleet.h"

namespace trefoil::dissemination {

namespace {

constexpr std::size_t fleet_size = 91;
constexpr std::size_t fleet_domains = 4;
constexpr std::size_t all_readers = 2 * fleet_domains;
constexpr milliseconds longest_wait{20000};
// The operators' bound for a change while a part of the machines is cut off from the store.
constexpr std::int64_t fault_limit_ms = 2500;

// `every_daemon`: all daemons follow the store, which shows what the choice of readers saves.
fleet_options mirrored_options(std::size_t count, bool every_daemon) {
    fleet_options options{.count = count, .domains = fleet_domains, .seed = 3};
    use_mirror(options.core, 2);
    if (every_daemon) {
        options.core.readers_per_domain = count;
    }
    return options;
}

struct mirrored_fleet : fleet {
    explicit mirrored_fleet(std::size_t count = fleet_size, bool every_daemon = false)
        : fleet(mirrored_options(count, every_daemon)) {
        this->publish("base", 2, "good");
        this->publish("site/s0", 2, "good");
        this->publish_list(2);
        this->start_time = this->run_until_all(
            [this](std::size_t i) { return this->at(i).ready(); }, longest_wait);
        this->run(milliseconds(15000));
    }

    // Publishes the next version and returns the time until the last daemon has it.
    std::int64_t change_time(const std::string& name = "base") {
        std::uint64_t version = ++this->last_version;
        this->publish(name, version, "good" + std::to_string(version));
        return this->time_until_held(name, version);
    }
    std::int64_t time_until_held(const std::string& name, std::uint64_t version) {
        return this
            ->run_until_all([&](std::size_t i) { return this->held(i, name) >= version; },
                            longest_wait)
            .count();
    }
    double calls_a_second(milliseconds duration) {
        std::uint64_t before = this->store.calls;
        this->run(duration);
        return static_cast<double>(this->store.calls - before) /
               std::chrono::duration<double>(duration).count();
    }
    // A version every 0.2 s for 5 s. Returns the calls a second.
    double series() {
        constexpr int versions = 25;
        constexpr milliseconds gap{200};
        std::uint64_t before = this->store.calls;
        for (int i = 0; i < versions; ++i) {
            std::uint64_t version = ++this->last_version;
            this->publish("base", version, "good" + std::to_string(version));
            this->run(gap);
        }
        return static_cast<double>(this->store.calls - before) /
               std::chrono::duration<double>(versions * gap).count();
    }
    std::vector<std::size_t> readers() {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < this->size(); ++i) {
            if (this->at(i).reader()) {
                result.push_back(i);
            }
        }
        return result;
    }
    std::size_t followers() {
        std::size_t result = 0;
        for (std::size_t i = 0; i < this->size(); ++i) {
            result += this->at(i).following() ? 1 : 0;
        }
        return result;
    }

    std::uint64_t last_version = 2;
    milliseconds start_time{0};
};

}  // namespace

// Guards against calls to the store that grow with the fleet.
BOOST_AUTO_TEST_CASE(calm_calls_do_not_grow_with_the_fleet) {
    double before = mirrored_fleet(fleet_size, true).calls_a_second(milliseconds(30000));
    mirrored_fleet subject;
    BOOST_TEST(subject.followers() == all_readers);
    double small = mirrored_fleet(fleet_size / 2).calls_a_second(milliseconds(30000));
    double calm = subject.calls_a_second(milliseconds(30000));
    BOOST_TEST_MESSAGE("calls a second: every daemon " << before << ", readers " << calm
                                                       << ", half the fleet " << small);
    BOOST_TEST(calm < 5);
    BOOST_TEST(calm <= small * 1.25);
    BOOST_TEST(subject.regressions == 0U);
}

// Guards against a series of versions that every daemon reads or that is sent to everyone whole.
BOOST_AUTO_TEST_CASE(a_series_of_versions_is_cheap_and_arrives) {
    mirrored_fleet all(fleet_size, true);
    double before = all.series();
    std::int64_t last_before = all.time_until_held("base", all.last_version);
    mirrored_fleet subject;
    std::uint64_t bodies = subject.bodies_sent;
    double calls = subject.series();
    std::int64_t last = subject.time_until_held("base", subject.last_version);
    double copies = static_cast<double>(subject.bodies_sent - bodies) / (fleet_size - all_readers);
    BOOST_TEST_MESSAGE("calls a second in a series: every daemon "
                       << before << ", readers " << calls << "; last version held after "
                       << last_before << " and " << last << " ms; of 25 versions a daemon got "
                       << copies << ", documents between domains "
                       << subject.bodies_between_domains);
    BOOST_TEST(calls < 60);
    BOOST_TEST(copies < 20);
    BOOST_TEST(last < 1000);
    BOOST_TEST(subject.regressions == 0U);
}

// Guards against a change that gossip brings late to daemons that do not follow the store, and
// against one that crosses domains although each has readers, or that a daemon gets twice.
BOOST_AUTO_TEST_CASE(a_change_is_everywhere_within_a_second) {
    mirrored_fleet subject;
    for (const char* name : {"base", "site/s0"}) {
        for (int i = 0; i < 5; ++i) {
            std::uint64_t bodies = subject.bodies_sent;
            std::uint64_t between = subject.bodies_between_domains;
            std::int64_t time = subject.change_time(name);
            subject.run(milliseconds(3000));
            BOOST_TEST_MESSAGE(name << ": " << time << " ms, " << subject.bodies_sent - bodies
                                    << " documents sent");
            BOOST_TEST(time < 1000);
            BOOST_TEST(subject.bodies_sent - bodies <= fleet_size - all_readers);
            BOOST_TEST(subject.bodies_between_domains == between);
        }
    }
}

// Guards against a domain whose readers have lost the store and that learns nothing.
BOOST_AUTO_TEST_CASE(readers_that_the_store_turns_away_are_replaced) {
    for (int wait_ms : {0, 1000, 3000, 6000}) {
        mirrored_fleet subject;
        for (std::size_t each : subject.readers()) {
            subject.refuse(each, true);
        }
        subject.run(milliseconds(wait_ms));
        std::int64_t time = subject.change_time();
        BOOST_TEST_MESSAGE("published " << wait_ms << " ms after all readers were turned away: "
                                        << time << " ms, followers " << subject.followers());
        BOOST_TEST(time <= fault_limit_ms);
    }
}

// Guards against 35% of all machines, with the readers of a whole domain, that are cut off from the
// store for 9 s and learn nothing, and against followers that stay when it is over.
BOOST_AUTO_TEST_CASE(a_third_of_the_machines_cut_off_learns_in_time) {
    mirrored_fleet subject;
    std::vector<std::size_t> cut;
    for (std::size_t each : subject.readers()) {
        if (each % fleet_domains == 1) {
            cut.push_back(each);
        }
    }
    for (std::size_t i = 0; cut.size() < fleet_size * 35 / 100; i += 2) {
        if (std::find(cut.begin(), cut.end(), i) == cut.end()) {
            cut.push_back(i);
        }
    }
    for (std::size_t each : cut) {
        subject.refuse(each, true);
    }
    mono_time end = subject.now() + milliseconds(9000);
    while (subject.now() < end) {
        std::int64_t time = subject.change_time();
        BOOST_TEST_MESSAGE("cut off: " << time << " ms, followers " << subject.followers());
        BOOST_TEST(time <= fault_limit_ms);
        subject.run(milliseconds(700));
    }
    for (std::size_t each : cut) {
        subject.refuse(each, false);
    }
    subject.run(milliseconds(8000));
    BOOST_TEST(subject.followers() == all_readers);
    BOOST_TEST(subject.regressions == 0U);
}

// Guards against a domain without a word of the store while its readers are dead and still listed.
BOOST_AUTO_TEST_CASE(killed_readers_are_replaced) {
    mirrored_fleet subject;
    std::vector<std::size_t> killed = subject.readers();
    for (std::size_t each : killed) {
        subject.pause(each);
    }
    std::uint64_t version = ++subject.last_version;
    subject.publish("base", version, "good");
    auto holds = [&](std::size_t i) {
        return subject.held(i, "base") >= version ||
               std::find(killed.begin(), killed.end(), i) != killed.end();
    };
    std::int64_t time = subject.run_until_all(holds, longest_wait).count();
    BOOST_TEST_MESSAGE("all readers killed: " << time << " ms");
    BOOST_TEST(time <= fault_limit_ms);
}

// Guards against a start of all daemons that takes longer or costs more because readers are chosen.
BOOST_AUTO_TEST_CASE(a_start_of_all_daemons_is_as_quick_as_with_every_reader) {
    mirrored_fleet every(fleet_size, true);
    mirrored_fleet subject;
    BOOST_TEST_MESSAGE("all ready: every daemon " << every.start_time.count() << " ms, readers "
                                                  << subject.start_time.count() << " ms");
    BOOST_TEST(subject.start_time <= every.start_time + milliseconds(200));
    // All processes are killed while the store is down, and it comes back.
    subject.store.down = true;
    for (std::size_t i = 0; i < subject.size(); ++i) {
        subject.restart(i);
    }
    subject.run(milliseconds(5000));
    subject.store.down = false;
    std::uint64_t before = subject.store.calls;
    auto ready = [&](std::size_t i) { return subject.at(i).ready(); };
    std::int64_t time = subject.run_until_all(ready, longest_wait).count();
    BOOST_TEST_MESSAGE("ready " << time << " ms after the store came back, "
                                << subject.store.calls - before << " calls");
    BOOST_TEST(time < 3000);
    subject.run(milliseconds(10000));
    BOOST_TEST(subject.followers() == all_readers);
}

// Guards against daemons that stop serving, and against a storm of calls, because the store is
// away for everyone.
BOOST_AUTO_TEST_CASE(a_store_that_is_away_for_everyone_costs_bounded_calls) {
    mirrored_fleet subject;
    subject.store.down = true;
    subject.run(milliseconds(4000));
    double away = subject.calls_a_second(milliseconds(20000));
    mirrored_fleet half(fleet_size / 2);
    half.store.down = true;
    half.run(milliseconds(4000));
    double half_away = half.calls_a_second(milliseconds(20000));
    BOOST_TEST_MESSAGE("store away: calls a second " << away << ", half the fleet " << half_away);
    BOOST_TEST(subject.all([&](std::size_t i) { return subject.confirmed(i); }));
    BOOST_TEST(away < 70);
    BOOST_TEST(away < half_away * 1.25);
    std::uint64_t version = ++subject.last_version;
    subject.publish("base", version, "good");
    subject.store.down = false;
    std::uint64_t before = subject.store.calls;
    std::int64_t time = subject.time_until_held("base", version);
    BOOST_TEST_MESSAGE("back: " << time << " ms, " << subject.store.calls - before << " calls");
    BOOST_TEST(time <= fault_limit_ms);
    subject.run(milliseconds(8000));
    BOOST_TEST(subject.followers() == all_readers);
}

}  // namespace trefoil::dissemination
