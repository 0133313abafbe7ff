// Formats metrics in the Prometheus text format, version 0.0.4.
//
// Example:
//
//     std::string body = telemetry::prometheus_text(registry.read());

#ifndef TREFOIL_TELEMETRY_PROMETHEUS_TEXT_H_
#define TREFOIL_TELEMETRY_PROMETHEUS_TEXT_H_

#include <string>
#include <vector>

#include "telemetry/registry.h"

namespace trefoil::telemetry {

inline constexpr const char* prometheus_content_type = "text/plain; version=0.0.4; charset=utf-8";

// Formats `all`, which must be sorted by name, as registry::read() returns it. Bounds and sums of
// histograms are in microseconds.
std::string prometheus_text(const std::vector<series>& all);

}  // namespace trefoil::telemetry

#endif  // TREFOIL_TELEMETRY_PROMETHEUS_TEXT_H_
