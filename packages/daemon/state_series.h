// The metric series that are computed from the state of the daemon's parts on each scrape. Series
// that are counted per request are in request_metrics.
//
// Example:
//
//     state_series series(shared, sources, clock);
//     std::vector<telemetry::series> all = series.read();

#ifndef TREFOIL_DAEMON_STATE_SERIES_H_
#define TREFOIL_DAEMON_STATE_SERIES_H_

#include <vector>

#include "base/time.h"
#include "daemon/admin_sources.h"
#include "daemon/shared_state.h"
#include "telemetry/registry.h"

namespace trefoil::daemon {

namespace detail {
class series_list;
}  // namespace detail

// Safe for concurrent use.
class state_series {
public:
    state_series(const shared_state& daemon_state, admin_sources parts, const time_source& time)
        : shared(daemon_state), sources(parts), clock(time) {}

    std::vector<telemetry::series> read() const;

private:
    void add_control_series(detail::series_list& all) const;
    void add_traffic_series(detail::series_list& all) const;
    void add_retry_series(detail::series_list& all) const;
    void add_overflow_series(detail::series_list& all) const;
    void add_gate_series(detail::series_list& all) const;
    void add_limit_series(detail::series_list& all) const;

    const shared_state& shared;
    const admin_sources sources;
    const time_source& clock;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_STATE_SERIES_H_
