// Base class of the commands that read the admin endpoints of daemons.

#ifndef TREFOIL_CTL_FLEET_COMMAND_H_
#define TREFOIL_CTL_FLEET_COMMAND_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/command.h"

namespace trefoil::ctl {

// The response of one admin endpoint.
struct admin_response {
    std::string address;
    nlohmann::json content;  // A JSON object in which digests of API keys are hidden.
};

class fleet_command : public command {
public:
    // `source` must outlive the command.
    explicit fleet_command(admin_client& source) : client(source) {}

    std::string arguments() const override { return "--admin ADDRESS... [OPTION...]"; }
    void add_options(boost::program_options::options_description& shown,
                     boost::program_options::options_description& hidden) const override;
    void add_positional_options(
        boost::program_options::positional_options_description& positions) const override;

    // Sends the request to all endpoints and prints a table or, with --json, the responses as JSON.
    // Returns exit_code::findings when an endpoint sent no JSON object with status 200 or print()
    // returned false.
    exit_code run(const boost::program_options::variables_map& values, output_streams output) final;

protected:
    // Returns path and query of the admin request.
    virtual std::string target(const boost::program_options::variables_map& values) const = 0;

    // Evaluates the responses; prints them as a table by failure domain unless `out` is null.
    // Returns false if they show a problem.
    virtual bool print(const std::vector<admin_response>& responses, std::ostream* out) const = 0;

private:
    std::vector<admin_response> fetch_responses(const std::vector<std::string>& addresses,
                                                const std::string& target, output_streams output);

    admin_client& client;
};

// Returns a field as text; "-" if it is absent or not a scalar.
std::string text_field(const nlohmann::json& object, const std::string& name);

// Returns a field as number; 0 if it is absent or not a number.
double number_field(const nlohmann::json& object, const std::string& name);

// Returns a field as boolean; false if it is absent or not a boolean.
bool boolean_field(const nlohmann::json& object, const std::string& name);

// Returns the objects in a list field; elements of other types are skipped. Empty if the field is
// absent or not a list.
std::vector<nlohmann::json> list_field(const nlohmann::json& object, const std::string& name);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_FLEET_COMMAND_H_
