// Implements the Prometheus text format.

#include "telemetry/prometheus_text.h"

#include <fmt/format.h>

#include <iterator>
#include <string_view>

#include "base/result.h"

namespace trefoil::telemetry {

namespace {

std::string escape(std::string_view text, bool with_quotes) {
    std::string escaped;
    escaped.reserve(text.size());
    for (char letter : text) {
        if (letter == '\\') {
            escaped += "\\\\";
        } else if (letter == '\n') {
            escaped += "\\n";
        } else if (letter == '"' && with_quotes) {
            escaped += "\\\"";
        } else {
            escaped += letter;
        }
    }
    return escaped;
}

// The labels in braces, with `bound` as the label "le" unless it is empty.
std::string label_text(const label_list& labels, std::string_view bound = "") {
    std::string text;
    for (const auto& [name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value, true));
    }
    if (!bound.empty()) {
        text += fmt::format("{}le=\"{}\"", text.empty() ? "" : ",", bound);
    }
    return text.empty() ? text : "{" + text + "}";
}

std::string_view type_name(const series& item) {
    constexpr std::string_view names[] = {"counter", "gauge", "histogram"};
    return names[item.value.index()];
}

void print_histogram(const series& item, const histogram_values& values, std::string& text) {
    auto out = std::back_inserter(text);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < values.counts.size(); ++i) {
        total += values.counts[i];
        bool bounded = i < bucket_bounds_us.size();
        std::string bound = bounded ? fmt::format("{}", bucket_bounds_us[i]) : "+Inf";
        fmt::format_to(out, "{}_bucket{} {}\n", item.name, label_text(item.labels, bound), total);
    }
    fmt::format_to(out, "{}_sum{} {}\n", item.name, label_text(item.labels), values.sum_us);
    fmt::format_to(out, "{}_count{} {}\n", item.name, label_text(item.labels), total);
}

void print_values(const series& item, std::string& text) {
    if (const auto* values = std::get_if<histogram_values>(&item.value)) {
        print_histogram(item, *values, text);
        return;
    }
    auto print = overloaded{[](std::uint64_t value) { return fmt::format("{}", value); },
                            [](std::int64_t value) { return fmt::format("{}", value); },
                            [](const histogram_values&) { return std::string(); }};
    std::string value = std::visit(print, item.value);
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", item.name, label_text(item.labels),
                   value);
}

}  // namespace

std::string prometheus_text(const std::vector<series>& all) {
    std::string text;
    auto out = std::back_inserter(text);
    std::string_view previous;
    for (const series& item : all) {
        if (item.name != previous) {
            if (!item.help.empty()) {
                fmt::format_to(out, "# HELP {} {}\n", item.name, escape(item.help, false));
            }
            fmt::format_to(out, "# TYPE {} {}\n", item.name, type_name(item));
            previous = item.name;
        }
        print_values(item, text);
    }
    return text;
}

}  // namespace trefoil::telemetry
