// Implements asking admin endpoints and the lenient reading of their answers: daemons of another
// version may lack fields, and the rest of their answers is still of use.

#include "ctl/fleet_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/result.h"
#include "config/redaction.h"

namespace trefoil::ctl {

namespace {

using json = nlohmann::json;

// Daemons never answer with digests; this keeps the promise of the tool also for other endpoints.
std::string hidden(const std::string& text) {
    return config::hide_hex_runs(text, config::digest_hex_digits);
}

// Returns a copy in which no text or name contains a digest.
json without_digests(const json& source) {
    if (source.is_string()) {
        return hidden(source.get<std::string>());
    }
    if (source.is_array()) {
        json copy = json::array();
        for (const json& each : source) {
            copy.push_back(without_digests(each));
        }
        return copy;
    }
    if (source.is_object()) {
        json copy = json::object();
        for (const auto& [name, value] : source.items()) {
            copy[hidden(name)] = without_digests(value);
        }
        return copy;
    }
    return source;
}

bool is_address(const std::string& text) {
    bool plain = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == ':' || c == '-' || c == '[' || c == ']';
    });
    return plain && text.find(':') != std::string::npos;
}

std::string failure_text(const admin_outcome& outcome) {
    return std::visit(overloaded{
                          [](const std::string&) { return std::string("no JSON object"); },
                          [](const unreachable_endpoint& failure) { return failure.detail; },
                          [](const unexpected_status& failure) {
                              return fmt::format("status {}", failure.status);
                          },
                      },
                      outcome);
}

std::string json_text(const std::vector<admin_report>& reports) {
    json list = json::array();
    for (const admin_report& each : reports) {
        list.push_back({{"address", each.address}, {"answer", each.answer}});
    }
    return list.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace

void fleet_command::add_options(boost::program_options::options_description& shown,
                                boost::program_options::options_description& /*hidden*/) const {
    using boost::program_options::value;
    auto add = shown.add_options();
    add("admin", value<std::vector<std::string>>()->multitoken()->composing(),
        "admin addresses of daemons, as IP:PORT");
    add("json", "print the answers as JSON");
}

void fleet_command::add_positions(
    boost::program_options::positional_options_description& /*positions*/) const {}

exit_code fleet_command::run(const boost::program_options::variables_map& values, terminal output) {
    std::vector<std::string> addresses = values_of(values, "admin");
    if (addresses.empty()) {
        return usage_error(output, this->name() + " needs --admin with at least one address");
    }
    for (const std::string& each : addresses) {
        if (!is_address(each)) {
            return usage_error(output,
                               fmt::format("--admin: expected IP:PORT, found \"{}\"", each));
        }
    }
    std::vector<admin_report> reports = this->collect(addresses, this->target(values), output);
    bool json_wanted = values.contains("json");
    bool well = this->print(reports, json_wanted ? nullptr : &output.out);
    if (json_wanted) {
        output.out << json_text(reports);
    }
    bool complete = reports.size() == addresses.size();
    return complete && well ? exit_code::good : exit_code::found_something;
}

std::vector<admin_report> fleet_command::collect(const std::vector<std::string>& addresses,
                                                 const std::string& target, terminal output) {
    std::vector<admin_outcome> outcomes = this->client.fetch(addresses, target);
    std::vector<admin_report> reports;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto* body = std::get_if<std::string>(&outcomes[i]);
        json answer = body == nullptr ? json() : json::parse(*body, nullptr, false);
        if (answer.is_object()) {
            reports.push_back({addresses[i], without_digests(answer)});
        } else {
            output.error << fmt::format("trefoilctl: {}: {}\n", addresses[i],
                                        failure_text(outcomes[i]));
        }
    }
    return reports;
}

std::string text_field(const json& object, const std::string& name) {
    auto found = object.find(name);
    if (found == object.end() || found->is_null() || found->is_structured()) {
        return "-";
    }
    if (found->is_boolean()) {
        return found->get<bool>() ? "yes" : "no";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

double number_field(const json& object, const std::string& name) {
    auto found = object.find(name);
    return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

bool boolean_field(const json& object, const std::string& name) {
    auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

std::vector<json> list_field(const json& object, const std::string& name) {
    std::vector<json> list;
    auto found = object.find(name);
    if (found == object.end() || !found->is_array()) {
        return list;
    }
    for (const json& each : *found) {
        if (each.is_object()) {
            list.push_back(each);
        }
    }
    return list;
}

}  // namespace trefoil::ctl
