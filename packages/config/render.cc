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
    write(out, "slots", each.slots);
    write(out, "timeout_ms", each.timeout.count());
    write(out, "queue", each.queue);
    if (each.objective) {
        out << YAML::Key << "objective" << YAML::Value << YAML::Flow << YAML::BeginMap;
        write(out, "availability", each.objective->availability);
        write(out, "latency_ms", each.objective->latency.count());
        out << YAML::EndMap;
    }
}

void write_route(YAML::Emitter& out, const route& each) {
    out << YAML::Key << each.name << YAML::Value << YAML::BeginMap;
    write(out, "path_prefix", each.path_prefix);
    out << YAML::Key << "methods" << YAML::Value << YAML::Flow << each.methods;
    write(out, "service", each.service);
    if (each.idempotent) {
        write(out, "idempotent", *each.idempotent);
    }
    write(out, "open", each.open);
    bool serves = each.when_unconfirmed == unconfirmed_policy::serve;
    write(out, "when_unconfirmed", serves ? "serve" : "refuse");
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
    out << YAML::Key << "fleet" << YAML::Value << YAML::BeginMap;
    write(out, "max_instances", contents.fleet.max_instances);
    out << YAML::EndMap;
    write_section(out, "services", contents.services,
                  [&out](const service& each) { write_service(out, each); });
    write_routes(out, contents.routes);
    write_section(out, "workspaces", contents.workspaces, [&out](const workspace& each) {
        write(out, "rate", each.rate);
        write(out, "burst", each.burst);
    });
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
