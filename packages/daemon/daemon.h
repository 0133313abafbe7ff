// Assembles the parts of one daemon, runs them and shuts them down gracefully.
//
// All parts share one event loop for I/O; `on the loop` means on its thread.
//
// Example:
//
//     daemon::daemon process(settings, daemon::bind_documents(settings));
//     auto outcome = process.start();
//     ... wait for SIGTERM ...
//     process.drain_and_stop();

#ifndef TREFOIL_DAEMON_DAEMON_H_
#define TREFOIL_DAEMON_DAEMON_H_

#include <memory>
#include <string>
#include <variant>

#include "admission/context_table.h"
#include "base/result.h"
#include "base/time.h"
#include "daemon/admin.h"
#include "daemon/control_loop.h"
#include "daemon/egress.h"
#include "daemon/ingress.h"
#include "daemon/limit_service.h"
#include "daemon/peer_connections.h"
#include "daemon/platform_binding.h"
#include "daemon/request_metrics.h"
#include "daemon/settings.h"
#include "daemon/shared_state.h"
#include "daemon/state_change_log.h"
#include "edge/http_server.h"
#include "io/event_loop.h"
#include "membership/view.h"

namespace trefoil::daemon {

// The daemon cannot listen on an address.
struct start_failure {
    std::string field;  // The setting, for example "listen.peers".
    std::string address;

    friend bool operator==(const start_failure&, const start_failure&) = default;
};

struct daemon_started {
    friend bool operator==(const daemon_started&, const daemon_started&) = default;
};

class daemon final : private peer_event_handler {
public:
    daemon(const settings& given, platform_binding bound);
    ~daemon() override;
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    result<daemon_started, start_failure> start();

    // Applies the settings that may change while the daemon runs: service, log level and retries.
    // Other changes take effect at the next start; the log line "settings_reloaded" then has
    // restart_needed=yes.
    void reload(const settings& next);

    // Announces that the daemon leaves, accepts no new calls, completes the calls in progress and
    // ends the threads. Returns when that is done, at the latest after the limits of
    // stop_settings.
    void drain_and_stop();

private:
    void on_connection_open(const messages::hello& peer, bool first) override;
    void on_connection_silent(transport::connection_id connection, const messages::hello& peer,
                              bool last) override;
    void on_connection_closed(transport::connection_id connection, const messages::hello& peer,
                              connection_end end) override;
    void on_dial_failed(const std::string& address) override;
    void on_call(const message_origin& origin, messages::call call, mono_time sent) override;
    void on_message(const message_origin& origin, messages::peer_message message) override;

    void on_timer();
    void apply_shared_state();
    bool is_leaving(const membership::view& view);
    void log_control_state_changes();
    void log_upstream_changes(gate::upstream_availability availability,
                              const membership::view* view, const upstream_calls& before);
    upstream_calls upstream_calls_now() const;
    void apply_own_record(const config::snapshot& snapshot, const membership::view* view);
    // Returns false if calls are still in progress after `limit`.
    bool wait_until_idle(std::chrono::milliseconds limit);

    const settings options;
    const platform_binding platform;
    const std::uint64_t incarnation;
    machine_time_source clock;
    edge::memory_account caller_bytes;
    io::event_loop loop;
    shared_state shared;
    admission::context_table contexts;
    request_metrics metrics;
    limit_service limits;
    service_retry_budgets retry_budgets;
    nested_retry_tracker nested_retries;
    egress local_egress;
    ingress local_ingress;
    control_loop control;
    peer_connections connections;
    admin operators;
    edge::http_server callers_server;
    edge::http_server admin_server;
    bool running = false;  // Used by the main thread only.
    // Used on the loop only.
    io::loop_timer timer;
    std::shared_ptr<const config::snapshot> applied_snapshot;
    bool upstream_was_listed = false;  // In some view since the start.
    std::shared_ptr<const membership::view> applied_view;
    state_change_log state_changes;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_DAEMON_H_
