// The command `status`: shows revisions in force, readiness, confirmation and members by failure
// domain.
//
// Fields read from /status: instance, failure_domain, site, service, ready, confirmed,
// confirmation_age_ms, documents (name, newest, in_force) and members (instance, state). A daemon
// is confirmed while it knows that its configuration is the newest one. The command exits with
// exit_code::findings unless every daemon is ready and confirmed and has the newest revision of
// each document in force.

#ifndef TREFOIL_CTL_STATUS_COMMAND_H_
#define TREFOIL_CTL_STATUS_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/fleet_command.h"

namespace trefoil::ctl {

class status_command final : public fleet_command {
public:
    using fleet_command::fleet_command;

    std::string name() const override;
    std::string summary() const override;

protected:
    std::string target(const boost::program_options::variables_map& values) const override;
    bool print(const std::vector<admin_response>& responses, std::ostream* out) const override;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_STATUS_COMMAND_H_
