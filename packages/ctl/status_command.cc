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

// Returns the revision cell of the first document whose name starts with `prefix`.
std::string revision_of(const json& answer, const std::string& prefix) {
    for (const json& document : list_field(answer, "documents")) {
        if (text_field(document, "name").starts_with(prefix)) {
            return revision_text(document);
        }
    }
    return "-";
}

std::string confirmation_text(const json& answer) {
    if (!boolean_field(answer, "confirmed")) {
        return "no";
    }
    return fmt::format("{:.1f} s ago", number_field(answer, "confirmation_age_ms") / 1000);
}

std::string members_text(const json& answer) {
    std::map<std::string, int> counts;
    for (const json& member : list_field(answer, "members")) {
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

bool is_well(const json& answer) {
    std::vector<json> documents = list_field(answer, "documents");
    return boolean_field(answer, "ready") && boolean_field(answer, "confirmed") &&
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

bool status_command::print(const std::vector<admin_report>& reports, std::ostream* out) const {
    text_table table({"FAILURE DOMAIN", "INSTANCE", "SITE", "SERVICE", "READY", "CONFIRMED", "BASE",
                      "OVERLAY", "INSTANCES", "MEMBERS"});
    bool well = true;
    for (const admin_report& report : reports) {
        const json& answer = report.answer;
        table.add({text_field(answer, "failure_domain"), text_field(answer, "instance"),
                   text_field(answer, "site"), text_field(answer, "service"),
                   text_field(answer, "ready"), confirmation_text(answer),
                   revision_of(answer, "base"), revision_of(answer, "site/"),
                   revision_of(answer, "instances"), members_text(answer)});
        well = well && is_well(answer);
    }
    table.sort();
    if (out != nullptr) {
        *out << table.text();
    }
    return well;
}

}  // namespace trefoil::ctl
