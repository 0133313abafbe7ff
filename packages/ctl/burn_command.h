// The command `burn`: shows how fast services spend their error budget, by failure domain and
// workspace.
//
// Fields read from /burn: failure_domain and services (service, workspace, availability, windows),
// where each window has seconds, calls and bad. The burn rate of a window is the fraction of bad
// calls divided by the fraction that the availability objective allows; at a burn rate of 1 the
// error budget lasts exactly for the period of the objective. The command exits with
// exit_code::findings when the burn rate of a service exceeds 1 in all of its windows: the short
// window shows that the errors are still occurring, the long window that they are not just a short
// burst.

#ifndef TREFOIL_CTL_BURN_COMMAND_H_
#define TREFOIL_CTL_BURN_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/fleet_command.h"

namespace trefoil::ctl {

class burn_command final : public fleet_command {
public:
    using fleet_command::fleet_command;

    std::string name() const override;
    std::string summary() const override;

protected:
    std::string target(const boost::program_options::variables_map& values) const override;
    bool print(const std::vector<admin_response>& responses, std::ostream* out) const override;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_BURN_COMMAND_H_
