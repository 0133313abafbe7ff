// Frame of the programs in testing/: options, and failures on standard error with exit status 2.

#ifndef TREFOIL_TESTING_SUPPORT_PROGRAM_H_
#define TREFOIL_TESTING_SUPPORT_PROGRAM_H_

#include <boost/program_options.hpp>
#include <functional>
#include <iostream>

namespace trefoil::testing {

using boost::program_options::value;

inline int run_program(int argc, char** argv,
                       const boost::program_options::options_description& description,
                       const std::function<int()>& body) {
    try {
        boost::program_options::variables_map values;
        store(parse_command_line(argc, argv, description), values);
        notify(values);
        return body();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 2;
    }
}

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_PROGRAM_H_
