// Renders a snapshot as YAML with all defaults filled in, for operators.
//
// Example:
//
//     std::cout << config::render(snapshot);

#ifndef TREFOIL_CONFIG_RENDER_H_
#define TREFOIL_CONFIG_RENDER_H_

#include <string>

#include "config/snapshot.h"

namespace trefoil::config {

// Digests of API keys are replaced by "hidden", so the result is not a valid document.
std::string render(const snapshot& source);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_RENDER_H_
