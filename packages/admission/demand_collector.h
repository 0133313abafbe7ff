// Adds up the demand that the daemons of one failure domain report, and exchanges the sums with the
// collectors of the other domains, so that it can answer each report with the totals of the fleet.
// The collector of a domain is chosen by rendezvous hashing, and every daemon can be one. If
// daemons disagree about the choice, there are several collectors that each know a part of the
// reports.
//
// Example:
//
//     admission::demand_collector collector("d1");
//     messages::demand_totals answer = collector.add_report("station-1", report, fleet, now);
//     send_to_other_collectors(collector.own_domain_demand(fleet, now));
//     collector.add_domain_demand(domain_demand, now);

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

// All known instances by failure domain, live or not.
using fleet_domains = std::map<std::string, std::set<std::string>>;

struct demand_collector_options {
    // Age at which a report or the sums of another domain are discarded. A daemon whose messages
    // are lost for about this long falls back to its even share by itself.
    std::chrono::milliseconds report_lifetime{1200};
};

// Not safe for concurrent use.
class demand_collector {
public:
    explicit demand_collector(std::string own, demand_collector_options initial = {})
        : failure_domain(std::move(own)), options(initial) {}

    // Records the report of a daemon of this failure domain, and returns the totals of the
    // workspaces that it names.
    messages::demand_totals add_report(const std::string& from,
                                       const messages::demand_report& report,
                                       const fleet_domains& fleet, mono_time now);

    // Records the sums of another collector. If a domain has several collectors, only the latest
    // message counts.
    void add_domain_demand(const messages::domain_demand& domain, mono_time now);

    // Returns the sums of this failure domain for the other collectors. `heard`, the number of
    // daemons in the sums, is 0 without any report.
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
    std::map<std::string, dated_domain> domains;  // By failure domain, without the own one.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_DEMAND_COLLECTOR_H_
