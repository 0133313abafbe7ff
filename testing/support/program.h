// Shared main function of the programs in testing/.
//
// Example:
//
//     std::uint16_t port = 0;
//     boost::program_options::options_description description;
//     description.add_options()("port", value(&port)->required());
//     return run_program(argc, argv, description, [&] { return serve_on(port); });

#ifndef TREFOIL_TESTING_SUPPORT_PROGRAM_H_
#define TREFOIL_TESTING_SUPPORT_PROGRAM_H_

#include <boost/program_options.hpp>
#include <functional>
#include <iostream>

namespace trefoil::testing {

using boost::program_options::value;

// Parses the command line and returns what `run` returns. Prints the message of an exception from
// either to standard error and returns 2.
inline int run_program(int argc, char** argv,
                       const boost::program_options::options_description& description,
                       const std::function<int()>& run) {
    try {
        boost::program_options::variables_map parsed;
        store(parse_command_line(argc, argv, description), parsed);
        notify(parsed);
        return run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 2;
    }
}

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_PROGRAM_H_
