// Reads documents that are JSON. Internal to the package: read_yaml() uses it.

#ifndef TREFOIL_CONFIG_JSON_READER_H_
#define TREFOIL_CONFIG_JSON_READER_H_

#include <optional>

#include "base/result.h"
#include "config/document.h"
#include "config/validation_failure.h"
#include "config/yaml_node.h"

namespace trefoil::config::detail {

// Returns nothing when the body is not a JSON object; it may still be YAML. Nodes have no line of
// their own: machine-written JSON is one line.
std::optional<result<yaml_node, validation_failures>> read_json(const document& source);

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_JSON_READER_H_
