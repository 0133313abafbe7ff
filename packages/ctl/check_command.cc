// Implements the command `check`.

#include "ctl/check_command.h"

#include <fmt/format.h>

#include <set>
#include <vector>

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

}  // namespace

std::string check_command::name() const {
    return "check";
}

std::string check_command::arguments() const {
    return "BASE [OVERLAY...]";
}

std::string check_command::summary() const {
    return "Validate a base document alone or with each of its overlays.";
}

void check_command::add_options(boost::program_options::options_description& /*shown*/,
                                boost::program_options::options_description& hidden) const {
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
    std::set<std::string> printed;
    bool valid = true;
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
        } else {
            output.out << pair << ": valid\n";
        }
    }
    return valid ? exit_code::success : exit_code::findings;
}

}  // namespace trefoil::ctl
