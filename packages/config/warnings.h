// Finds entries of a valid configuration that have no effect, and limits that contradict each
// other.
//
// Example:
//
//     for (const config::warning& each : config::find_warnings(*snapshot)) {
//         std::cout << config::describe(each) << '\n';
//     }
//
// prints `service dosing: no route targets it`.

#ifndef TREFOIL_CONFIG_WARNINGS_H_
#define TREFOIL_CONFIG_WARNINGS_H_

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace trefoil::config {

struct warning {
    std::string subject{};  // "route", "service", "workspace", "failure domains", ...
    std::string name{};     // Empty for a warning about a whole section.
    std::string detail{};

    friend bool operator==(const warning&, const warning&) = default;
};

// Returns the warnings by section, then by name.
std::vector<warning> find_warnings(const snapshot& checked);

// Returns one line without a line break.
std::string describe(const warning& each);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_WARNINGS_H_
