// Tests of what daemons learn from peers about instances without a connection of their own.

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

    // The largest number of pairs of a daemon and an instance that it suspects, over some time.
    std::size_t most_suspected(milliseconds duration) {
        constexpr milliseconds step{500};
        std::size_t most = 0;
        for (milliseconds past{0}; past < duration; past += step) {
            this->run(step);
            std::size_t pairs = 0;
            for (std::size_t i = 0; i < this->size(); ++i) {
                pairs += this->suspected(i);
            }
            BOOST_TEST_MESSAGE(past.count() << " " << pairs);
            most = std::max(most, pairs);
        }
        return most;
    }
};

}  // namespace

// Guards against live instances that drop out of the choice, and lenders that change, because
// reports of a large fleet are old.
BOOST_AUTO_TEST_CASE(no_instance_of_an_idle_fleet_is_suspected) {
    idle_fleet subject;
    BOOST_TEST(subject.most_suspected(milliseconds(40000)) == 0U);
}

// Guards against reports that keep a lost instance alive by going round.
BOOST_AUTO_TEST_CASE(a_lost_instance_is_suspected_by_all) {
    constexpr std::size_t lost = 7;
    // Its connections are closed after 2 s, reports count for 10 s, and each of the few daemons
    // that a report crosses makes it look younger by at most the time under way.
    constexpr milliseconds limit{13000};
    idle_fleet subject;
    subject.run(milliseconds(15000));
    subject.set_group(lost, 1);
    auto suspects = [&](std::size_t i) { return i == lost || subject.suspected(i) == 1; };
    BOOST_TEST(subject.run_until_all(suspects, milliseconds(20000)).count() < limit.count());
}

// Guards against an instance that counts as alive because a connection to it is still open.
BOOST_AUTO_TEST_CASE(an_instance_that_stands_still_is_suspected_by_all) {
    constexpr std::size_t frozen = 7;
    constexpr milliseconds limit{11000};  // Reports count for 10 s.
    idle_fleet subject;
    subject.run(milliseconds(15000));
    subject.pause(frozen);
    auto suspects = [&](std::size_t i) { return i == frozen || subject.suspected(i) == 1; };
    BOOST_TEST(subject.run_until_all(suspects, milliseconds(20000)).count() < limit.count());
}

}  // namespace trefoil::dissemination
