// Implements the bounds with the limits that the system states where the settings state none.

#include "daemon/process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace trefoil::daemon {

namespace {

// Memory of the daemon without callers' requests, with connections and buffers of the libraries.
constexpr std::size_t own_bytes = 60'000'000;
constexpr std::size_t reserve_divisor = 8;
// Files and event descriptors, which are not connections.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t fewest_connections = 32;
// Used when the system states no limit.
constexpr std::size_t usual_descriptors = 8192;
constexpr std::size_t usual_memory_bytes = 1'000'000'000;

std::size_t quarter_of_system_memory() {
    long pages = ::sysconf(_SC_PHYS_PAGES);
    long page_bytes = ::sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page_bytes <= 0) {
        return usual_memory_bytes;
    }
    return static_cast<std::size_t>(pages) / 4 * static_cast<std::size_t>(page_bytes);
}

std::size_t descriptors_of_process() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return usual_descriptors;
    }
    return limit.rlim_cur;
}

}  // namespace

edge::memory_account_options caller_memory(std::size_t memory_mb) {
    std::size_t memory = memory_mb == 0 ? quarter_of_system_memory() : memory_mb * 1'000'000;
    std::size_t limit = std::max(memory / 2, memory - std::min(memory, own_bytes));
    return {.limit_bytes = limit, .reserve_bytes = limit / reserve_divisor};
}

std::size_t max_caller_connections(std::size_t max_descriptors) {
    std::size_t all = descriptors_of_process();
    if (max_descriptors > 0) {
        all = std::min(all, max_descriptors);
    }
    std::size_t sockets = all - std::min(all, file_descriptors);
    return std::max(fewest_connections, sockets / 4 * 3);
}

}  // namespace trefoil::daemon
