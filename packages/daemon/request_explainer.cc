// Implements the explanation from the snapshot in force and the ingress's load data.

#include "daemon/request_explainer.h"

#include <utility>
#include <variant>
#include <vector>

#include "daemon/refusal.h"

namespace trefoil::daemon {

namespace {

using json = nlohmann::json;

// The services of the route with their shares of its requests, from 0 to 1.
json services_of(const config::route& route) {
    std::vector<config::weighted_service> targets = route.targets();
    double total = 0;
    for (const config::weighted_service& each : targets) {
        total += each.weight;
    }
    json list = json::array();
    for (const config::weighted_service& each : targets) {
        list.push_back({{"service", each.service}, {"share", each.weight / total}});
    }
    return list;
}

std::string_view reason_not_usable(const routing::candidate& each) {
    if (each.taken_out) {
        return "taken out";
    }
    switch (each.state) {
        case routing::candidate_state::live:
            return "";
        case routing::candidate_state::leaving:
            return "leaving";
        case routing::candidate_state::suspected:
            return "suspected";
        case routing::candidate_state::stopping:
            return "stopping";
    }
    return "";
}

}  // namespace

request_explainer::request_explainer(std::string own_domain, const shared_state& daemon_state,
                                     const upstream_selector& own_selector)
    : failure_domain(std::move(own_domain)), shared(daemon_state), selector(own_selector) {}

json request_explainer::explain(const explained_request& request, mono_time now) const {
    json body = {{"failure_domain", this->failure_domain},
                 {"host", request.host},
                 {"method", request.method},
                 {"path", request.path}};
    auto refuse = [&body](std::string_view reason) {
        body["decision"] = "refused";
        body["reason"] = reason;
        return body;
    };
    auto snapshot = this->shared.snapshot.read();
    if (snapshot == nullptr) {
        return refuse(reasons::not_ready);
    }
    auto found = snapshot->find_route(request.host, request.method, request.path);
    if (std::holds_alternative<config::no_route>(found)) {
        return refuse(reasons::no_route);
    }
    if (std::holds_alternative<config::method_not_allowed>(found)) {
        return refuse(reasons::method_not_allowed);
    }
    const config::route& route = *std::get<const config::route*>(found);
    std::string_view refusal = this->refusal_reason(route, *snapshot, request.workspace, now);
    body["decision"] = refusal.empty() ? "routed" : "refused";
    body["reason"] = refusal;
    body["route"] = route.name;
    body["services"] = services_of(route);
    body["open"] = route.open;
    body["idempotent"] = route.idempotent_for(request.method);
    body["base"] = snapshot->base_revision();
    body["candidates"] = this->candidates_of(route, now);
    return body;
}

std::string_view request_explainer::refusal_reason(const config::route& route,
                                                   const config::snapshot& snapshot,
                                                   const std::string& workspace,
                                                   mono_time now) const {
    auto control = this->shared.control.read();
    if (control == nullptr || !control->ready) {
        return reasons::not_ready;
    }
    if (!route.open && snapshot.find_workspace(workspace) == nullptr) {
        return workspace.empty() ? reasons::key_missing : reasons::key_unknown;
    }
    bool refuses_unconfirmed = route.when_unconfirmed == config::unconfirmed_policy::refuse;
    return refuses_unconfirmed && !control->confirmed(now) ? reasons::unconfirmed
                                                           : std::string_view();
}

json request_explainer::candidates_of(const config::route& route, mono_time now) const {
    json list = json::array();
    auto candidates = this->shared.candidates.read();
    if (candidates == nullptr) {
        return list;
    }
    for (const config::weighted_service& target : route.targets()) {
        for (const routing::candidate& each : candidates->of_service(target.service)) {
            list.push_back(this->describe(each, target.service, now));
        }
    }
    return list;
}

json request_explainer::describe(const routing::candidate& each, const std::string& service,
                                 mono_time now) const {
    routing::instance_load load = this->selector.loads().find(each.instance);
    return {{"instance", each.instance},
            {"service", service},
            {"failure_domain", each.failure_domain},
            {"local", each.failure_domain == this->failure_domain},
            {"usable", each.accepts_work()},
            {"reason", reason_not_usable(each)},
            {"score", this->selector.picker().score(load, now)}};
}

}  // namespace trefoil::daemon
