// Implements the adjustment of generated entries. The checks follow those of the section readers.

#include "config/entry_adjuster.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/base64.h"
#include "base/hash.h"
#include "config/entry_name.h"
#include "config/redaction.h"
#include "config/route_match.h"
#include "config/value_limits.h"

namespace trefoil::config {

namespace {

using json = nlohmann::json;

constexpr std::size_t shown_bytes_max = 64;

// Returns JSON in ASCII without text that could be a key.
std::string shown(const json& value) {
    std::string text = value.dump(-1, ' ', true);
    return hide_hex_runs(text, secret_hex_digits_min).substr(0, shown_bytes_max);
}

// Adjusts the fields of one map of the document.
class field_adjuster {
public:
    // The path of the document itself is empty.
    field_adjuster(std::string map_path, json& map, entry_adjuster& adjusted)
        : path(std::move(map_path)), fields(map), record(adjusted) {}

    // Returns null if the field is absent.
    json* find(const char* name) {
        auto found = this->fields.find(name);
        return found == this->fields.end() ? nullptr : &*found;
    }

    void leave_out(const char* name) {
        this->record.add(
            {.path = this->path_of(name), .found = shown(this->fields.at(name)), .used = ""});
        this->fields.erase(name);
    }

    void replace(const char* name, json value) {
        json& field = this->fields[name];
        this->record.add(
            {.path = this->path_of(name), .found = shown(field), .used = shown(value)});
        field = std::move(value);
    }

    template <class Integer>
    void limit_integer(const char* name, value_range<Integer> limits) {
        const json* field = this->find_number(name);
        if (field == nullptr) {
            return;
        }
        auto value = field->template get<double>();
        double nearest = std::clamp(std::round(value), static_cast<double>(limits.min),
                                    static_cast<double>(limits.max));
        if (!field->is_number_integer() || nearest != value) {
            this->replace(name, static_cast<std::uint64_t>(nearest));
        }
    }

    void limit_number(const char* name, value_range<double> limits) {
        const json* field = this->find_number(name);
        if (field == nullptr) {
            return;
        }
        auto value = field->get<double>();
        double nearest = std::clamp(value, limits.min, limits.max);
        if (nearest != value) {
            this->replace(name, nearest);
        }
    }

    void require_boolean(const char* name) {
        const json* field = this->find(name);
        if (field != nullptr && !field->is_boolean()) {
            this->leave_out(name);
        }
    }

    // Replaces elements that are no valid names, and leaves out elements of another type.
    void adjust_names(const char* name) {
        const json* field = this->find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_array()) {
            this->leave_out(name);
            return;
        }
        json names = json::array();
        for (const json& each : *field) {
            if (each.is_string()) {
                names.push_back(to_entry_name(each.get_ref<const std::string&>()));
            }
        }
        if (names != *field) {
            this->replace(name, std::move(names));
        }
    }

    std::string path_of(std::string_view name) const {
        return this->path.empty() ? std::string(name) : fmt::format("{}.{}", this->path, name);
    }

private:
    // Leaves out a field of another type. Returns null if there is no number.
    const json* find_number(const char* name) {
        const json* field = this->find(name);
        bool other_type = field != nullptr && !field->is_number();
        if (other_type) {
            this->leave_out(name);
        }
        return other_type ? nullptr : field;
    }

    std::string path;
    json& fields;
    entry_adjuster& record;
};

std::string entry_path(std::string_view section, std::string_view name) {
    return fmt::format("{}.{}", section, name);
}

// Returns nothing if the value is no text.
std::optional<std::string> text_of(const json* value) {
    return value != nullptr && value->is_string() ? std::optional(value->get<std::string>())
                                                  : std::nullopt;
}

// Returns the host without the port; an address in brackets keeps its colons.
std::string without_port(const std::string& host) {
    std::size_t bracket = host.rfind(']');
    return host.substr(0, host.find(':', bracket == std::string::npos ? 0 : bracket));
}

// Returns false if the host is present but cannot be the host of a route.
bool adjust_host(field_adjuster& fields) {
    if (fields.find("host") == nullptr) {
        return true;
    }
    auto text = text_of(fields.find("host"));
    if (!text) {
        return false;
    }
    std::string host = without_port(*text);
    // An empty host would match every request.
    bool usable = is_route_host(host) && host.empty() == text->empty();
    if (usable && host != *text) {
        fields.replace("host", host);
    }
    return usable;
}

bool has_path_prefix(field_adjuster& fields) {
    auto text = text_of(fields.find("path_prefix"));
    return text && is_path_prefix(*text);
}

// Returns the weight of a part of a split, or nothing if the part does not name a service.
std::optional<double> weight_of(const json& part) {
    auto service = part.is_object() ? part.find("service") : part.end();
    auto weight = part.is_object() ? part.find("weight") : part.end();
    bool usable = service != part.end() && service->is_string() && weight != part.end() &&
                  weight->is_number();
    return usable ? std::optional(std::max(weight->get<double>(), 0.0)) : std::nullopt;
}

// Scales the weights if the largest one is out of range. If no part has a weight, all are equal.
std::vector<double> scale_weights(std::vector<double> weights) {
    double largest = weights.empty() ? 0 : *std::max_element(weights.begin(), weights.end());
    bool in_range = largest >= split_weight_limits.min && largest <= split_weight_limits.max;
    for (double& each : weights) {
        each = in_range ? each : largest > 0 ? each / largest : 1;
    }
    return weights;
}

// Leaves out a split that names no service.
void adjust_split(field_adjuster& fields) {
    const json& split = *fields.find("split");
    json parts = json::array();
    std::vector<double> weights;
    for (const json& each : split.is_array() ? split : json::array()) {
        if (auto weight = weight_of(each)) {
            weights.push_back(*weight);
            parts.push_back(
                {{"service", to_entry_name(each.at("service").get_ref<const std::string&>())},
                 {"weight", each.at("weight")}});
        }
    }
    std::vector<double> scaled = scale_weights(weights);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i]["weight"].get<double>() != scaled[i]) {
            parts[i]["weight"] = scaled[i];
        }
    }
    if (parts.empty()) {
        fields.leave_out("split");
    } else if (parts != split) {
        fields.replace("split", std::move(parts));
    }
}

// A route that names no service gets the service with the empty name, which nobody can register:
// its calls are refused, as those of any service without upstreams.
void adjust_targets(field_adjuster& fields) {
    if (fields.find("split") != nullptr) {
        adjust_split(fields);
    }
    if (fields.find("split") != nullptr) {
        return;
    }
    std::string service = text_of(fields.find("service")).value_or("");
    std::string name = to_entry_name(service);
    if (name != service) {
        fields.replace("service", std::move(name));
    }
}

template <class Use>
void for_each_digest(std::string_view unpacked, Use use) {
    for (std::size_t at = 0; at + sha256_bytes <= unpacked.size(); at += sha256_bytes) {
        use(unpacked.substr(at, sha256_bytes));
    }
}

std::set<std::string_view> duplicates_in(std::vector<std::string_view> texts) {
    std::sort(texts.begin(), texts.end());
    std::set<std::string_view> found;
    for (std::size_t i = 1; i < texts.size(); ++i) {
        if (texts[i] == texts[i - 1]) {
            found.insert(texts[i]);
        }
    }
    return found;
}

}  // namespace

bool entry_adjuster::adjust_route(std::string_view name, json& entry) {
    std::string path = entry_path("routes", name);
    field_adjuster fields(path, entry, *this);
    if (!adjust_host(fields) || !has_path_prefix(fields)) {
        this->add({.path = path, .found = shown(entry), .used = ""});
        return false;
    }
    adjust_targets(fields);
    fields.limit_integer("timeout_ms", milliseconds_limits);
    fields.limit_integer("latency_objective_ms", milliseconds_limits);
    fields.limit_integer("priority", priority_limits);
    fields.limit_integer("attempts", attempts_limits);
    fields.require_boolean("idempotent");
    fields.require_boolean("open");
    fields.adjust_names("regions");
    return true;
}

void entry_adjuster::adjust_service(std::string_view name, json& entry) {
    std::string path = entry_path("services", name);
    field_adjuster fields(path, entry, *this);
    auto health_path = text_of(fields.find("health_path"));
    bool usable = health_path && (health_path->empty() || health_path->front() == '/');
    if (fields.find("health_path") != nullptr && !usable) {
        fields.leave_out("health_path");
    }
    fields.limit_integer("max_connections", connections_limits);
    json* cold = fields.find("cold");
    if (cold == nullptr) {
        return;
    }
    if (cold->is_object()) {
        field_adjuster cold_fields(fields.path_of("cold"), *cold, *this);
        cold_fields.limit_integer("duration_ms", milliseconds_limits);
        cold_fields.limit_number("rate", cold_rate_limits);
    }
    if (!cold->is_object() || !cold->contains("duration_ms") || !cold->contains("rate")) {
        fields.leave_out("cold");
    }
}

void entry_adjuster::adjust_workspace(std::string_view name, json& entry) {
    field_adjuster fields(entry_path("workspaces", name), entry, *this);
    auto word = text_of(fields.find("rate"));
    if (word != "unlimited") {
        fields.limit_number("rate", rate_limits);
        fields.limit_number("burst", burst_limits);
    }
    bool limited = word != "unlimited" && entry.contains("rate");
    if (!limited) {
        entry["rate"] = "unlimited";
        entry.erase("burst");
    } else if (!entry.contains("burst")) {
        entry["burst"] = burst_limits.min;
    }
    fields.limit_integer("priority", priority_limits);
    fields.adjust_names("regions");
}

void entry_adjuster::adjust_caller_limits(json& section) {
    field_adjuster fields("caller_limits", section, *this);
    fields.limit_integer("max_header_bytes", header_bytes_limits);
    fields.limit_integer("max_body_bytes", body_bytes_limits);
    fields.limit_integer("header_timeout_ms", milliseconds_limits);
    fields.limit_integer("idle_timeout_ms", milliseconds_limits);
}

void entry_adjuster::adjust_version(json& document) {
    field_adjuster("", document, *this).limit_integer("version", version_limits);
}

void entry_adjuster::add(adjustment change) {
    change.path = hide_hex_runs(change.path, secret_hex_digits_min);
    this->made.push_back(std::move(change));
}

std::vector<adjustment> entry_adjuster::take() {
    return std::exchange(this->made, {});
}

std::set<std::size_t> find_overlaps(const std::vector<const matched_requests*>& routes) {
    std::set<std::size_t> left_out;
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> kept;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        auto [other, added] = kept.try_emplace({routes[i]->host, routes[i]->path_prefix}, i);
        if (!added) {
            bool requires_key = routes[other->second]->open && !routes[i]->open;
            left_out.insert(requires_key ? std::exchange(other->second, i) : i);
        }
    }
    return left_out;
}

std::vector<std::pair<std::size_t, std::string>> without_shared_keys(
    const std::vector<std::string_view>& packed_digests) {
    std::vector<std::string> unpacked;
    unpacked.reserve(packed_digests.size());
    std::vector<std::string_view> all;
    for (std::string_view each : packed_digests) {
        unpacked.push_back(decode_base64(each).value_or(""));
        for_each_digest(unpacked.back(),
                        [&all](std::string_view digest) { all.push_back(digest); });
    }
    std::set<std::string_view> shared = duplicates_in(std::move(all));
    std::vector<std::pair<std::size_t, std::string>> changed;
    std::set<std::string_view> assigned;
    for (std::size_t i = 0; i < unpacked.size() && !shared.empty(); ++i) {
        std::string kept;
        for_each_digest(unpacked[i], [&](std::string_view digest) {
            if (!shared.contains(digest) || assigned.insert(digest).second) {
                kept += digest;
            }
        });
        if (kept.size() != unpacked[i].size()) {
            changed.emplace_back(i, encode_base64(kept));
        }
    }
    return changed;
}

}  // namespace trefoil::config
