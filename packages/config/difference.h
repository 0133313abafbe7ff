// Compares two snapshots and describes the changes for operators. Digests of API keys are compared,
// but never shown.
//
// Example:
//
//     for (const config::difference& each : config::compare(before, after)) {
//         std::cout << config::describe(each) << '\n';
//     }
//
// prints `workspace north: rate 50 -> 60`.

#ifndef TREFOIL_CONFIG_DIFFERENCE_H_
#define TREFOIL_CONFIG_DIFFERENCE_H_

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace trefoil::config {

enum class change_kind { added, removed, changed };

// One changed entry, or one changed field of an entry.
struct difference {
    std::string subject{};  // "route", "service", "workspace", "key", "failure domain", ...
    std::string name{};
    change_kind kind = change_kind::changed;
    std::string field{};   // Empty if the whole entry was added or removed.
    std::string before{};  // Empty if there is no value or it must not be shown.
    std::string after{};

    friend bool operator==(const difference&, const difference&) = default;
};

// Returns the changes in the order of the sections of a document, then by name. Document revisions
// are not compared.
std::vector<difference> compare(const snapshot& before, const snapshot& after);

// Returns one line without a line break.
std::string describe(const difference& each);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_DIFFERENCE_H_
