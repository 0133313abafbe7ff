// Reads and validates the section `routes`.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/text.h"
#include "config/route_match.h"
#include "config/section_context.h"

namespace trefoil::config::detail {

namespace {

class route_reader {
public:
    route_reader(section_context& section, std::vector<route> reused)
        : context(section), reused_count(reused.size()), routes(std::move(reused)) {
        for (std::size_t i = 0; i < this->routes.size(); ++i) {
            this->check_reused_services(this->routes[i]);
            this->by_host_and_prefix[{this->routes[i].host, this->routes[i].path_prefix}].push_back(
                i);
        }
    }

    void read(const std::string& name, map_reader& entry) {
        route each{.name = name};
        each.host = this->read_host(entry.optional("host"));
        yaml_field prefix = entry.required("path_prefix", "a path that starts with \"/\"");
        each.path_prefix = this->read_path_prefix(prefix);
        each.methods = this->read_methods(entry.optional("methods"));
        this->read_targets(entry, each);
        each.idempotent = read_boolean(entry.optional("idempotent"), this->context.sink);
        each.open = read_boolean(entry.optional("open"), this->context.sink).value_or(false);
        each.when_unconfirmed = this->read_unconfirmed_policy(entry.optional("when_unconfirmed"));
        each.timeout = this->context.read_milliseconds(entry.optional("timeout_ms"));
        each.latency_objective =
            this->context.read_milliseconds(entry.optional("latency_objective_ms"));
        each.priority =
            this->context.read_priority(entry.optional("priority")).value_or(default_priority);
        each.attempts =
            read_integer(entry.optional("attempts"), attempts_limits, this->context.sink);
        each.regions =
            this->context.read_names(entry.optional("regions"), "a list of names of regions");
        this->reject_overlap(each, prefix);
        this->routes.push_back(std::move(each));
    }

    // Moves out all routes, sorted by name. The reused routes are sorted already.
    std::vector<route> take_sorted_routes() {
        auto by_name = [](const route& left, const route& right) { return left.name < right.name; };
        auto added = this->routes.begin() + static_cast<std::ptrdiff_t>(this->reused_count);
        if (!std::is_sorted(added, this->routes.end(), by_name)) {
            std::sort(added, this->routes.end(), by_name);
        }
        std::inplace_merge(this->routes.begin(), added, this->routes.end(), by_name);
        return std::move(this->routes);
    }

private:
    std::string read_host(const yaml_field& field) {
        constexpr std::string_view expected = "a host name without a port";
        std::string text = lower_case(read_text(field, expected, this->context.sink).value_or(""));
        if (!is_route_host(text)) {
            reject_value(field, expected, this->context.sink);
        }
        return text;
    }

    std::string read_path_prefix(const yaml_field& field) {
        constexpr std::string_view expected =
            "a path that starts with \"/\", without spaces, \"?\", \"#\" and dot segments";
        std::string text = read_text(field, expected, this->context.sink).value_or("/");
        if (!is_path_prefix(text)) {
            reject_value(field, expected, this->context.sink);
        }
        return text;
    }

    std::vector<std::string> read_methods(const yaml_field& field) {
        constexpr std::string_view expected = "a method in capitals";
        std::set<std::string> methods;
        for (const yaml_field& element :
             read_list(field, "a list of methods", this->context.sink)) {
            std::optional<std::string> text = read_text(element, expected, this->context.sink);
            if (!text) {
                continue;
            }
            bool capitals = !text->empty() && std::all_of(text->begin(), text->end(), [](char c) {
                return c >= 'A' && c <= 'Z';
            });
            if (!capitals) {
                reject_value(element, expected, this->context.sink);
            }
            methods.insert(*text);
        }
        return {methods.begin(), methods.end()};
    }

    // A route names either one service or a split.
    void read_targets(map_reader& entry, route& each) {
        yaml_field split = entry.optional("split");
        if (split.value == nullptr) {
            each.service = this->read_service_reference(entry.required("service", "a name"));
            return;
        }
        yaml_field service = entry.optional("service");
        if (service.value != nullptr) {
            this->context.sink.emplace_back(
                conflicting_entries{service.where(), "either service or split"});
        }
        for (const yaml_field& element :
             read_list(split, "a list of services with weights", this->context.sink)) {
            this->read_split_entry(element, each);
        }
        if (each.split.empty()) {
            reject_value(split, "at least one service with a weight above 0", this->context.sink);
        }
    }

    // Adds the service to the split, unless its weight is too small, for example 0.
    void read_split_entry(const yaml_field& element, route& each) {
        map_reader part(element, this->context.sink);
        yaml_field service = part.required("service", "a name");
        yaml_field weight = part.required("weight", "a number");
        std::string name = this->read_service_reference(service);
        auto weight_value = read_number(weight, 0, split_weight_limits.max, this->context.sink);
        part.reject_unknown();
        if (weight_value && *weight_value >= split_weight_limits.min) {
            each.split.push_back({.service = std::move(name), .weight = *weight_value});
        }
    }

    std::string read_service_reference(const yaml_field& field) {
        auto name = read_text(field, "the name of a service", this->context.sink);
        if (name && !this->context.contents.services.contains(*name)) {
            this->context.reject_reference(field, "the name of a service");
        }
        return name.value_or("");
    }

    // A reused route may refer to a service that this version does not define.
    void check_reused_services(const route& reused) {
        for (const weighted_service& each : reused.targets()) {
            if (!this->context.contents.services.contains(each.service)) {
                location where{.path = child_path("routes", reused.name)};
                this->context.sink.emplace_back(
                    unresolved_reference{std::move(where), "the name of a service", each.service});
            }
        }
    }

    unconfirmed_policy read_unconfirmed_policy(const yaml_field& field) {
        std::string text =
            read_text(field, "refuse or serve", this->context.sink).value_or("refuse");
        if (text != "refuse" && text != "serve") {
            reject_value(field, "refuse or serve", this->context.sink);
        }
        return text == "serve" ? unconfirmed_policy::serve : unconfirmed_policy::refuse;
    }

    // Two routes that match the same request are rejected: otherwise the order of their names would
    // decide whether the request needs an API key.
    void reject_overlap(const route& added, const yaml_field& prefix) {
        auto& same_prefix = this->by_host_and_prefix[{added.host, added.path_prefix}];
        for (std::size_t index : same_prefix) {
            const route& other = this->routes[index];
            bool overlap = other.methods.empty() || added.methods.empty() ||
                           std::any_of(added.methods.begin(), added.methods.end(),
                                       [&](const auto& method) { return other.accepts(method); });
            if (overlap && prefix.value != nullptr) {
                this->context.sink.emplace_back(conflicting_entries{
                    prefix.where(),
                    fmt::format("a path prefix and methods that differ from route \"{}\"",
                                other.name)});
                break;
            }
        }
        same_prefix.push_back(this->routes.size());
    }

    section_context& context;
    std::size_t reused_count;
    std::vector<route> routes;  // The reused routes come first.
    // Positions in `routes` by host and path prefix.
    std::map<std::pair<std::string, std::string>, std::vector<std::size_t>> by_host_and_prefix;
};

}  // namespace

void read_routes(section_context& context, std::vector<route> reused) {
    route_reader reader(context, std::move(reused));
    context.for_each_entry(
        context.sections.optional("routes"),
        [&reader](const std::string& name, map_reader& entry) { reader.read(name, entry); });
    context.contents.routes = route_table(reader.take_sorted_routes());
}

}  // namespace trefoil::config::detail
