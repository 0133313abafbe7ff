// Tests of the switch of the lock order checks.

#define BOOST_TEST_MODULE lock_checks
#include "base/lock_checks.h"

#include <boost/test/unit_test.hpp>
#include <utility>

#include "absl/synchronization/mutex.h"

namespace trefoil {

// Guards against daemons that spend processor time on the library's graph of all locks, which it
// keeps to abort the process when locks are taken in both orders.
BOOST_AUTO_TEST_CASE(a_process_can_end_the_checks_of_the_order_of_locks) {
    disable_lock_order_checks();
    absl::Mutex first;
    absl::Mutex second;
    int rounds = 0;
    for (auto [outer, inner] : {std::pair(&first, &second), std::pair(&second, &first)}) {
        absl::MutexLock outer_lock(outer);
        absl::MutexLock inner_lock(inner);
        ++rounds;
    }
    BOOST_TEST(rounds == 2);
}

}  // namespace trefoil
