// Implements the requests to admin endpoints and the parsing of their responses. Parsing tolerates
// missing fields, because the fleet may contain daemons of other versions.

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

// Hides digests of API keys. Daemons do not send any, but an address may belong to another process
// that does.
std::string redact(const std::string& text) {
    return config::hide_hex_runs(text, config::digest_hex_digits);
}

// Returns a copy in which the digests in all strings and member names are hidden.
json redact_digests(const json& source) {
    if (source.is_string()) {
        return redact(source.get<std::string>());
    }
    if (source.is_array()) {
        json copy = json::array();
        for (const json& each : source) {
            copy.push_back(redact_digests(each));
        }
        return copy;
    }
    if (source.is_object()) {
        json copy = json::object();
        for (const auto& [name, value] : source.items()) {
            copy[redact(name)] = redact_digests(value);
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

std::string describe_failure(const admin_outcome& outcome) {
    return std::visit(overloaded{
                          [](const std::string&) { return std::string("no JSON object"); },
                          [](const unreachable_endpoint& failure) { return failure.detail; },
                          [](const unexpected_status& failure) {
                              return fmt::format("status {}", failure.status);
                          },
                      },
                      outcome);
}

std::string to_json_text(const std::vector<admin_response>& responses) {
    json list = json::array();
    for (const admin_response& each : responses) {
        list.push_back({{"address", each.address}, {"answer", each.content}});
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
    add("json", "print the responses as JSON");
}

void fleet_command::add_positional_options(
    boost::program_options::positional_options_description& /*positions*/) const {}

exit_code fleet_command::run(const boost::program_options::variables_map& values,
                             output_streams output) {
    std::vector<std::string> addresses = option_values(values, "admin");
    if (addresses.empty()) {
        return usage_error(output, this->name() + " needs --admin with at least one address");
    }
    for (const std::string& each : addresses) {
        if (!is_address(each)) {
            return usage_error(output,
                               fmt::format("--admin: expected IP:PORT, found \"{}\"", each));
        }
    }
    std::vector<admin_response> responses =
        this->fetch_responses(addresses, this->target(values), output);
    bool print_json = values.contains("json");
    bool healthy = this->print(responses, print_json ? nullptr : &output.out);
    if (print_json) {
        output.out << to_json_text(responses);
    }
    bool complete = responses.size() == addresses.size();
    return complete && healthy ? exit_code::success : exit_code::findings;
}

std::vector<admin_response> fleet_command::fetch_responses(
    const std::vector<std::string>& addresses, const std::string& target, output_streams output) {
    std::vector<admin_outcome> outcomes = this->client.fetch(addresses, target);
    std::vector<admin_response> responses;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto* body = std::get_if<std::string>(&outcomes[i]);
        json content = body == nullptr ? json() : json::parse(*body, nullptr, false);
        if (content.is_object()) {
            responses.push_back({addresses[i], redact_digests(content)});
        } else {
            output.error << fmt::format("trefoilctl: {}: {}\n", addresses[i],
                                        describe_failure(outcomes[i]));
        }
    }
    return responses;
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
