// Implements the checks for entries without effect and for contradicting limits.

#include "config/warnings.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace trefoil::config {

namespace {

class warning_finder {
public:
    explicit warning_finder(const snapshot& checked) : values(checked.contents()) {}

    std::vector<warning> find() {
        this->check_services();
        this->check_routes();
        this->check_workspaces();
        this->check_failure_domains();
        return std::move(this->found);
    }

private:
    void add(std::string subject, std::string name, std::string detail) {
        this->found.push_back(
            {.subject = std::move(subject), .name = std::move(name), .detail = std::move(detail)});
    }

    void check_services() {
        std::set<std::string_view> targeted;
        for (const route& each : this->values.routes.routes()) {
            targeted.insert(each.service);
            for (const weighted_service& part : each.split) {
                targeted.insert(part.service);
            }
        }
        for (const auto& [name, each] : this->values.services) {
            if (!targeted.contains(name)) {
                this->add("service", name, "no route targets it");
            }
            this->check_limits(each);
        }
    }

    void check_limits(const service& each) {
        bool counted = !each.slots_from_list;
        if (counted && each.max_connections.has_value() && *each.max_connections < each.slots) {
            this->add("service", each.name,
                      fmt::format("max_connections {} allows fewer requests than slots {}",
                                  *each.max_connections, each.slots));
        }
        if (each.objective.has_value() && each.objective->latency >= each.timeout) {
            this->add("service", each.name,
                      fmt::format("a request ends at timeout_ms {} before it can miss the latency "
                                  "objective of {} ms",
                                  each.timeout.count(), each.objective->latency.count()));
        }
    }

    void check_routes() {
        for (const route& each : this->values.routes.routes()) {
            bool late = each.timeout.has_value() && each.latency_objective.has_value() &&
                        *each.latency_objective >= *each.timeout;
            if (late) {
                this->add("route", each.name,
                          fmt::format("a request ends at timeout_ms {} before it can miss "
                                      "latency_objective_ms {}",
                                      each.timeout->count(), each.latency_objective->count()));
            }
            bool repeated = each.attempts.has_value() && *each.attempts > 1;
            if (repeated && each.idempotent == false) {
                this->add("route", each.name,
                          "its requests are not idempotent, so further attempts follow only a "
                          "rejection that states that the request has not run");
            }
            if (!each.open && this->values.workspaces.empty()) {
                this->add("route", each.name, "it requires a key, and there is no workspace");
            }
        }
    }

    void check_workspaces() {
        std::set<std::string_view> with_key;
        for (const auto& [id, key] : this->values.keys) {
            with_key.insert(key.workspace);
        }
        for (const auto& [name, each] : this->values.workspaces) {
            if (each.key_digests.empty() && !with_key.contains(name)) {
                this->add("workspace", name, "it has no key, so no request can belong to it");
            } else if (!this->is_admitted(each)) {
                this->add("workspace", name, "no route admits it");
            }
        }
    }

    // Whether a route requires a key and shares a region with the workspace. An empty list allows
    // all regions.
    bool is_admitted(const workspace& each) const {
        const auto& routes = this->values.routes.routes();
        return std::any_of(routes.begin(), routes.end(), [&each](const route& candidate) {
            return !candidate.open && share_region(candidate.regions, each.regions);
        });
    }

    static bool share_region(const std::vector<std::string>& first,
                             const std::vector<std::string>& second) {
        return first.empty() || second.empty() ||
               std::any_of(first.begin(), first.end(), [&second](const std::string& region) {
                   return std::binary_search(second.begin(), second.end(), region);
               });
    }

    void check_failure_domains() {
        const auto& domains = this->values.failure_domain_out;
        bool all_out =
            !domains.empty() && std::all_of(domains.begin(), domains.end(),
                                            [](const auto& each) { return each.second; });
        if (all_out) {
            this->add("failure domains", "", "all are taken out, so no request is served");
        }
    }

    const snapshot_contents& values;
    std::vector<warning> found;
};

}  // namespace

std::vector<warning> find_warnings(const snapshot& checked) {
    return warning_finder(checked).find();
}

std::string describe(const warning& each) {
    return each.name.empty() ? fmt::format("{}: {}", each.subject, each.detail)
                             : fmt::format("{} {}: {}", each.subject, each.name, each.detail);
}

}  // namespace trefoil::config
