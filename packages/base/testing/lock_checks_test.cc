// Tests of the switch for Abseil's lock order checks.

#define BOOST_TEST_MODULE lock_checks
#include "base/lock_checks.h"

#include <boost/test/unit_test.hpp>
#include <utility>

#include "absl/synchronization/mutex.h"

namespace trefoil {

// Guards against daemons that spend processor time on Abseil's graph of all locks, with which it
// aborts the process when two locks are taken in both orders.
BOOST_AUTO_TEST_CASE(lock_order_checks_can_be_disabled) {
    disable_lock_order_checks();
    absl::Mutex first;
    absl::Mutex second;
    int orders = 0;
    for (auto [outer, inner] : {std::pair(&first, &second), std::pair(&second, &first)}) {
        absl::MutexLock outer_lock(outer);
        absl::MutexLock inner_lock(inner);
        ++orders;
    }
    BOOST_TEST(orders == 2);
}

}  // namespace trefoil
