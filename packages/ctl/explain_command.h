// The command `explain`: shows whether and to which route daemons would forward a request, and the
// candidate upstreams by failure domain.
//
// Fields read from /explain: instance, failure_domain, decision (forward or refuse), reason, route,
// service and candidates (instance, failure_domain, usable, reason, score).

#ifndef TREFOIL_CTL_EXPLAIN_COMMAND_H_
#define TREFOIL_CTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/fleet_command.h"

namespace trefoil::ctl {

class explain_command final : public fleet_command {
public:
    using fleet_command::fleet_command;

    std::string name() const override;
    std::string summary() const override;
    void add_options(boost::program_options::options_description& shown,
                     boost::program_options::options_description& hidden) const override;

protected:
    std::string target(const boost::program_options::variables_map& values) const override;
    bool print(const std::vector<admin_response>& responses, std::ostream* out) const override;
};

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_EXPLAIN_COMMAND_H_
