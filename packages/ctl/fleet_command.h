// The common part of the commands that read the admin endpoints of daemons.

#ifndef TREFOIL_CTL_FLEET_COMMAND_H_
#define TREFOIL_CTL_FLEET_COMMAND_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/command.h"

namespace trefoil::ctl {

// The answer of one endpoint.
struct admin_report {
    std::string address;
    nlohmann::json answer;  // An object; texts that look like a key or digest are hidden.
};

class fleet_command : public command {
public:
    // `source` must outlive the command.
    explicit fleet_command(admin_client& source) : client(source) {}

    std::string arguments() const override { return "--admin ADDRESS... [OPTION...]"; }
    void add_options(boost::program_options::options_description& shown,
                     boost::program_options::options_description& hidden) const override;
    void add_positions(
        boost::program_options::positional_options_description& positions) const override;

    // Asks all endpoints and prints a table or, with --json, the answers. Finds something when an
    // endpoint gave no answer or when print() says so.
    exit_code run(const boost::program_options::variables_map& values, terminal output) final;

protected:
    virtual std::string target(const boost::program_options::variables_map& values) const = 0;

    // Prints a table by failure domain unless `out` is null; returns whether all is well.
    virtual bool print(const std::vector<admin_report>& reports, std::ostream* out) const = 0;

private:
    std::vector<admin_report> collect(const std::vector<std::string>& addresses,
                                      const std::string& target, terminal output);

    admin_client& client;
};

// Reads a field as text; "-" when it is absent or not a scalar.
std::string text_field(const nlohmann::json& object, const std::string& name);

// Reads a field as number; 0 when it is absent or not a number.
double number_field(const nlohmann::json& object, const std::string& name);

// Reads a field as boolean; false when it is absent or not a boolean.
bool boolean_field(const nlohmann::json& object, const std::string& name);

// Reads a field as list of objects; elements of other types are left out.
std::vector<nlohmann::json> list_field(const nlohmann::json& object, const std::string& name);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_FLEET_COMMAND_H_
