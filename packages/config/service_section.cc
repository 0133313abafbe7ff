// Reads and validates the section `services`.

#include <utility>

#include "config/section_context.h"

namespace trefoil::config::detail {

namespace {

std::optional<objective> read_objective(section_context& context, const yaml_field& field) {
    map_reader map(field, context.sink);
    yaml_field availability = map.required("availability", "a number");
    yaml_field latency = map.required("latency_ms", "an integer");
    auto fraction = read_number(availability, availability_limits, context.sink);
    auto limit = context.read_milliseconds(latency);
    map.reject_unknown();
    if (!fraction || !limit) {
        return std::nullopt;
    }
    return objective{.availability = *fraction, .latency = *limit};
}

std::optional<cold_start> read_cold_start(section_context& context, const yaml_field& field) {
    map_reader map(field, context.sink);
    yaml_field duration = map.required("duration_ms", "an integer");
    yaml_field rate = map.required("rate", "a number");
    auto time = context.read_milliseconds(duration);
    auto limit = read_number(rate, cold_rate_limits, context.sink);
    map.reject_unknown();
    if (!time || !limit) {
        return std::nullopt;
    }
    return cold_start{.duration = *time, .rate = *limit};
}

void read_slots(section_context& context, const yaml_field& field, service& each) {
    each.slots_from_list = section_context::is_word(field, "listed");
    if (!each.slots_from_list) {
        each.slots = read_integer(field, slots_limits, context.sink).value_or(1);
    }
}

std::string read_health_path(section_context& context, const yaml_field& field) {
    constexpr std::string_view expected = "a path that starts with \"/\"";
    std::string path = read_text(field, expected, context.sink).value_or("");
    if (!path.empty() && path.front() != '/') {
        reject_value(field, expected, context.sink);
    }
    return path;
}

}  // namespace

void read_services(section_context& context) {
    yaml_field section = context.sections.optional("services");
    context.for_each_entry(section, [&context](const std::string& name, map_reader& entry) {
        service each{.name = name};
        read_slots(context, entry.required("slots", "an integer"), each);
        each.timeout =
            context.read_milliseconds(entry.optional("timeout_ms")).value_or(each.timeout);
        each.queue =
            read_integer(entry.optional("queue"), queue_limits, context.sink).value_or(each.queue);
        each.objective = read_objective(context, entry.optional("objective"));
        each.health_path = read_health_path(context, entry.optional("health_path"));
        each.max_connections =
            read_integer(entry.optional("max_connections"), connections_limits, context.sink);
        each.cold_start = read_cold_start(context, entry.optional("cold"));
        context.contents.services.emplace(name, std::move(each));
    });
}

}  // namespace trefoil::config::detail
