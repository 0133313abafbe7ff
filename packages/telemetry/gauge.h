// A gauge: a value that can increase and decrease.
//
// Example:
//
//     telemetry::gauge& running = registry.get_or_create_gauge("trefoil_running_calls", {});
//     running.add(1);

#ifndef TREFOIL_TELEMETRY_GAUGE_H_
#define TREFOIL_TELEMETRY_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace trefoil::telemetry {

// Safe for concurrent use. Each gauge has its own cache line, for the reason given in counter.h.
class alignas(64) gauge {
public:
    void set(std::int64_t value) { this->current.store(value, std::memory_order_relaxed); }
    void add(std::int64_t change) { this->current.fetch_add(change, std::memory_order_relaxed); }
    std::int64_t value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> current = 0;
};

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_GAUGE_H_
