// Decides which calls without a workspace precede other requests at the gates, because the request
// that makes them runs already: when such a call is refused, that request fails and the work spent
// on it is lost.
//
// A call that carries no context handle cannot be attributed to a request. The local upstream makes
// nested calls only while it runs requests, so the number of calls that precede at a time is
// bounded by the number of running requests. Callers of open routes therefore cannot displace the
// requests of workspaces by their number.
//
// Example:
//
//     bool precedes = precedence.begin(egress.load().running);
//     if (precedes) { ... precedence.end(); }

#ifndef TREFOIL_ROUTING_NESTED_CALL_PRECEDENCE_H_
#define TREFOIL_ROUTING_NESTED_CALL_PRECEDENCE_H_

#include <atomic>
#include <cstddef>

namespace trefoil::routing {

// Safe for concurrent use.
class nested_call_precedence {
public:
    // Concurrent nested calls that one running request may have.
    static constexpr std::size_t max_calls_per_request = 4;

    // A call arrives while the local upstream runs `running` requests. Returns whether it precedes;
    // if so, end() must be called when it has ended.
    bool begin(std::size_t running) {
        std::size_t current = this->preceding.load(std::memory_order_relaxed);
        while (current < running * max_calls_per_request) {
            if (this->preceding.compare_exchange_weak(current, current + 1,
                                                      std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

    void end() { this->preceding.fetch_sub(1, std::memory_order_relaxed); }

private:
    std::atomic<std::size_t> preceding{0};  // Calls that precede and have not ended.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_NESTED_CALL_PRECEDENCE_H_
