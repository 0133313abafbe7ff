// Checks the event files of one run: history_checker FILE... Exits with 0 when every check holds, 1
// when a check is violated, 2 when a file cannot be read or contains a line that is not an event.

#include <iostream>

#include "history_checker/history.h"

int main(int argc, char** argv) {
    namespace testing = trefoil::testing;
    auto events = testing::read_events({argv + 1, argv + argc});
    if (const auto* failure = std::get_if<testing::read_failure>(&events)) {
        std::cerr << failure->file << ":" << failure->line << ": cannot be read as events\n";
        return 2;
    }
    auto checks = testing::check_history(std::get<std::vector<testing::event>>(events));
    std::cout << testing::describe(checks);
    return testing::all_hold(checks) ? 0 : 1;
}
