// Counts finished requests, attempts and calls for the metrics endpoint, and requests for the burn
// rate of service-level objectives.
//
// Example:
//
//     daemon::request_metrics metrics(clock);
//     metrics.on_finished(request);
//     std::vector<telemetry::series> series = metrics.read();

#ifndef TREFOIL_DAEMON_REQUEST_METRICS_H_
#define TREFOIL_DAEMON_REQUEST_METRICS_H_

#include <vector>

#include "base/time.h"
#include "config/snapshot.h"
#include "daemon/request_observer.h"
#include "telemetry/burn_tracker.h"
#include "telemetry/registry.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class request_metrics final : public request_observer {
public:
    explicit request_metrics(const time_source& clock);

    void on_finished(const finished_request& request) override;
    void on_attempt_ended(const finished_attempt& attempt) override;
    void on_call_ended(const finished_call& call) override;

    // Replaces the service-level objectives by those of a new configuration snapshot.
    void set_objectives(const config::snapshot& snapshot);

    std::vector<telemetry::series> read() const { return this->registry.read(); }
    std::vector<telemetry::burn_row> burn() const { return this->tracker.rows(this->clock.now()); }

private:
    const time_source& clock;
    telemetry::registry registry;
    telemetry::burn_tracker tracker;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_METRICS_H_
