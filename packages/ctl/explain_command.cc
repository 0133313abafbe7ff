// Implements the command `explain`.

#include "ctl/explain_command.h"

#include <fmt/format.h>

#include "ctl/text_table.h"

namespace trefoil::ctl {

namespace {

using json = nlohmann::json;

// Percent-encodes all characters except the unreserved ones (RFC 3986, section 2.3).
std::string encode_query_value(const std::string& text) {
    constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    for (char c : text) {
        bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                     unreserved.find(c) != std::string_view::npos;
        if (plain) {
            encoded.push_back(c);
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

std::string option_value(const boost::program_options::variables_map& values, const char* name) {
    return values[name].as<std::string>();
}

// Returns the services of the route as text; those of a split with their percentages.
std::string services_text(const json& content) {
    std::vector<json> services = list_field(content, "services");
    if (services.empty()) {
        return "-";
    }
    if (services.size() == 1) {
        return text_field(services.front(), "service");
    }
    constexpr double percent = 100;
    std::string text;
    for (const json& each : services) {
        text += fmt::format("{}{} {:.4g}%", text.empty() ? "" : ", ", text_field(each, "service"),
                            number_field(each, "share") * percent);
    }
    return text;
}

}  // namespace

std::string explain_command::name() const {
    return "explain";
}

std::string explain_command::summary() const {
    return "Show what daemons would do with a request, and the upstreams by failure domain.";
}

void explain_command::add_options(boost::program_options::options_description& shown,
                                  boost::program_options::options_description& hidden) const {
    using boost::program_options::value;
    fleet_command::add_options(shown, hidden);
    auto add = shown.add_options();
    add("host", value<std::string>()->default_value(""),
        "value of the Host header; without it only routes for every host match");
    add("method", value<std::string>()->default_value("GET"), "method of the request");
    add("path", value<std::string>()->required(), "path of the request");
    add("workspace", value<std::string>()->default_value(""), "workspace by name; empty for none");
}

std::string explain_command::target(const boost::program_options::variables_map& values) const {
    return fmt::format("/explain?host={}&method={}&path={}&workspace={}",
                       encode_query_value(option_value(values, "host")),
                       encode_query_value(option_value(values, "method")),
                       encode_query_value(option_value(values, "path")),
                       encode_query_value(option_value(values, "workspace")));
}

bool explain_command::print(const std::vector<admin_response>& responses, std::ostream* out) const {
    if (out == nullptr) {
        return true;
    }
    text_table decisions({"FAILURE DOMAIN", "INSTANCE", "DECISION", "REASON", "ROUTE", "SERVICE"});
    text_table upstreams(
        {"FAILURE DOMAIN", "SERVICE", "UPSTREAM", "USABLE", "REASON", "SCORE", "SEEN BY"});
    for (const admin_response& response : responses) {
        const json& content = response.content;
        std::string instance = text_field(content, "instance");
        decisions.add_row({text_field(content, "failure_domain"), instance,
                           text_field(content, "decision"), text_field(content, "reason"),
                           text_field(content, "route"), services_text(content)});
        for (const json& each : list_field(content, "candidates")) {
            upstreams.add_row({text_field(each, "failure_domain"), text_field(each, "service"),
                               text_field(each, "instance"), text_field(each, "usable"),
                               text_field(each, "reason"), text_field(each, "score"), instance});
        }
    }
    decisions.sort_rows();
    upstreams.sort_rows();
    *out << decisions.to_string();
    if (!upstreams.empty()) {
        *out << '\n' << upstreams.to_string();
    }
    return true;
}

}  // namespace trefoil::ctl
