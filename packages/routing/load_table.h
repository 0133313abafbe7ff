// The load of each instance as an ingress knows it: its own calls in flight, the latest load report
// of the egress, and recent connection failures.
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

// State of one instance from the point of view of this ingress.
struct instance_load {
    std::uint32_t in_flight = 0;  // Calls of this ingress that were sent and have not ended.
    // Time of the latest report, or of the first call in flight if that is later; meaningless while
    // no call is in flight.
    mono_time waiting_since = mono_time::min();
    messages::load_report report;
    std::optional<mono_time> reported_at;   // When `report` arrived; nothing before the first one.
    std::uint32_t in_flight_at_report = 0;  // `in_flight` at that time.
    // Mean time that a call spends on the way to the egress and back; 0 before the first reply.
    mono_duration transit_time{0};
    bool connected = false;  // Whether a connection to its daemon is open.
    std::optional<mono_time> connection_failed_at;
    std::uint32_t refusals = 0;  // Number of backoffs since the egress last accepted a call.
    mono_time avoid_until = mono_time::min();  // End of the latest backoff.

    friend bool operator==(const instance_load&, const instance_load&) = default;
};

// Safe for concurrent use; one lock per shard of instances.
class load_table {
public:
    void on_call_sent(const std::string& instance, mono_time now);
    // The call has ended for this ingress, with or without a reply.
    void on_call_ended(const std::string& instance);

    // A load report arrived with a call result. To be called after on_call_ended() for that call.
    void on_report(const std::string& instance, const messages::load_report& report, mono_time now);

    // Records, from a reply, the time of a call at the upstream and its transit time to the
    // instance and back.
    void on_service_time(const std::string& instance, const std::string& route,
                         mono_duration service, mono_duration transit_time);
    // Latest time of a call at the upstream; 0 before the first reply to a call of the route.
    mono_duration service_time(const std::string& instance, const std::string& route) const;

    // The egress refused a call as `overloaded` or `no_upstream`. The instance is avoided with an
    // exponential backoff: an egress whose upstream is down refuses quickly and reports no load, so
    // by its load alone it would be the best choice.
    void on_refused(const std::string& instance, mono_time now);

    // The egress ran a call, whatever its result. Ends the backoff.
    void on_accepted(const std::string& instance);

    // The first connection to the instance's daemon was opened, which clears an earlier connection
    // failure, or the last one was closed.
    void set_connected(const std::string& instance, bool connected);

    // A connection could not be opened or was lost.
    void on_connection_failed(const std::string& instance, mono_time now);

    // Default values for an unknown instance.
    instance_load find(const std::string& instance) const;

    // Removes the instances for which `keep` returns false, unless they have calls in flight.
    void erase_unless(const std::function<bool(const std::string&)>& keep);

    std::size_t size() const { return this->loads.size(); }

private:
    sharded_map<std::string, instance_load> loads;
    sharded_map<std::string, mono_duration> service_times;  // By instance and route.
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_LOAD_TABLE_H_
