// Implements the admin endpoint.

#include "daemon/admin.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/result.h"

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

json age_ms(const std::optional<mono_time>& since, mono_time now) {
    if (!since.has_value()) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count();
}

json versions_json(const control_state& control) {
    json list = json::array();
    for (const config::held_versions& each : control.versions) {
        json entry = {{"document", each.name}, {"newest", nullptr}, {"in_force", nullptr}};
        if (each.newest.has_value()) {
            entry["newest"] = each.newest->revision;
        }
        if (each.in_force.has_value()) {
            entry["in_force"] = each.in_force->revision;
        }
        list.push_back(std::move(entry));
    }
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

admin::admin(admin_options given, blackboard& shared, admin_sources parts, const time_source& time)
    : options(std::move(given)), board(shared), sources(parts), clock(time) {}

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
    } else if (request.path == "/explain") {
        responder->respond(this->explain(request));
    } else {
        responder->respond({.status = status_not_found, .body = "not found\n"});
    }
}

bool admin::confirmed(const control_state& control) const {
    return control.confirmed_at.has_value() &&
           this->clock.now() - *control.confirmed_at <= this->options.confirmation_limit;
}

std::vector<std::string> admin::reasons_not_ready() const {
    std::vector<std::string> reasons;
    auto control = this->board.control.read();
    if (this->board.phase != lifecycle::running) {
        reasons.emplace_back("the daemon is stopping");
    }
    if (control == nullptr || !control->ready) {
        reasons.push_back(control == nullptr ? "the control loop has not started"
                                             : "waiting for " + control->waiting_for);
    } else if (!this->confirmed(*control)) {
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
    std::string text = this->sources.metrics.prometheus_text();
    auto add = [&text](std::string_view name, auto value) {
        text += fmt::format("trefoil_{} {}\n", name, value);
    };
    auto control = this->board.control.read();
    if (control != nullptr) {
        add("ready", control->ready ? 1 : 0);
        add("confirmed", this->confirmed(*control) ? 1 : 0);
        add("reader", control->reader ? 1 : 0);
        add("configuration_rejected", control->rejected.has_value() ? 1 : 0);
        add("platform_reads_total", control->platform_reads);
        add("platform_stale_answers_total", control->stale_answers);
        add("documents_received_total", control->documents_received);
        add("documents_sent_total", control->documents_sent);
    }
    transport::traffic_totals traffic = this->sources.links.totals();
    add("peer_connections", this->sources.links.open_count());
    add("peer_bytes_sent_total", traffic.bytes_sent);
    add("peer_bytes_received_total", traffic.bytes_received);
    add("control_bytes_sent_total", traffic.control_bytes_sent);
    add("control_bytes_received_total", traffic.control_bytes_received);
    add("peer_connections_rejected_total", traffic.rejected_connections);
    egress_totals egress = this->sources.local_egress.totals();
    messages::load_report load = this->sources.local_egress.load();
    add("gate_limit", load.limit);
    add("gate_running", load.running);
    add("gate_queued", load.queued);
    add("egress_started_total", egress.started);
    add("egress_answered_total", egress.answered);
    add("egress_refused_total", egress.refused);
    add("egress_unknown_total", egress.unknown);
    add("egress_upstream_busy_us_total", egress.upstream_busy_us);
    add("calls_in_progress", this->sources.local_ingress.calls_in_progress());
    return {.status = status_ok,
            .headers = {{.name = "Content-Type", .value = "text/plain; version=0.0.4"}},
            .body = std::move(text)};
}

edge::http_response admin::status() const {
    mono_time now = this->clock.now();
    auto control = this->board.control.read();
    json body = {{"instance", this->options.instance},
                 {"incarnation", this->options.incarnation},
                 {"failure_domain", this->options.failure_domain},
                 {"site", this->options.site},
                 {"service", this->options.service},
                 {"stopping", this->board.phase != lifecycle::running},
                 {"reasons_not_ready", this->reasons_not_ready()}};
    if (control != nullptr) {
        body["ready"] = control->ready;
        body["reader"] = control->reader;
        body["confirmed"] = this->confirmed(*control);
        body["confirmed_age_ms"] = age_ms(control->confirmed_at, now);
        body["versions"] = versions_json(*control);
        body["rejected"] = rejected_json(control->rejected);
    }
    auto snapshot = this->board.snapshot.read();
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
        }
        body["limits"] = std::move(limits);
    }
    messages::load_report load = this->sources.local_egress.load();
    body["gate"] = {{"limit", load.limit}, {"running", load.running}, {"queued", load.queued}};
    body["members"] = members_json(this->board.members.read().get(), now);
    return json_response(status_ok, body);
}

edge::http_response admin::explain(const edge::http_request& request) const {
    auto snapshot = this->board.snapshot.read();
    auto candidates = this->board.candidates.read();
    std::string method = edge::query_parameter(request.query, "method").value_or("GET");
    std::string path = edge::query_parameter(request.query, "path").value_or("/");
    json body = {{"instance", this->options.instance}, {"method", method}, {"path", path}};
    if (snapshot == nullptr) {
        body["result"] = "not_ready";
        return json_response(status_ok, body);
    }
    auto found = snapshot->find_route(method, path);
    if (!std::holds_alternative<const config::route*>(found)) {
        body["result"] =
            std::holds_alternative<config::no_route>(found) ? "no_route" : "method_not_allowed";
        return json_response(status_ok, body);
    }
    const config::route* route = std::get<const config::route*>(found);
    body["result"] = "routed";
    body["route"] = route->name;
    body["service"] = route->service;
    body["open"] = route->open;
    body["idempotent"] = route->idempotent_for(method);
    body["base"] = snapshot->base_revision();
    json list = json::array();
    mono_time now = this->clock.now();
    if (candidates != nullptr) {
        for (const routing::candidate& each : candidates->of_service(route->service)) {
            routing::instance_load load = this->sources.local_ingress.loads().find(each.instance);
            list.push_back({{"instance", each.instance},
                            {"failure_domain", each.failure_domain},
                            {"local", each.failure_domain == this->options.failure_domain},
                            {"accepts_work", each.accepts_work()},
                            {"taken_out", each.taken_out},
                            {"score", this->sources.local_ingress.picker().score(load, now)}});
        }
    }
    body["candidates"] = std::move(list);
    return json_response(status_ok, body);
}

}  // namespace trefoil::daemon
