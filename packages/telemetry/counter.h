// A monotonically increasing counter.
//
// Example:
//
//     telemetry::counter& refused =
//         registry.get_or_create_counter("trefoil_refused_total", {{"reason", "rate"}});
//     refused.add();

#ifndef TREFOIL_TELEMETRY_COUNTER_H_
#define TREFOIL_TELEMETRY_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace trefoil::telemetry {

// Safe for concurrent use. Each counter has its own cache line, which avoids false sharing between
// threads that update different counters.
class alignas(64) counter {
public:
    void add(std::uint64_t count = 1) { this->total.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total = 0;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_COUNTER_H_
