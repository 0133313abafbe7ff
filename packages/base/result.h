// Results that hold either a value or one of several typed failures.
//
// Example:
//
//     trefoil::result<snapshot, validation_failure> outcome = build_snapshot(base, overlay);
//     if (auto* failure = std::get_if<validation_failure>(&outcome)) { ... }

#ifndef TREFOIL_BASE_RESULT_H_
#define TREFOIL_BASE_RESULT_H_

#include <variant>

namespace trefoil {

template <class Value, class... Failures>
using result = std::variant<Value, Failures...>;

// Whether a result holds its value.
template <class Value, class... Failures>
bool succeeded(const std::variant<Value, Failures...>& outcome) {
    return outcome.index() == 0;
}

// Builds a visitor from lambdas, for std::visit.
template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace trefoil

#endif  // TREFOIL_BASE_RESULT_H_
