// Implements command-line parsing and command dispatch with Boost.Program_options.

#include "ctl/command_line.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options/cmdline.hpp>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/parsers.hpp>

#include "ctl/burn_command.h"
#include "ctl/check_command.h"
#include "ctl/completion_command.h"
#include "ctl/diff_command.h"
#include "ctl/explain_command.h"
#include "ctl/render_command.h"
#include "ctl/status_command.h"

namespace trefoil::ctl {

namespace {

namespace options = boost::program_options;

void print_overview(const command_list& commands, std::ostream& out) {
    out << "Usage: trefoilctl COMMAND [ARGUMENT...]\n\nCommands:\n";
    for (const auto& each : commands) {
        out << fmt::format("  {:<12}{}\n", each->name(), each->summary());
    }
    out << "\n'trefoilctl COMMAND --help' describes one command.\n"
           "Exit codes: 0 success, 1 problem or difference found, 2 usage error.\n";
}

void print_help(const command& chosen, const options::options_description& shown,
                std::ostream& out) {
    out << fmt::format("Usage: trefoilctl {} {}\n\n{}\n\n", chosen.name(), chosen.arguments(),
                       chosen.summary());
    out << shown;
}

exit_code run_command(command& chosen, const std::vector<std::string>& arguments,
                      output_streams output) {
    options::options_description shown("Options");
    options::options_description hidden;
    options::positional_options_description positions;
    shown.add_options()("help,h", "print this help");
    chosen.add_options(shown, hidden);
    chosen.add_positional_options(positions);
    options::options_description all;
    all.add(shown).add(hidden);
    // Abbreviated option names are rejected: an abbreviation could become ambiguous or match
    // another option when options are added.
    int style =
        options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments)
                           .options(all)
                           .positional(positions)
                           .style(style)
                           .run(),
                       values);
        options::notify(values);
    } catch (const options::error& error) {
        return usage_error(output, error.what());
    }
    if (values.contains("help")) {
        print_help(chosen, shown, output.out);
        return exit_code::success;
    }
    return chosen.run(values, output);
}

}  // namespace

command_list make_commands(admin_client& client) {
    command_list commands;
    commands.push_back(std::make_unique<check_command>());
    commands.push_back(std::make_unique<render_command>());
    commands.push_back(std::make_unique<diff_command>());
    commands.push_back(std::make_unique<status_command>(client));
    commands.push_back(std::make_unique<explain_command>(client));
    commands.push_back(std::make_unique<burn_command>(client));
    commands.push_back(std::make_unique<completion_command>());
    return commands;
}

exit_code run(const command_list& commands, const std::vector<std::string>& arguments,
              output_streams output) {
    if (arguments.empty()) {
        print_overview(commands, output.error);
        return exit_code::usage;
    }
    const std::string& name = arguments.front();
    if (name == "--help" || name == "-h" || name == "help") {
        print_overview(commands, output.out);
        return exit_code::success;
    }
    auto chosen = std::find_if(commands.begin(), commands.end(),
                               [&name](const auto& each) { return each->name() == name; });
    if (chosen == commands.end()) {
        return usage_error(output, fmt::format("unknown command \"{}\"; see --help", name));
    }
    return run_command(**chosen, {arguments.begin() + 1, arguments.end()}, output);
}

}  // namespace trefoil::ctl
