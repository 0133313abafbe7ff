// Entry point of trefoilctl, the read-only command-line tool for operators.

#include <iostream>
#include <string>
#include <vector>

#include "ctl/command_line.h"
#include "ctl/curl_admin_client.h"

int main(int argc, char** argv) {
    std::vector<std::string> arguments(argv + 1, argv + argc);
    trefoil::ctl::curl_admin_client client({});
    trefoil::ctl::command_list commands = trefoil::ctl::make_commands(client);
    trefoil::ctl::exit_code code =
        trefoil::ctl::run(commands, arguments, {.out = std::cout, .error = std::cerr});
    std::cout.flush();
    // Output that could not be written, for example because the disk is full, must not exit with
    // success.
    if (!std::cout) {
        std::cerr << "trefoilctl: cannot write the output\n";
        return static_cast<int>(trefoil::ctl::exit_code::usage);
    }
    return static_cast<int>(code);
}
