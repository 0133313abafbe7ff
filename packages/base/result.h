// A result type that holds either a value or one of several typed failures.
//
// Example:
//
//     trefoil::result<config::snapshot, config::validation_failures> outcome =
//         config::build_snapshot(base, overlay);
//     if (auto* failures = std::get_if<config::validation_failures>(&outcome)) { ... }

#ifndef TREFOIL_BASE_RESULT_H_
#define TREFOIL_BASE_RESULT_H_

#include <variant>

namespace trefoil {

template <class Value, class... Failures>
using result = std::variant<Value, Failures...>;

// Whether `outcome` holds its value, which is the first alternative, and not a failure.
template <class Value, class... Failures>
bool succeeded(const std::variant<Value, Failures...>& outcome) {
    return outcome.index() == 0;
}

// Combines lambdas into one visitor for std::visit.
template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace trefoil

#endif  // TREFOIL_BASE_RESULT_H_
