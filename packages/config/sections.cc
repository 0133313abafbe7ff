// Implements the reading and the checks of all sections.

#include "config/sections.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/field_reader.h"
#include "config/redaction.h"

namespace trefoil::config::detail {

namespace {

constexpr std::uint32_t instances_max = 100'000;
constexpr std::uint32_t slots_max = 100'000;
constexpr std::uint32_t queue_max = 100'000;
constexpr std::uint32_t timeout_ms_max = 600'000;
constexpr std::size_t path_prefix_bytes_max = 1024;
// Below this rate a share of a large fleet would accrue less than one token a day.
constexpr double rate_per_second_min = 0.01;
constexpr double rate_per_second_max = 1e7;
constexpr double burst_requests_min = 1;
constexpr double burst_requests_max = 1e7;
constexpr double availability_max = 0.999999;

class section_reader {
public:
    section_reader(const yaml_node& merged, validation_failures& failures)
        : sections(root_field(merged), failures), sink(failures) {}

    snapshot_contents read() {
        this->read_fleet();
        this->read_services();
        std::vector<route> routes = this->read_routes();
        this->read_workspaces();
        this->read_keys();
        this->read_taken_out("failure_domains", this->contents.failure_domain_out);
        this->read_taken_out("instances", this->contents.instance_out);
        this->sections.reject_unknown();
        this->contents.routes = route_table(std::move(routes));
        return std::move(this->contents);
    }

private:
    // Reads a section of named entries; `read_entry` gets the name and the reader of its map.
    template <class ReadEntry>
    void for_each_entry(const yaml_field& section, ReadEntry read_entry) {
        for (auto& [name, field] : read_entries(section, this->sink)) {
            if (!is_name(name)) {
                reject_key(field,
                           "a name of 1 to 64 letters, digits, dots, hyphens and underscores");
            }
            map_reader entry(field, this->sink);
            read_entry(name, entry);
            entry.reject_unknown();
        }
    }

    // The offending text is the last part of the path.
    void reject_key(const yaml_field& field, std::string_view expected) {
        this->sink.emplace_back(value_out_of_range{field.where(), std::string(expected), ""});
    }

    void reject_reference(const yaml_field& field, std::string_view expected) {
        this->sink.emplace_back(
            unresolved_reference{field.where(), std::string(expected), field.shown()});
    }

    void read_fleet() {
        map_reader map(this->sections.required("fleet", "a map with max_instances"), this->sink);
        yaml_field field = map.required("max_instances", "an integer");
        this->contents.fleet.max_instances =
            read_integer(field, 1, instances_max, this->sink).value_or(1);
        map.reject_unknown();
    }

    void read_services() {
        yaml_field section = this->sections.optional("services");
        this->for_each_entry(section, [this](const std::string& name, map_reader& entry) {
            service each{.name = name};
            yaml_field slots = entry.required("slots", "an integer");
            each.slots = read_integer(slots, 1, slots_max, this->sink).value_or(1);
            each.timeout =
                this->read_milliseconds(entry.optional("timeout_ms")).value_or(each.timeout);
            each.queue = read_integer(entry.optional("queue"), 0, queue_max, this->sink)
                             .value_or(each.queue);
            each.objective = this->read_objective(entry.optional("objective"));
            this->contents.services.emplace(name, std::move(each));
        });
    }

    std::optional<std::chrono::milliseconds> read_milliseconds(const yaml_field& field) {
        auto value = read_integer(field, 1, timeout_ms_max, this->sink);
        return value ? std::optional(std::chrono::milliseconds(*value)) : std::nullopt;
    }

    std::optional<objective> read_objective(const yaml_field& field) {
        map_reader map(field, this->sink);
        yaml_field availability = map.required("availability", "a number");
        yaml_field latency = map.required("latency_ms", "an integer");
        auto share = read_number(availability, 0.001, availability_max, this->sink);
        auto bound = this->read_milliseconds(latency);
        map.reject_unknown();
        if (!share || !bound) {
            return std::nullopt;
        }
        return objective{.availability = *share, .latency = *bound};
    }

    std::vector<route> read_routes() {
        std::vector<route> routes;
        yaml_field section = this->sections.optional("routes");
        this->for_each_entry(section, [this, &routes](const std::string& name, map_reader& entry) {
            route each{.name = name};
            yaml_field prefix = entry.required("path_prefix", "a path that starts with \"/\"");
            each.path_prefix = this->read_path_prefix(prefix);
            each.methods = this->read_methods(entry.optional("methods"));
            each.service = this->read_service_reference(entry.required("service", "a name"));
            each.idempotent = read_boolean(entry.optional("idempotent"), this->sink);
            each.open = read_boolean(entry.optional("open"), this->sink).value_or(false);
            each.when_unconfirmed = this->read_policy(entry.optional("when_unconfirmed"));
            this->check_overlap(each, prefix, routes);
            routes.push_back(std::move(each));
        });
        return routes;
    }

    std::string read_path_prefix(const yaml_field& field) {
        constexpr std::string_view expected =
            "a path that starts with \"/\", without spaces, \"?\", \"#\" and dot segments";
        std::string text = read_text(field, expected, this->sink).value_or("/");
        bool printable =
            std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c != 0x7f; });
        bool has_dot_segment = (text + "/").find("/./") != std::string::npos ||
                               (text + "/").find("/../") != std::string::npos;
        bool allowed = !text.empty() && text.front() == '/' && printable && !has_dot_segment &&
                       text.find_first_of("?#") == std::string::npos &&
                       text.size() <= path_prefix_bytes_max;
        if (!allowed) {
            reject_value(field, expected, this->sink);
        }
        return text;
    }

    std::vector<std::string> read_methods(const yaml_field& field) {
        constexpr std::string_view expected = "a method in capitals";
        std::set<std::string> methods;
        for (const yaml_field& element : read_list(field, "a list of methods", this->sink)) {
            std::optional<std::string> text = read_text(element, expected, this->sink);
            if (!text) {
                continue;
            }
            bool capitals = !text->empty() && std::all_of(text->begin(), text->end(), [](char c) {
                return c >= 'A' && c <= 'Z';
            });
            if (!capitals) {
                reject_value(element, expected, this->sink);
            }
            methods.insert(*text);
        }
        return {methods.begin(), methods.end()};
    }

    std::string read_service_reference(const yaml_field& field) {
        auto name = read_text(field, "the name of a service", this->sink);
        if (name && !this->contents.services.contains(*name)) {
            this->reject_reference(field, "the name of a service");
        }
        return name.value_or("");
    }

    unconfirmed_policy read_policy(const yaml_field& field) {
        std::string text = read_text(field, "refuse or serve", this->sink).value_or("refuse");
        if (text != "refuse" && text != "serve") {
            reject_value(field, "refuse or serve", this->sink);
        }
        return text == "serve" ? unconfirmed_policy::serve : unconfirmed_policy::refuse;
    }

    // With two routes for one request, the order of names would decide whether a key is needed.
    void check_overlap(const route& added, const yaml_field& prefix,
                       const std::vector<route>& earlier) {
        for (const route& other : earlier) {
            if (other.path_prefix != added.path_prefix || prefix.value == nullptr) {
                continue;
            }
            bool overlap = other.methods.empty() || added.methods.empty() ||
                           std::any_of(added.methods.begin(), added.methods.end(),
                                       [&](const auto& method) { return other.accepts(method); });
            if (overlap) {
                this->sink.emplace_back(conflicting_entries{
                    prefix.where(),
                    fmt::format("a path prefix and methods that differ from route \"{}\"",
                                other.name)});
                return;
            }
        }
    }

    void read_workspaces() {
        yaml_field section = this->sections.optional("workspaces");
        this->for_each_entry(section, [this](const std::string& name, map_reader& entry) {
            workspace each{.name = name};
            yaml_field rate = entry.required("rate", "a number");
            yaml_field burst = entry.required("burst", "a number");
            each.rate = read_number(rate, rate_per_second_min, rate_per_second_max, this->sink)
                            .value_or(rate_per_second_min);
            each.burst = read_number(burst, burst_requests_min, burst_requests_max, this->sink)
                             .value_or(burst_requests_min);
            this->contents.workspaces.emplace(name, std::move(each));
        });
    }

    void read_keys() {
        yaml_field section = this->sections.optional("keys");
        section.secret = true;
        std::map<std::string, std::string> id_by_digest;
        for (auto& [id, field] : read_entries(section, this->sink)) {
            if (!is_key_id(id)) {
                reject_key(field, "a key id: a name without 32 or more hex digits in a row");
            }
            map_reader entry(field, this->sink);
            access_key each{.id = id};
            each.workspace = this->read_workspace_reference(entry.required("workspace", "a name"));
            yaml_field digest = entry.required("sha256", "64 hex digits");
            each.sha256 = this->read_digest(digest);
            entry.reject_unknown();
            this->check_unique_digest(each, digest, id_by_digest);
            this->contents.keys.emplace(id, std::move(each));
        }
    }

    std::string read_workspace_reference(const yaml_field& field) {
        auto name = read_text(field, "the name of a workspace", this->sink);
        if (name && !this->contents.workspaces.contains(*name)) {
            this->reject_reference(field, "the name of a workspace");
        }
        return name.value_or("");
    }

    // Returns the digest in lower case, or an empty text.
    std::string read_digest(const yaml_field& field) {
        constexpr std::string_view expected = "the SHA-256 digest of a key as 64 hex digits";
        std::string text = read_text(field, expected, this->sink).value_or("");
        bool digits = std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
        });
        bool is_scalar = field.value != nullptr && field.value->kind == yaml_kind::scalar;
        if (is_scalar && (!digits || text.size() != digest_hex_digits)) {
            reject_value(field, expected, this->sink);
            return "";
        }
        for (char& c : text) {
            c = c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        return text;
    }

    // A key with two ids would keep working after one of them was removed.
    void check_unique_digest(const access_key& added, const yaml_field& field,
                             std::map<std::string, std::string>& id_by_digest) {
        if (added.sha256.empty()) {
            return;
        }
        auto [entry, inserted] = id_by_digest.emplace(added.sha256, added.id);
        if (!inserted) {
            std::string other = is_key_id(entry->second) ? entry->second : "<hidden>";
            this->sink.emplace_back(conflicting_entries{
                field.where(), fmt::format("a digest that differs from key \"{}\"", other)});
        }
    }

    void read_taken_out(std::string_view section,
                        std::map<std::string, bool, std::less<>>& taken_out) {
        yaml_field field = this->sections.optional(section);
        this->for_each_entry(field, [this, &taken_out](const std::string& name, map_reader& entry) {
            bool out = read_boolean(entry.optional("out"), this->sink).value_or(false);
            taken_out.emplace(name, out);
        });
    }

    map_reader sections;
    validation_failures& sink;
    snapshot_contents contents;
};

}  // namespace

snapshot_contents read_sections(const yaml_node& merged, validation_failures& failures) {
    return section_reader(merged, failures).read();
}

}  // namespace trefoil::config::detail
