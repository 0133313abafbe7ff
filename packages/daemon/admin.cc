// Implements the admin endpoint.

#include "daemon/admin.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "base/result.h"
#include "daemon/refusal.h"
#include "telemetry/prometheus_text.h"

namespace trefoil::daemon {

namespace {

using json = nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

edge::http_response json_response(unsigned status, const json& body) {
    return {.status = status,
            .headers = {{.name = "Content-Type", .value = "application/json"}},
            .body = body.dump(2) + "\n"};
}

std::int64_t milliseconds(mono_duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json age_ms(const std::optional<mono_time>& since, mono_time now) {
    if (!since.has_value()) {
        return nullptr;
    }
    return milliseconds(now - *since);
}

json versions_json(const control_state& control) {
    json list = json::array();
    for (const config::document_status& each : control.versions) {
        json entry = {{"name", each.name}, {"newest", nullptr}, {"in_force", nullptr}};
        if (each.newest.has_value()) {
            entry["newest"] = each.newest->revision;
        }
        if (each.in_force.has_value()) {
            entry["in_force"] = each.in_force->revision;
        }
        list.push_back(std::move(entry));
    }
    json list_revision = control.list_revision == 0 ? json() : json(control.list_revision);
    list.push_back({{"name", "instances"}, {"newest", list_revision}, {"in_force", list_revision}});
    return list;
}

json rejected_json(const std::optional<config::rejected_pair>& rejected) {
    if (!rejected.has_value()) {
        return nullptr;
    }
    json failures = json::array();
    for (const auto& each : rejected->failures) {
        failures.push_back(config::describe(each));
    }
    return {{"base", rejected->base_revision},
            {"overlay", rejected->overlay_revision},
            {"failures", std::move(failures)}};
}

json unreadable_json(const std::optional<source::unreadable_document>& unreadable) {
    if (!unreadable.has_value()) {
        return nullptr;
    }
    return {{"document", unreadable->name},
            {"revision", unreadable->revision},
            {"detail", unreadable->detail}};
}

json members_json(const membership::view* view, mono_time now) {
    json list = json::array();
    if (view == nullptr) {
        return list;
    }
    for (const auto* group : {&view->listed(), &view->unlisted()}) {
        for (const membership::member& each : *group) {
            list.push_back({{"instance", each.record->id},
                            {"failure_domain", each.record->failure_domain},
                            {"service", each.record->service},
                            {"state", membership::to_string(each.state)},
                            {"listed", each.listed},
                            {"contact_age_ms", age_ms(each.last_contact, now)}});
        }
    }
    return list;
}

}  // namespace

admin::admin(admin_options given, shared_state& daemon_state, admin_sources parts,
             const time_source& time)
    : options(std::move(given)),
      shared(daemon_state),
      sources(parts),
      computed_series(daemon_state, parts, time),
      explainer(this->options.failure_domain, daemon_state, parts.local_ingress.upstreams()),
      clock(time) {}

edge::http_response admin::refuse(unsigned status) {
    return {.status = status};
}

void admin::handle(edge::http_request request, std::shared_ptr<edge::responder> responder) {
    if (request.path == "/live") {
        responder->respond({.status = status_ok, .body = "live\n"});
    } else if (request.path == "/ready") {
        responder->respond(this->ready());
    } else if (request.path == "/metrics") {
        responder->respond(this->metrics());
    } else if (request.path == "/status") {
        responder->respond(this->status());
    } else if (request.path == "/burn") {
        responder->respond(this->burn());
    } else if (request.path == "/explain") {
        responder->respond(this->explain(request));
    } else {
        responder->respond({.status = status_not_found, .body = "not found\n"});
    }
}

std::vector<std::string> admin::reasons_not_ready() const {
    std::vector<std::string> reasons;
    auto control = this->shared.control.read();
    if (this->shared.phase != lifecycle::running) {
        reasons.emplace_back("the daemon is stopping");
    }
    if (control == nullptr || !control->ready) {
        reasons.push_back(control == nullptr ? "the control loop has not started"
                                             : "waiting for " + control->waiting_for);
    } else if (!this->sources.local_egress.knows_availability()) {
        reasons.emplace_back("waiting for the state of the upstream");
    } else if (!control->confirmed(this->clock.now())) {
        reasons.emplace_back("the configuration is unconfirmed");
    }
    return reasons;
}

edge::http_response admin::ready() const {
    std::vector<std::string> reasons = this->reasons_not_ready();
    return json_response(reasons.empty() ? status_ok : status_unavailable,
                         {{"ready", reasons.empty()}, {"reasons", reasons}});
}

edge::http_response admin::metrics() const {
    std::vector<telemetry::series> all = this->sources.metrics.read();
    for (telemetry::series& each : this->computed_series.read()) {
        all.push_back(std::move(each));
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
        return std::tie(left.name, left.labels) < std::tie(right.name, right.labels);
    });
    return {.status = status_ok,
            .headers = {{.name = "Content-Type", .value = telemetry::prometheus_content_type}},
            .body = telemetry::prometheus_text(all)};
}

edge::http_response admin::burn() const {
    auto snapshot = this->shared.snapshot.read();
    std::map<std::pair<std::string, std::string>, json> windows;
    for (const telemetry::burn_row& row : this->sources.metrics.burn()) {
        json& list = windows[{row.service, row.workspace}];
        list.push_back({{"seconds", row.window.count()},
                        {"calls", row.good + row.bad},
                        {"bad", row.bad},
                        {"burn", row.burn_rate}});
    }
    json services = json::array();
    for (auto& [key, list] : windows) {
        const config::service* service =
            snapshot == nullptr ? nullptr : snapshot->find_service(key.first);
        if (service == nullptr || !service->objective.has_value()) {
            continue;
        }
        services.push_back({{"service", key.first},
                            {"workspace", key.second},
                            {"availability", service->objective->availability},
                            {"windows", std::move(list)}});
    }
    return json_response(status_ok, {{"instance", this->options.instance},
                                     {"failure_domain", this->options.failure_domain},
                                     {"services", std::move(services)}});
}

edge::http_response admin::status() const {
    mono_time now = this->clock.now();
    auto control = this->shared.control.read();
    json body = {{"instance", this->options.instance},
                 {"incarnation", this->options.incarnation},
                 {"failure_domain", this->options.failure_domain},
                 {"site", this->options.site},
                 {"service", this->shared.settings.read()->service},
                 {"stopping", this->shared.phase != lifecycle::running},
                 {"reasons_not_ready", this->reasons_not_ready()}};
    if (control != nullptr) {
        body["ready"] = control->ready;
        body["reader"] = control->reader;
        body["confirmed"] = control->confirmed(this->clock.now());
        body["confirmation_age_ms"] = age_ms(control->confirmed_at, now);
        body["documents"] = versions_json(*control);
        body["rejected"] = rejected_json(control->rejected);
    }
    body["unreadable"] = unreadable_json(this->sources.platform.unreadable());
    auto snapshot = this->shared.snapshot.read();
    if (snapshot != nullptr) {
        body["base"] = snapshot->base_revision();
        body["overlay"] = snapshot->overlay_revision();
        json limits = json::object();
        for (const auto& [name, each] : snapshot->contents().workspaces) {
            if (auto state = this->sources.limits.inspect(name)) {
                limits[name] = {{"shares", state->shares},
                                {"tokens", state->tokens},
                                {"outstanding", state->outstanding},
                                {"is_home", state->is_home}};
            }
            if (auto state = this->sources.limits.inspect_demand(name)) {
                limits[name] = {{"demand", state->demand},
                                {"fleet_demand", state->total},
                                {"level", state->level},
                                {"share", state->share},
                                {"tokens", state->tokens}};
            }
        }
        body["limits"] = std::move(limits);
    }
    messages::load_report load = this->sources.local_egress.load();
    body["gate"] = {{"limit", load.limit}, {"running", load.running}, {"queued", load.queued}};
    body["members"] = members_json(this->shared.members.read().get(), now);
    return json_response(status_ok, body);
}

edge::http_response admin::explain(const edge::http_request& request) const {
    auto parameter = [&request](const char* name, const char* absent) {
        return edge::query_parameter(request.query, name).value_or(absent);
    };
    json body = this->explainer.explain({.host = parameter("host", ""),
                                         .method = parameter("method", "GET"),
                                         .path = parameter("path", "/"),
                                         .workspace = parameter("workspace", "")},
                                        this->clock.now());
    body["instance"] = this->options.instance;
    return json_response(status_ok, body);
}

}  // namespace trefoil::daemon
