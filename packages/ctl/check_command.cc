// Implements the command `check`.

#include "ctl/check_command.h"

#include <fmt/format.h>

#include <set>
#include <string>
#include <vector>

#include "config/difference.h"
#include "config/warnings.h"
#include "ctl/document_file.h"

namespace trefoil::ctl {

namespace {

// Prints the failures that were not printed for an earlier overlay. An error in the base document
// occurs with every overlay and would otherwise be printed once per site.
void print_new_failures(const config::validation_failures& failures, std::set<std::string>& printed,
                        std::ostream& out) {
    for (const config::validation_failure& each : failures) {
        std::string line = config::describe(each);
        if (printed.insert(line).second) {
            out << line << '\n';
        }
    }
}

// Prints the warnings that were not printed for an earlier overlay. Returns whether there are any.
bool print_warnings(const config::snapshot& checked, std::set<std::string>& printed,
                    std::ostream& out) {
    auto warnings = config::find_warnings(checked);
    for (const config::warning& each : warnings) {
        std::string line = "warning: " + config::describe(each);
        if (printed.insert(line).second) {
            out << line << '\n';
        }
    }
    return !warnings.empty();
}

// Prints what the document changes compared to the one in force. Returns false if that one cannot
// be read or is invalid.
bool print_changes(const std::string& in_force, const std::string& overlay,
                   const config::snapshot& checked, output_streams output) {
    auto outcome = read_snapshot(in_force, overlay);
    if (auto* failure = std::get_if<unreadable_document>(&outcome)) {
        usage_error(output, describe(*failure));
        return false;
    }
    const auto* current = std::get_if<config::snapshot>(&outcome);
    if (current == nullptr) {
        usage_error(output, fmt::format("{} is invalid", in_force));
        return false;
    }
    for (const config::difference& each : config::compare(*current, checked)) {
        output.out << "change: " << config::describe(each) << '\n';
    }
    return true;
}

}  // namespace

std::string check_command::name() const {
    return "check";
}

std::string check_command::arguments() const {
    return "BASE [OVERLAY...] [--against BASE_IN_FORCE] [--strict]";
}

std::string check_command::summary() const {
    return "Validate a base document alone or with each of its overlays, and warn of entries "
           "without "
           "effect.";
}

void check_command::add_options(boost::program_options::options_description& shown,
                                boost::program_options::options_description& hidden) const {
    shown.add_options()("against", boost::program_options::value<std::string>(),
                        "base document in force, to show what the new one changes");
    shown.add_options()("strict", "exit with 1 also for warnings");
    hidden.add_options()("file", boost::program_options::value<std::vector<std::string>>());
}

void check_command::add_positional_options(
    boost::program_options::positional_options_description& positions) const {
    positions.add("file", -1);
}

exit_code check_command::run(const boost::program_options::variables_map& values,
                             output_streams output) {
    std::vector<std::string> files = option_values(values, "file");
    if (files.empty()) {
        return usage_error(output, "check needs a base document");
    }
    std::vector<std::string> overlays(files.begin() + 1, files.end());
    if (overlays.empty()) {
        overlays.emplace_back(no_overlay);
    }
    std::string against = values.count("against") > 0 ? values["against"].as<std::string>() : "";
    bool strict = values.count("strict") > 0;
    std::set<std::string> printed;
    bool valid = true;
    bool warned = false;
    for (const std::string& overlay : overlays) {
        auto outcome = read_snapshot(files.front(), overlay);
        if (auto* failure = std::get_if<unreadable_document>(&outcome)) {
            return usage_error(output, describe(*failure));
        }
        std::string pair = overlay == no_overlay
                               ? files.front()
                               : fmt::format("{} with {}", files.front(), overlay);
        if (auto* failures = std::get_if<config::validation_failures>(&outcome)) {
            valid = false;
            print_new_failures(*failures, printed, output.out);
            output.out << pair << ": invalid\n";
            continue;
        }
        const auto& checked = std::get<config::snapshot>(outcome);
        output.out << pair << ": valid\n";
        warned = print_warnings(checked, printed, output.error) || warned;
        if (!against.empty() && !print_changes(against, overlay, checked, output)) {
            return exit_code::usage;
        }
    }
    return valid && !(strict && warned) ? exit_code::success : exit_code::findings;
}

}  // namespace trefoil::ctl
