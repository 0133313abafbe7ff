// Tests of the duplicate filter: no sequence is ever accepted twice, and memory stays bounded.

#define BOOST_TEST_MODULE gate_duplicate_filter
#include "gate/duplicate_filter.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <tuple>

#include "base/random.h"

namespace trefoil::gate {

// Guards against accepting a call of an older incarnation, whose records were dropped.
BOOST_AUTO_TEST_CASE(older_incarnation_is_refused) {
    duplicate_filter filter({});
    BOOST_TEST((filter.admit({"a", 5, 1}) == duplicate_verdict::fresh));
    BOOST_TEST((filter.admit({"a", 6, 1}) == duplicate_verdict::fresh));
    BOOST_TEST((filter.admit({"a", 5, 2}) == duplicate_verdict::older_incarnation));
    BOOST_TEST((filter.admit({"b", 5, 2}) == duplicate_verdict::fresh));
}

// Guards against a copy that is accepted because the record of its call was evicted.
BOOST_AUTO_TEST_CASE(evicted_sequences_are_refused) {
    duplicate_filter filter({.sequences = 2});
    filter.admit({"a", 5, 10});
    filter.admit({"a", 5, 20});
    filter.admit({"a", 5, 30});
    BOOST_TEST((filter.admit({"a", 5, 10}) == duplicate_verdict::below_floor));
    BOOST_TEST((filter.admit({"a", 5, 9}) == duplicate_verdict::below_floor));
    BOOST_TEST((filter.admit({"a", 5, 20}) == duplicate_verdict::seen));
    BOOST_TEST((filter.admit({"a", 5, 11}) == duplicate_verdict::fresh));
}

// Guards against accepting calls of an evicted ingress again, and against refusing an ingress that
// started later.
BOOST_AUTO_TEST_CASE(evicted_ingress_is_refused) {
    duplicate_filter filter({.ingresses = 2});
    filter.admit({"a", 5, 1});
    filter.admit({"b", 3, 1});
    filter.admit({"c", 7, 1});
    BOOST_TEST((filter.admit({"a", 5, 1}) == duplicate_verdict::evicted_ingress));
    BOOST_TEST((filter.admit({"a", 8, 1}) == duplicate_verdict::fresh));
}

// Guards against a second acceptance under any mix of ingresses, restarts, copies and reordering,
// and against memory that grows with them.
BOOST_AUTO_TEST_CASE(random_copies_are_never_accepted_twice) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        seeded_random random(seed);
        duplicate_filter filter({.sequences = 200, .ingresses = 8});
        std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> accepted;
        for (std::uint64_t step = 0; step < 20'000; ++step) {
            call_id id{"i" + std::to_string(random.below(12)), 1 + random.below(1 + step / 4000),
                       random.below(1 + step / 4)};
            if (filter.admit(id) == duplicate_verdict::fresh) {
                BOOST_TEST(accepted.emplace(id.instance, id.incarnation, id.sequence).second);
            }
            BOOST_TEST(filter.recorded_sequences() <= 200U);
            BOOST_TEST(filter.recorded_ingresses() <= 8U);
        }
    }
}

}  // namespace trefoil::gate
