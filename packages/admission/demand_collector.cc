// Implements the sums of reported demand.

#include "admission/demand_collector.h"

namespace trefoil::admission {

namespace {

using demand_sums = std::map<std::string, messages::workspace_demand>;

void add(demand_sums& sums, const std::vector<messages::workspace_demand>& demands) {
    for (const messages::workspace_demand& each : demands) {
        auto [entry, added] = sums.try_emplace(
            each.workspace, messages::workspace_demand{.workspace = each.workspace, .holders = 0});
        messages::workspace_demand& sum = entry->second;
        sum.holders += each.holders;
        sum.rate += each.rate;
        sum.admitted += each.admitted;
    }
}

std::vector<messages::workspace_demand> to_list(const demand_sums& sums) {
    std::vector<messages::workspace_demand> list;
    list.reserve(sums.size());
    for (const auto& [workspace, sum] : sums) {
        list.push_back(sum);
    }
    return list;
}

}  // namespace

void demand_collector::forget(mono_time now) {
    std::erase_if(this->reports, [&](const auto& entry) {
        return now - entry.second.at > this->options.report_lifetime;
    });
    std::erase_if(this->domains, [&](const auto& entry) {
        return now - entry.second.at > this->options.report_lifetime;
    });
}

messages::domain_demand demand_collector::own_domain_demand(const fleet_domains& fleet,
                                                            mono_time now) {
    this->forget(now);
    messages::domain_demand own{.failure_domain = this->failure_domain};
    demand_sums sums;
    for (const auto& [instance, each] : this->reports) {
        add(sums, each.report.demands);
        ++own.heard;
    }
    auto listed = fleet.find(this->failure_domain);
    if (listed != fleet.end()) {
        for (const std::string& instance : listed->second) {
            own.missing += this->reports.contains(instance) ? 0 : 1;
        }
    }
    own.demands = to_list(sums);
    return own;
}

messages::demand_totals demand_collector::add_report(const std::string& from,
                                                     const messages::demand_report& report,
                                                     const fleet_domains& fleet, mono_time now) {
    this->reports[from] = {.report = report, .at = now};
    messages::domain_demand own = this->own_domain_demand(fleet, now);
    messages::demand_totals totals{
        .round = report.round, .heard = own.heard, .missing = own.missing, .demands = {}};
    demand_sums sums;
    add(sums, own.demands);
    for (const auto& [domain, each] : this->domains) {
        add(sums, each.demand.demands);
        totals.heard += each.demand.heard;
        totals.missing += each.demand.missing;
    }
    for (const auto& [domain, instances] : fleet) {
        if (domain != this->failure_domain && !this->domains.contains(domain)) {
            totals.missing += static_cast<std::uint32_t>(instances.size());
        }
    }
    // A daemon needs the totals of the workspaces that it reports, because it holds a part of their
    // rates.
    totals.demands.reserve(report.demands.size());
    for (const messages::workspace_demand& each : report.demands) {
        totals.demands.push_back(sums[each.workspace]);
    }
    return totals;
}

void demand_collector::add_domain_demand(const messages::domain_demand& domain, mono_time now) {
    if (domain.failure_domain != this->failure_domain) {
        this->domains[domain.failure_domain] = {.demand = domain, .at = now};
    }
}

}  // namespace trefoil::admission
