// Implements the counters of finished requests.

#include "daemon/request_metrics.h"

#include <fmt/format.h>

#include <chrono>

namespace trefoil::daemon {

void request_metrics::on_finished(const finished_request& request) {
    std::string labels =
        fmt::format("service=\"{}\",workspace=\"{}\",status=\"{}\",reason=\"{}\"", request.service,
                    request.workspace, request.status, request.reason);
    auto duration = std::chrono::duration_cast<std::chrono::microseconds>(request.duration);
    this->by_labels.update(labels, [&](totals& slot) {
        ++slot.count;
        slot.duration_us += static_cast<std::uint64_t>(duration.count());
        slot.retries += request.retries;
    });
}

std::string request_metrics::prometheus_text() {
    std::string text = "# TYPE trefoil_requests_total counter\n";
    this->by_labels.for_each([&](const std::string& labels, const totals& each) {
        text += fmt::format("trefoil_requests_total{{{}}} {}\n", labels, each.count);
        text +=
            fmt::format("trefoil_request_duration_us_total{{{}}} {}\n", labels, each.duration_us);
        text += fmt::format("trefoil_retries_total{{{}}} {}\n", labels, each.retries);
    });
    return text;
}

}  // namespace trefoil::daemon
