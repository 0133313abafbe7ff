// The command `completion`: prints a script that completes commands and options in a shell.

#ifndef TREFOIL_CTL_COMPLETION_COMMAND_H_
#define TREFOIL_CTL_COMPLETION_COMMAND_H_

#include <string>

#include "ctl/command.h"

namespace trefoil::ctl {

class completion_command final : public command {
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    void add_options(boost::program_options::options_description& shown,
                     boost::program_options::options_description& hidden) const override;
    void add_positional_options(
        boost::program_options::positional_options_description& positions) const override;
    exit_code run(const boost::program_options::variables_map& values,
                  output_streams output) override;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_COMPLETION_COMMAND_H_
