// Implements the comparison of snapshots. Each entry is converted to a list of named fields, so
// that the same code compares all sections.

#include "config/difference.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <map>
#include <string_view>
#include <utility>

namespace trefoil::config {

namespace {

struct entry_field {
    std::string name;
    std::string value;
    bool hidden = false;
    bool optional = false;  // Omitted from the summary of an entry if the value is "none".
};

entry_field optional_field(std::string name, std::string value) {
    return {.name = std::move(name), .value = std::move(value), .optional = true};
}

// The fields of one entry. All entries of a section have the same fields in the same order.
using field_list = std::vector<entry_field>;

std::string yes_or_no(bool value) {
    return value ? "true" : "false";
}

field_list fields_of(const fleet& each) {
    return {{"max_instances",
             each.max_instances_from_list ? "listed" : fmt::to_string(each.max_instances)}};
}

std::string milliseconds_text(const std::optional<std::chrono::milliseconds>& value) {
    return value ? fmt::format("{} ms", value->count()) : "none";
}

template <class Value>
std::string text_or_none(const std::optional<Value>& value) {
    return value ? fmt::to_string(*value) : "none";
}

std::string regions_text(const std::vector<std::string>& regions) {
    return regions.empty() ? "none" : fmt::format("{}", fmt::join(regions, " "));
}

field_list fields_of(const caller_limits& each) {
    return {{"max_header_bytes", fmt::to_string(each.max_header_bytes)},
            {"max_body_bytes", fmt::to_string(each.max_body_bytes)},
            {"header_timeout", milliseconds_text(each.header_timeout)},
            {"idle_timeout", milliseconds_text(each.idle_timeout)}};
}

field_list fields_of(const service& each) {
    std::string availability = "none";
    std::string latency = "none";
    std::string cold = "none";
    if (each.cold_start) {
        cold = fmt::format("{} a second for {} ms", each.cold_start->rate,
                           each.cold_start->duration.count());
    }
    if (each.objective) {
        availability = fmt::to_string(each.objective->availability);
        latency = fmt::format("{} ms", each.objective->latency.count());
    }
    return {{"slots", each.slots_from_list ? "listed" : fmt::to_string(each.slots)},
            {"timeout", fmt::format("{} ms", each.timeout.count())},
            {"queue", fmt::to_string(each.queue)},
            {"objective availability", availability},
            {"objective latency", latency},
            optional_field("health_path", each.health_path.empty() ? "none" : each.health_path),
            optional_field("max_connections", text_or_none(each.max_connections)),
            optional_field("cold", cold)};
}

std::string targets_text(const route& each) {
    if (each.split.empty()) {
        return each.service;
    }
    std::vector<std::string> parts;
    for (const weighted_service& part : each.split) {
        parts.push_back(fmt::format("{} {}", part.service, part.weight));
    }
    return fmt::format("{}", fmt::join(parts, " / "));
}

field_list fields_of(const route& each) {
    std::string methods =
        each.methods.empty() ? "all" : fmt::format("{}", fmt::join(each.methods, " "));
    std::string idempotent = each.idempotent ? yes_or_no(*each.idempotent) : "by method";
    bool serves = each.when_unconfirmed == unconfirmed_policy::serve;
    return {optional_field("host", each.host.empty() ? "none" : each.host),
            {"path_prefix", each.path_prefix},
            {"methods", methods},
            {"service", targets_text(each)},
            {"idempotent", idempotent},
            {"open", yes_or_no(each.open)},
            {"when_unconfirmed", serves ? "serve" : "refuse"},
            optional_field("timeout", milliseconds_text(each.timeout)),
            optional_field("latency objective", milliseconds_text(each.latency_objective)),
            {"priority", fmt::to_string(each.priority)},
            optional_field("attempts", text_or_none(each.attempts)),
            optional_field("regions", regions_text(each.regions))};
}

// Returns the number of keys and a checksum of their digests, which shows a replaced key without
// showing a digest.
std::string key_digests_text(const std::vector<sha256_digest>& digests) {
    if (digests.empty()) {
        return "none";
    }
    std::string_view bytes(reinterpret_cast<const char*>(digests.data()),
                           digests.size() * sha256_bytes);
    return fmt::format("{} with checksum {:016x}", digests.size(), checksum64(bytes));
}

field_list fields_of(const workspace& each) {
    return {{"rate", each.limited ? fmt::to_string(each.rate) : "unlimited"},
            {"burst", each.limited ? fmt::to_string(each.burst) : "unlimited"},
            optional_field("priority", text_or_none(each.priority)),
            optional_field("regions", regions_text(each.regions)),
            optional_field("key_digests", key_digests_text(each.key_digests))};
}

field_list fields_of(const access_key& each) {
    return {{"workspace", each.workspace}, {"digest", each.sha256, true}};
}

field_list fields_of(bool out) {
    return {{"out", yes_or_no(out)}};
}

void compare_fields(const std::string& subject, const std::string& name, const field_list& before,
                    const field_list& after, std::vector<difference>& differences) {
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].value == after[i].value) {
            continue;
        }
        bool hidden = before[i].hidden;
        differences.push_back({.subject = subject,
                               .name = name,
                               .kind = change_kind::changed,
                               .field = before[i].name,
                               .before = hidden ? "" : before[i].value,
                               .after = hidden ? "" : after[i].value});
    }
}

// Returns the difference for an added or removed entry. Its fields are summarised in `before` or
// `after`.
difference make_entry_difference(const std::string& subject, const std::string& name,
                                 change_kind kind, const field_list& fields) {
    std::vector<std::string> field_texts;
    for (const entry_field& each : fields) {
        bool unset = each.optional && each.value == "none";
        if (!each.hidden && !unset) {
            field_texts.push_back(fmt::format("{} {}", each.name, each.value));
        }
    }
    std::string summary = fmt::format("{}", fmt::join(field_texts, ", "));
    bool added = kind == change_kind::added;
    return {.subject = subject,
            .name = name,
            .kind = kind,
            .field = "",
            .before = added ? "" : summary,
            .after = added ? summary : ""};
}

template <class Entries>
void compare_entries(const std::string& subject, const Entries& before, const Entries& after,
                     std::vector<difference>& differences) {
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        bool only_left =
            right == after.end() || (left != before.end() && left->first < right->first);
        bool only_right =
            left == before.end() || (right != after.end() && right->first < left->first);
        if (only_left) {
            differences.push_back(make_entry_difference(subject, left->first, change_kind::removed,
                                                        fields_of(left->second)));
            ++left;
        } else if (only_right) {
            differences.push_back(make_entry_difference(subject, right->first, change_kind::added,
                                                        fields_of(right->second)));
            ++right;
        } else {
            compare_fields(subject, left->first, fields_of(left->second), fields_of(right->second),
                           differences);
            ++left;
            ++right;
        }
    }
}

std::map<std::string, route> routes_by_name(const snapshot_contents& contents) {
    std::map<std::string, route> routes;
    for (const route& each : contents.routes.routes()) {
        routes.emplace(each.name, each);
    }
    return routes;
}

}  // namespace

std::vector<difference> compare(const snapshot& before, const snapshot& after) {
    const snapshot_contents& left = before.contents();
    const snapshot_contents& right = after.contents();
    std::vector<difference> differences;
    compare_fields("fleet", "", fields_of(left.fleet), fields_of(right.fleet), differences);
    compare_fields("caller limits", "", fields_of(left.caller_limits),
                   fields_of(right.caller_limits), differences);
    compare_entries("service", left.services, right.services, differences);
    compare_entries("route", routes_by_name(left), routes_by_name(right), differences);
    compare_entries("workspace", left.workspaces, right.workspaces, differences);
    compare_entries("key", left.keys, right.keys, differences);
    compare_entries("failure domain", left.failure_domain_out, right.failure_domain_out,
                    differences);
    compare_entries("instance", left.instance_out, right.instance_out, differences);
    return differences;
}

std::string describe(const difference& each) {
    std::string subject =
        each.name.empty() ? each.subject : fmt::format("{} {}", each.subject, each.name);
    switch (each.kind) {
        case change_kind::added:
            return fmt::format("{}: added ({})", subject, each.after);
        case change_kind::removed:
            return fmt::format("{}: removed ({})", subject, each.before);
        case change_kind::changed:
            break;
    }
    if (each.before.empty() && each.after.empty()) {
        return fmt::format("{}: {} changed", subject, each.field);
    }
    return fmt::format("{}: {} {} -> {}", subject, each.field, each.before, each.after);
}

}  // namespace trefoil::config
