// The interface of trefoilctl's commands, and helper functions for their implementation.
// command_line.h creates and runs the commands.
//
// Example of an implementation of command::run():
//
//     std::vector<std::string> files = ctl::option_values(values, "file");
//     if (files.empty()) {
//         return ctl::usage_error(output, "check needs a base document");
//     }

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

// Exit codes of the process. `findings`: the command ran and reported a problem or a difference.
// `usage`: the command line is invalid, a file cannot be read, or the output cannot be written.
enum class exit_code { success = 0, findings = 1, usage = 2 };

// Output streams of a command: results are printed to `out`, error messages to `error`.
struct output_streams {
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
    // One sentence for the command overview and the help text.
    virtual std::string summary() const = 0;

    // Adds the command's options. `hidden` options are not listed in the help text; they receive
    // the positional arguments.
    virtual void add_options(boost::program_options::options_description& shown,
                             boost::program_options::options_description& hidden) const = 0;
    virtual void add_positional_options(
        boost::program_options::positional_options_description& positions) const = 0;

    virtual exit_code run(const boost::program_options::variables_map& values,
                          output_streams output) = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

// Returns all values of an option that may be given several times; empty if it is absent.
std::vector<std::string> option_values(const boost::program_options::variables_map& values,
                                       const std::string& name);

// Prints the message with the prefix "trefoilctl: " to the error stream and returns
// exit_code::usage.
exit_code usage_error(output_streams output, const std::string& message);

}  // namespace trefoil::ctl

#endif  // TREFOIL_CTL_COMMAND_H_
