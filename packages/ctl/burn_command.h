// The command `burn`: how fast services spend their error budget, by failure domain.
//
// Fields read from /burn: failure_domain and services (service, availability, windows), where each
// window has seconds, calls and bad. The burn rate of a window is the share of bad calls divided by
// the share that the objective allows; at 1 the budget lasts exactly for the period of the
// objective. Something is found when a service burns faster than that in all of its windows: the
// short window shows that it still happens, the long one that it is more than a brief disturbance.

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
    bool print(const std::vector<admin_report>& reports, std::ostream* out) const override;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_BURN_COMMAND_H_
