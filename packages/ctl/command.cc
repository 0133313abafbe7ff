// Implements the helper functions of commands.

#include "ctl/command.h"

namespace trefoil::ctl {

std::vector<std::string> option_values(const boost::program_options::variables_map& values,
                                       const std::string& name) {
    auto found = values.find(name);
    return found == values.end() ? std::vector<std::string>()
                                 : found->second.as<std::vector<std::string>>();
}

exit_code usage_error(output_streams output, const std::string& message) {
    output.error << "trefoilctl: " << message << '\n';
    return exit_code::usage;
}

}  // namespace trefoil::ctl
