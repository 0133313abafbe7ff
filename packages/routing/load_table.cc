// Implements the load table with the sharded map of the base package.

#include "routing/load_table.h"

#include <algorithm>
#include <chrono>

#include "routing/instance_route.h"

namespace trefoil::routing {

namespace {

constexpr std::chrono::milliseconds min_backoff{25};
constexpr std::uint32_t max_doublings = 5;  // 25 ms to 800 ms.

}  // namespace

void load_table::on_call_sent(const std::string& instance, mono_time now) {
    this->loads.update(instance, [&](instance_load& load) {
        if (load.in_flight == 0) {
            load.waiting_since = now;
        }
        ++load.in_flight;
    });
}

void load_table::on_call_ended(const std::string& instance) {
    this->loads.update(instance, [](instance_load& load) {
        if (load.in_flight > 0) {
            --load.in_flight;
        }
    });
}

void load_table::on_report(const std::string& instance, const messages::load_report& report,
                           mono_time now) {
    this->loads.update(instance, [&](instance_load& load) {
        load.report = report;
        load.in_flight_at_report = load.in_flight;
        load.reported_at = now;
        load.waiting_since = now;
    });
}

void load_table::on_service_time(const std::string& instance, const std::string& route,
                                 mono_duration service, mono_duration transit_time) {
    this->service_times.update(instance_route(instance, route),
                               [service](mono_duration& slot) { slot = service; });
    this->loads.update(instance, [transit_time](instance_load& load) {
        bool first = load.transit_time == mono_duration(0);
        load.transit_time =
            first ? transit_time : load.transit_time + (transit_time - load.transit_time) / 8;
    });
}

mono_duration load_table::service_time(const std::string& instance,
                                       const std::string& route) const {
    return this->service_times.find(instance_route(instance, route)).value_or(mono_duration(0));
}

void load_table::on_refused(const std::string& instance, mono_time now) {
    this->loads.update(instance, [&](instance_load& load) {
        // Calls in flight when the backoff began are refused as well and do not extend it.
        if (now < load.avoid_until) {
            return;
        }
        std::uint32_t doublings = std::min(load.refusals, max_doublings);
        load.avoid_until = now + min_backoff * (1U << doublings);
        ++load.refusals;
    });
}

void load_table::on_accepted(const std::string& instance) {
    this->loads.update(instance, [](instance_load& load) {
        load.refusals = 0;
        load.avoid_until = mono_time::min();
    });
}

void load_table::set_connected(const std::string& instance, bool connected) {
    this->loads.update(instance, [&](instance_load& load) {
        load.connected = connected;
        if (connected) {
            load.connection_failed_at.reset();
        }
    });
}

void load_table::on_connection_failed(const std::string& instance, mono_time now) {
    this->loads.update(instance, [&](instance_load& load) { load.connection_failed_at = now; });
}

instance_load load_table::find(const std::string& instance) const {
    return this->loads.find(instance).value_or(instance_load{});
}

void load_table::erase_unless(const std::function<bool(const std::string&)>& keep) {
    this->loads.erase_if([&](const std::string& instance, const instance_load& load) {
        return load.in_flight == 0 && !keep(instance);
    });
    this->service_times.erase_if([&](const std::string& key, const mono_duration&) {
        return !keep(key.substr(0, key.find('\n')));
    });
}

}  // namespace trefoil::routing
