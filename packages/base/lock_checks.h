// The checks of the order of locks that absl::Mutex makes at each acquisition.
//
// Example:
//
//     trefoil::disable_lock_order_checks();  // First thing in main().

#ifndef TREFOIL_BASE_LOCK_CHECKS_H_
#define TREFOIL_BASE_LOCK_CHECKS_H_

namespace trefoil {

// Ends the checks for the whole process. They follow the library's build, not the program's: the
// library of Debian makes them also for a program that is built with NDEBUG. Tests keep them.
void disable_lock_order_checks();

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOCK_CHECKS_H_
