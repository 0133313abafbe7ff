// Implements the output in the Prometheus text format.

#include "telemetry/prometheus_text.h"

#include <fmt/format.h>

#include <iterator>
#include <string_view>

#include "base/result.h"

namespace trefoil::telemetry {

namespace {

// Escapes backslashes and line feeds, and for label values also double quotes.
std::string escape(std::string_view text, bool escape_quotes) {
    std::string escaped;
    escaped.reserve(text.size());
    for (char c : text) {
        if (c == '\\') {
            escaped += "\\\\";
        } else if (c == '\n') {
            escaped += "\\n";
        } else if (c == '"' && escape_quotes) {
            escaped += "\\\"";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

// Formats the labels in braces, followed by the label "le" with the value `bound` unless it is
// empty. Returns an empty string when there are no labels.
std::string format_labels(const label_list& labels, std::string_view bound = "") {
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

void append_histogram(const series& item, const histogram_values& values, std::string& text) {
    auto out = std::back_inserter(text);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < values.counts.size(); ++i) {
        total += values.counts[i];
        bool bounded = i < bucket_bounds_us.size();
        std::string bound = bounded ? fmt::format("{}", bucket_bounds_us[i]) : "+Inf";
        fmt::format_to(out, "{}_bucket{} {}\n", item.name, format_labels(item.labels, bound),
                       total);
    }
    fmt::format_to(out, "{}_sum{} {}\n", item.name, format_labels(item.labels), values.sum_us);
    fmt::format_to(out, "{}_count{} {}\n", item.name, format_labels(item.labels), total);
}

void append_series(const series& item, std::string& text) {
    if (const auto* values = std::get_if<histogram_values>(&item.value)) {
        append_histogram(item, *values, text);
        return;
    }
    auto format_value = overloaded{[](std::uint64_t value) { return fmt::format("{}", value); },
                                   [](std::int64_t value) { return fmt::format("{}", value); },
                                   [](const histogram_values&) { return std::string(); }};
    std::string value = std::visit(format_value, item.value);
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", item.name, format_labels(item.labels),
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
        append_series(item, text);
    }
    return text;
}

}  // namespace trefoil::telemetry
