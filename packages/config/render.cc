// Implements the rendering of a snapshot with yaml-cpp's emitter.

#include "config/render.h"

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>
#include <yaml-cpp/stlemitter.h>

namespace trefoil::config {

namespace {

template <class Value>
void write(YAML::Emitter& out, const char* name, const Value& value) {
    out << YAML::Key << name << YAML::Value << value;
}

// Writes one section; `write_entry` writes the value of an entry.
template <class Entries, class WriteEntry>
void write_section(YAML::Emitter& out, const char* name, const Entries& entries,
                   WriteEntry write_entry) {
    out << YAML::Key << name << YAML::Value << YAML::BeginMap;
    for (const auto& [entry_name, entry] : entries) {
        out << YAML::Key << entry_name << YAML::Value << YAML::BeginMap;
        write_entry(entry);
        out << YAML::EndMap;
    }
    out << YAML::EndMap;
}

void write_service(YAML::Emitter& out, const service& each) {
    if (each.slots_from_list) {
        write(out, "slots", "listed");
    } else {
        write(out, "slots", each.slots);
    }
    write(out, "timeout_ms", each.timeout.count());
    write(out, "queue", each.queue);
    if (each.objective) {
        out << YAML::Key << "objective" << YAML::Value << YAML::Flow << YAML::BeginMap;
        write(out, "availability", each.objective->availability);
        write(out, "latency_ms", each.objective->latency.count());
        out << YAML::EndMap;
    }
    if (!each.health_path.empty()) {
        write(out, "health_path", each.health_path);
    }
    if (each.max_connections) {
        write(out, "max_connections", *each.max_connections);
    }
    if (each.cold_start) {
        out << YAML::Key << "cold" << YAML::Value << YAML::Flow << YAML::BeginMap;
        write(out, "duration_ms", each.cold_start->duration.count());
        write(out, "rate", each.cold_start->rate);
        out << YAML::EndMap;
    }
}

void write_targets(YAML::Emitter& out, const route& each) {
    if (each.split.empty()) {
        write(out, "service", each.service);
        return;
    }
    out << YAML::Key << "split" << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const weighted_service& part : each.split) {
        out << YAML::BeginMap;
        write(out, "service", part.service);
        write(out, "weight", part.weight);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void write_regions(YAML::Emitter& out, const std::vector<std::string>& regions) {
    if (!regions.empty()) {
        out << YAML::Key << "regions" << YAML::Value << YAML::Flow << regions;
    }
}

void write_caller_limits(YAML::Emitter& out, const caller_limits& limits) {
    out << YAML::Key << "caller_limits" << YAML::Value << YAML::BeginMap;
    write(out, "max_header_bytes", limits.max_header_bytes);
    write(out, "max_body_bytes", limits.max_body_bytes);
    write(out, "header_timeout_ms", limits.header_timeout.count());
    write(out, "idle_timeout_ms", limits.idle_timeout.count());
    out << YAML::EndMap;
}

void write_workspace(YAML::Emitter& out, const workspace& each) {
    if (each.limited) {
        write(out, "rate", each.rate);
        write(out, "burst", each.burst);
    } else {
        write(out, "rate", "unlimited");
    }
    if (each.priority) {
        write(out, "priority", *each.priority);
    }
    write_regions(out, each.regions);
    if (!each.key_digests.empty()) {
        write(out, "key_digests", "hidden");
    }
}

void write_route(YAML::Emitter& out, const route& each) {
    out << YAML::Key << each.name << YAML::Value << YAML::BeginMap;
    if (!each.host.empty()) {
        write(out, "host", each.host);
    }
    write(out, "path_prefix", each.path_prefix);
    out << YAML::Key << "methods" << YAML::Value << YAML::Flow << each.methods;
    write_targets(out, each);
    if (each.idempotent) {
        write(out, "idempotent", *each.idempotent);
    }
    write(out, "open", each.open);
    bool serves = each.when_unconfirmed == unconfirmed_policy::serve;
    write(out, "when_unconfirmed", serves ? "serve" : "refuse");
    if (each.timeout) {
        write(out, "timeout_ms", each.timeout->count());
    }
    if (each.latency_objective) {
        write(out, "latency_objective_ms", each.latency_objective->count());
    }
    write(out, "priority", each.priority);
    if (each.attempts) {
        write(out, "attempts", *each.attempts);
    }
    write_regions(out, each.regions);
    out << YAML::EndMap;
}

void write_routes(YAML::Emitter& out, const route_table& routes) {
    out << YAML::Key << "routes" << YAML::Value << YAML::BeginMap;
    for (const route& each : routes.routes()) {
        write_route(out, each);
    }
    out << YAML::EndMap;
}

}  // namespace

std::string render(const snapshot& source) {
    const snapshot_contents& contents = source.contents();
    YAML::Emitter out;
    out << YAML::BeginMap;
    if (contents.version != 0) {
        write(out, "version", contents.version);
    }
    out << YAML::Key << "fleet" << YAML::Value << YAML::BeginMap;
    if (contents.fleet.max_instances_from_list) {
        write(out, "max_instances", "listed");
    } else {
        write(out, "max_instances", contents.fleet.max_instances);
    }
    out << YAML::EndMap;
    write_caller_limits(out, contents.caller_limits);
    write_section(out, "services", contents.services,
                  [&out](const service& each) { write_service(out, each); });
    write_routes(out, contents.routes);
    write_section(out, "workspaces", contents.workspaces,
                  [&out](const workspace& each) { write_workspace(out, each); });
    write_section(out, "keys", contents.keys, [&out](const access_key& each) {
        write(out, "workspace", each.workspace);
        write(out, "sha256", "hidden");
    });
    auto write_out = [&out](bool taken_out) { write(out, "out", taken_out); };
    write_section(out, "failure_domains", contents.failure_domain_out, write_out);
    write_section(out, "instances", contents.instance_out, write_out);
    out << YAML::EndMap;
    return std::string(out.c_str(), out.size()) + "\n";
}

}  // namespace trefoil::config
