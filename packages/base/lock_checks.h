// Controls the deadlock detection of absl::Mutex, which checks the order of locks at each
// acquisition.
//
// Example:
//
//     trefoil::disable_lock_order_checks();  // First thing in main().

#ifndef TREFOIL_BASE_LOCK_CHECKS_H_
#define TREFOIL_BASE_LOCK_CHECKS_H_

namespace trefoil {

// Disables the checks for the whole process. Whether they are compiled in depends on how Abseil was
// built, not on how the program was: Debian's Abseil packages enable them even for programs built
// with NDEBUG. Test programs leave them enabled.
void disable_lock_order_checks();

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOCK_CHECKS_H_
