// What an ingress knows of the load of each instance: its own calls in flight, the load that the
// egress last reported, and recent connection failures.
//
// Example:
//
//     routing::load_table loads;
//     loads.on_call_sent("station-1", now);
//     loads.on_call_ended("station-1");
//     loads.on_report("station-1", result.load, now);

#ifndef TREFOIL_ROUTING_LOAD_TABLE_H_
#define TREFOIL_ROUTING_LOAD_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::routing {

// State of one instance as this ingress sees it.
struct instance_load {
    std::uint32_t in_flight = 0;  // Own calls that were sent and are not over.
    // Since when nothing was heard although calls are in flight; meaningless when none is.
    mono_time waiting_since = mono_time::min();
    messages::load_report report;
    std::optional<mono_time> reported_at;  // When `report` arrived; nothing before the first one.
    std::uint32_t own_at_report = 0;       // Own calls in flight then.
    // Time that a call spends between here and the egress, both ways; 0 before the first reply.
    mono_duration transit_time{0};
    bool connected = false;  // Whether a connection to its daemon is open.
    std::optional<mono_time> connection_failed_at;
    std::uint32_t refusals = 0;  // Backoff steps since the last call that the egress accepted.
    mono_time avoid_until = mono_time::min();  // End of the latest backoff step.

    friend bool operator==(const instance_load&, const instance_load&) = default;
};

// Safe for concurrent use; one lock per shard of instances.
class load_table {
public:
    void on_call_sent(const std::string& instance, mono_time now);
    // The call is over for this ingress, with a reply or without one.
    void on_call_ended(const std::string& instance);

    // A report that arrives with a call result. Call on_call_ended() for that call first.
    void on_report(const std::string& instance, const messages::load_report& report, mono_time now);

    // Time of a call at the instance's upstream, by route, and what the way there takes. From
    // replies.
    void on_service_time(const std::string& instance, const std::string& route,
                         mono_duration service, mono_duration transit_time);
    // 0 before the first reply to a call of the route.
    mono_duration service_time(const std::string& instance, const std::string& route) const;

    // The egress refused a call that it could have run (`overloaded` or `no_upstream`). An egress
    // whose upstream is down refuses quickly and reports no load, so by its load alone it would be
    // the best choice.
    void on_refused(const std::string& instance, mono_time now);

    // The egress ran a call, whatever the result.
    void on_accepted(const std::string& instance);

    // The first connection to the instance's daemon is open, which ends the time after a failure,
    // or the last one is closed.
    void set_connected(const std::string& instance, bool connected);

    // A connection could not be opened, or was lost.
    void on_connection_failed(const std::string& instance, mono_time now);

    // All zero for an unknown instance.
    instance_load find(const std::string& instance) const;

    // Drops instances for which `keep` is false and that have no call in flight.
    void forget_unless(const std::function<bool(const std::string&)>& keep);

    std::size_t size() const { return this->loads.size(); }

private:
    sharded_map<std::string, instance_load> loads;
    sharded_map<std::string, mono_duration> service_times;  // By instance and route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_LOAD_TABLE_H_
