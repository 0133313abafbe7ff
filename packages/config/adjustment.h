// A value that was out of range and is not used as it was stated.
//
// Example:
//
//     config::adjustment change{.path = "routes.r-1.timeout_ms", .found = "0", .used = "1"};

#ifndef TREFOIL_CONFIG_ADJUSTMENT_H_
#define TREFOIL_CONFIG_ADJUSTMENT_H_

#include <string>

namespace trefoil::config {

struct adjustment {
    std::string path{};   // Of the value in its document or in the settings.
    std::string found{};  // What was stated, shortened; never a key.
    std::string used{};   // Empty if the value, or the whole entry, was left out.

    friend bool operator==(const adjustment&, const adjustment&) = default;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ADJUSTMENT_H_
