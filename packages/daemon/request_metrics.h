// Counts finished requests for the metrics endpoint.
//
// Example:
//
//     daemon::request_metrics metrics;
//     metrics.on_finished(request);
//     std::string text = metrics.prometheus_text();

#ifndef TREFOIL_DAEMON_REQUEST_METRICS_H_
#define TREFOIL_DAEMON_REQUEST_METRICS_H_

#include <cstdint>
#include <string>

#include "base/sharded_map.h"
#include "daemon/ingress.h"

namespace trefoil::daemon {

// Safe for concurrent use.
class request_metrics final : public request_observer {
public:
    void on_finished(const finished_request& request) override;
    std::string prometheus_text();

private:
    struct totals {
        std::uint64_t count = 0;
        std::uint64_t duration_us = 0;
        std::uint64_t retries = 0;
    };
    sharded_map<std::string, totals> by_labels;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_REQUEST_METRICS_H_
