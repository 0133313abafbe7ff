// Adds up the demand of the daemons of one failure domain, and with the other domains' collectors
// that of the fleet. Every daemon can be a collector; which one is follows from rendezvous hashing,
// and two views of it only make two collectors that each know a part.
//
// Example:
//
//     admission::demand_collector collector("d1");
//     messages::demand_totals answer = collector.on_report("station-1", report, fleet, now);
//     send_to_other_collectors(collector.own_domain_demand(fleet, now));
//     collector.on_domain_demand(domain_demand, now);

#ifndef TREFOIL_ADMISSION_DEMAND_COLLECTOR_H_
#define TREFOIL_ADMISSION_DEMAND_COLLECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "messages/messages.h"

namespace trefoil::admission {

// The instances that exist as far as is known, by failure domain.
using fleet_domains = std::map<std::string, std::set<std::string>>;

struct demand_collector_options {
    // Age at which a report or another domain's demand is forgotten. A daemon that is not heard for
    // this long falls back to its even share itself.
    std::chrono::milliseconds report_life{1200};
};

// Not synchronised; the owner holds a lock.
class demand_collector {
public:
    explicit demand_collector(std::string own, demand_collector_options initial = {})
        : failure_domain(std::move(own)), options(initial) {}

    // Takes a report of a daemon of this failure domain and answers with the totals of the
    // workspaces that it names.
    messages::demand_totals on_report(const std::string& from,
                                      const messages::demand_report& report,
                                      const fleet_domains& fleet, mono_time now);

    // Takes another collector's domain. Of two collectors of one domain the latest counts.
    void on_domain_demand(const messages::domain_demand& domain, mono_time now);

    // What to tell the other collectors; nothing was heard when `heard` is 0.
    messages::domain_demand own_domain_demand(const fleet_domains& fleet, mono_time now);

private:
    struct dated_report {
        messages::demand_report report;
        mono_time at;
    };
    struct dated_domain {
        messages::domain_demand demand;
        mono_time at;
    };

    void forget(mono_time now);

    const std::string failure_domain;
    const demand_collector_options options;
    std::map<std::string, dated_report> reports;  // By instance.
    std::map<std::string, dated_domain> domains;  // Other domains.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_DEMAND_COLLECTOR_H_
