// Parses the command line and runs the selected command.
//
// Example:
//
//     ctl::command_list commands = ctl::make_commands(client);
//     ctl::exit_code code = ctl::run(commands, {"check", "base.yaml"}, {std::cout, std::cerr});

#ifndef TREFOIL_CTL_COMMAND_LINE_H_
#define TREFOIL_CTL_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/command.h"

namespace trefoil::ctl {

// Returns all commands. `client` must outlive them.
command_list make_commands(admin_client& client);

// Runs the command named by the first argument. `arguments` excludes the program name.
exit_code run(const command_list& commands, const std::vector<std::string>& arguments,
              output_streams output);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_COMMAND_LINE_H_
