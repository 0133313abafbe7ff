// Tests of how daemons detect the state of instances to which they have no connection, from the
// contact times that peers report.

#define BOOST_TEST_MODULE dissemination_contact_reports
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "dissemination/testing/fleet.h"

namespace trefoil::dissemination {

namespace {

constexpr std::size_t fleet_size = 91;

fleet_options idle_options() {
    fleet_options options{.count = fleet_size, .domains = 4, .seed = 3};
    use_mirror(options.core, 0);
    return options;
}

struct idle_fleet : fleet {
    idle_fleet() : fleet(idle_options()) {
        this->publish("base", 2, "good");
        this->publish("site/s0", 2, "good");
        this->publish_list(2);
    }

    // Returns the highest number of (daemon, instance) pairs in which the daemon suspects the
    // instance, sampled every 500 ms.
    std::size_t max_suspected(milliseconds duration) {
        constexpr milliseconds step{500};
        std::size_t most = 0;
        for (milliseconds past{0}; past < duration; past += step) {
            this->run(step);
            std::size_t pairs = 0;
            for (std::size_t i = 0; i < this->size(); ++i) {
                pairs += this->suspected_count(i);
            }
            BOOST_TEST_MESSAGE(past.count() << " " << pairs);
            most = std::max(most, pairs);
        }
        return most;
    }
};

}  // namespace

// Guards against live instances that are suspected because contact reports are old in a large
// fleet. They would no longer be selected, and their workspaces would change lenders.
BOOST_AUTO_TEST_CASE(no_instance_of_an_idle_fleet_is_suspected) {
    idle_fleet subject;
    BOOST_TEST(subject.max_suspected(milliseconds(40000)) == 0U);
}

// Guards against contact reports that circulate between daemons and keep a lost instance alive.
BOOST_AUTO_TEST_CASE(unreachable_instance_is_suspected_by_all) {
    constexpr std::size_t unreachable = 7;
    // Connections to the instance are closed after 2 s, reports count for 10 s, and on each of the
    // few hops a report appears younger by at most its transit time.
    constexpr milliseconds limit{13000};
    idle_fleet subject;
    subject.run(milliseconds(15000));
    subject.set_partition(unreachable, 1);
    auto suspects = [&](std::size_t i) {
        return i == unreachable || subject.suspected_count(i) == 1;
    };
    BOOST_TEST(subject.run_until_all(suspects, milliseconds(20000)).count() < limit.count());
}

// Guards against an unresponsive instance that counts as alive because a connection to it is still
// open.
BOOST_AUTO_TEST_CASE(paused_instance_is_suspected_by_all) {
    constexpr std::size_t paused = 7;
    constexpr milliseconds limit{11000};  // Reports count for 10 s.
    idle_fleet subject;
    subject.run(milliseconds(15000));
    subject.pause(paused);
    auto suspects = [&](std::size_t i) { return i == paused || subject.suspected_count(i) == 1; };
    BOOST_TEST(subject.run_until_all(suspects, milliseconds(20000)).count() < limit.count());
}

}  // namespace trefoil::dissemination
