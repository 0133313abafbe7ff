// Implements the switch for Abseil's lock order checks.

#include "base/lock_checks.h"

#include "absl/synchronization/mutex.h"

namespace trefoil {

void disable_lock_order_checks() {
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

}  // namespace trefoil
