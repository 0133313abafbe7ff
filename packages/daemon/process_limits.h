// Derives the bounds on what callers may occupy from the memory and the descriptors of the machine.
//
// Example:
//
//     edge::memory_account account(caller_memory(settings.memory_mb));

#ifndef TREFOIL_DAEMON_PROCESS_LIMITS_H_
#define TREFOIL_DAEMON_PROCESS_LIMITS_H_

#include <cstddef>

#include "edge/memory_account.h"

namespace trefoil::daemon {

// `memory_mb` is the machine's memory in millions of bytes. 0: a quarter of the memory that the
// system states, because the daemon runs beside an upstream.
edge::memory_account_options caller_memory(std::size_t memory_mb);

// The number of connections of callers. `max_descriptors` 0: as the limit of the process allows,
// which is never exceeded.
std::size_t max_caller_connections(std::size_t max_descriptors);

// Connections to the admin address.
inline constexpr std::size_t max_admin_connections = 64;

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_PROCESS_LIMITS_H_
