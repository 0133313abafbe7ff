// The interface of trefoilctl's commands, and what commands share.
//
// Example:
//
//     std::vector<std::unique_ptr<ctl::command>> commands = ctl::make_commands(client);
//     ctl::exit_code code = ctl::run(commands, {"check", "base.yaml"}, {std::cout, std::cerr});

#ifndef TREFOIL_CTL_COMMAND_H_
#define TREFOIL_CTL_COMMAND_H_

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace trefoil::ctl {

// Exit codes of the process.
enum class exit_code { good = 0, found_something = 1, usage = 2 };

// Where a command prints: results to `out`, what prevented a result to `error`.
struct terminal {
    std::ostream& out;
    std::ostream& error;
};

class command {
public:
    command() = default;
    virtual ~command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;

    virtual std::string name() const = 0;
    // The arguments as shown in the usage line, such as "BASE OVERLAY...".
    virtual std::string arguments() const = 0;
    // One sentence.
    virtual std::string summary() const = 0;

    // Adds the command's options; `hidden` ones receive positional arguments.
    virtual void add_options(boost::program_options::options_description& shown,
                             boost::program_options::options_description& hidden) const = 0;
    virtual void add_positions(
        boost::program_options::positional_options_description& positions) const = 0;

    virtual exit_code run(const boost::program_options::variables_map& values, terminal output) = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

// Returns the values of a repeated option; empty when it was not given.
std::vector<std::string> values_of(const boost::program_options::variables_map& values,
                                   const std::string& name);

// Prints a message that starts with "trefoilctl: " and returns exit_code::usage.
exit_code usage_error(terminal output, const std::string& message);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_COMMAND_H_
