// Implements the decisions that a route takes by method.

#include "config/values.h"

#include <algorithm>

namespace trefoil::config {

bool route::accepts(std::string_view method) const {
    return this->methods.empty() ||
           std::binary_search(this->methods.begin(), this->methods.end(), method);
}

bool route::idempotent_for(std::string_view method) const {
    return this->idempotent.value_or(method == "GET" || method == "HEAD");
}

}  // namespace trefoil::config
