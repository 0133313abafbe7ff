// Implements the command `status`.

#include "ctl/status_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>

#include "ctl/text_table.h"

namespace trefoil::ctl {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 4> member_states = {"live", "leaving", "suspected", "gone"};

bool newest_in_force(const json& document) {
    return text_field(document, "newest") == text_field(document, "in_force");
}

std::string revision_text(const json& document) {
    std::string in_force = text_field(document, "in_force");
    return newest_in_force(document)
               ? in_force
               : fmt::format("{} (newest {})", in_force, text_field(document, "newest"));
}

// Returns the revision column for the first document whose name starts with `prefix`.
std::string revision_of(const json& content, const std::string& prefix) {
    for (const json& document : list_field(content, "documents")) {
        if (text_field(document, "name").starts_with(prefix)) {
            return revision_text(document);
        }
    }
    return "-";
}

std::string confirmation_text(const json& content) {
    if (!boolean_field(content, "confirmed")) {
        return "no";
    }
    return fmt::format("{:.1f} s ago", number_field(content, "confirmation_age_ms") / 1000);
}

std::string members_text(const json& content) {
    std::map<std::string, int> counts;
    for (const json& member : list_field(content, "members")) {
        ++counts[text_field(member, "state")];
    }
    std::string text;
    for (const char* state : member_states) {
        if (counts.contains(state)) {
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts[state], state);
        }
    }
    return text.empty() ? "-" : text;
}

// Returns the first failure and the number of the others.
std::string failures_text(const json& rejected) {
    auto failures = rejected.find("failures");
    bool known = failures != rejected.end() && failures->is_array() && !failures->empty() &&
                 failures->front().is_string();
    if (!known) {
        return "-";
    }
    std::string others =
        failures->size() > 1 ? fmt::format(" (and {} more)", failures->size() - 1) : "";
    return failures->front().get<std::string>() + others;
}

// Returns one line for each reason why the newest documents are not in force.
std::string problems_text(const json& content) {
    std::string text;
    std::string instance = text_field(content, "instance");
    auto rejected = content.find("rejected");
    if (rejected != content.end() && rejected->is_object()) {
        text += fmt::format("{}: base {} with overlay {} is rejected: {}\n", instance,
                            text_field(*rejected, "base"), text_field(*rejected, "overlay"),
                            failures_text(*rejected));
    }
    auto unreadable = content.find("unreadable");
    if (unreadable != content.end() && unreadable->is_object()) {
        text += fmt::format("{}: {} {} cannot be read: {}\n", instance,
                            text_field(*unreadable, "document"),
                            text_field(*unreadable, "revision"), text_field(*unreadable, "detail"));
    }
    return text;
}

bool is_healthy(const json& content) {
    std::vector<json> documents = list_field(content, "documents");
    auto unreadable = content.find("unreadable");
    if (unreadable != content.end() && unreadable->is_object()) {
        return false;
    }
    return boolean_field(content, "ready") && boolean_field(content, "confirmed") &&
           std::all_of(documents.begin(), documents.end(), newest_in_force);
}

}  // namespace

std::string status_command::name() const {
    return "status";
}

std::string status_command::summary() const {
    return "Show versions in force, readiness, confirmation and members by failure domain.";
}

std::string status_command::target(const boost::program_options::variables_map& /*values*/) const {
    return "/status";
}

bool status_command::print(const std::vector<admin_response>& responses, std::ostream* out) const {
    text_table table({"FAILURE DOMAIN", "INSTANCE", "SITE", "SERVICE", "READY", "CONFIRMED", "BASE",
                      "OVERLAY", "INSTANCES", "MEMBERS"});
    bool healthy = true;
    std::string problems;
    for (const admin_response& response : responses) {
        const json& content = response.content;
        table.add_row({text_field(content, "failure_domain"), text_field(content, "instance"),
                       text_field(content, "site"), text_field(content, "service"),
                       text_field(content, "ready"), confirmation_text(content),
                       revision_of(content, "base"), revision_of(content, "site/"),
                       revision_of(content, "instances"), members_text(content)});
        problems += problems_text(content);
        healthy = healthy && is_healthy(content);
    }
    table.sort_rows();
    if (out != nullptr) {
        *out << table.to_string() << problems;
    }
    return healthy;
}

}  // namespace trefoil::ctl
