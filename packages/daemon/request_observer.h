// Interface through which the ingress and the egress report requests, attempts and calls that
// ended.
//
// Example:
//
//     observer.on_finished({.service = "station", .route = "readings", .status = 200, ...});

#ifndef TREFOIL_DAEMON_REQUEST_OBSERVER_H_
#define TREFOIL_DAEMON_REQUEST_OBSERVER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace trefoil::daemon {

// One request of a caller.
struct finished_request {
    std::string service;    // Empty if no route was found.
    std::string route;      // Empty if no route was found.
    std::string workspace;  // Empty if unknown and on open routes.
    unsigned status = 0;
    std::string_view reason;  // Empty if the upstream's response was delivered.
    bool admitted = false;    // The request passed the key check and the rate limit.
    std::uint32_t retries = 0;
    mono_duration duration{};
};

// One attempt of the ingress to have a call served by an instance. `reason` is empty if it got a
// response.
struct finished_attempt {
    std::string_view outcome;
    std::string_view reason;
};

// One call that the egress answered.
struct finished_call {
    std::string_view outcome;
    std::string_view reason;
    bool started = false;    // The call was sent to the upstream.
    mono_duration waited{};  // Time in the gate.
    mono_duration took{};    // Time at the upstream.
};

// Implementations are safe for concurrent use.
class request_observer {
public:
    virtual ~request_observer() = default;
    virtual void on_finished(const finished_request& request) = 0;
    virtual void on_attempt_ended(const finished_attempt& attempt) = 0;
    virtual void on_call_ended(const finished_call& call) = 0;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_OBSERVER_H_
