// Parses JSON documents into YAML trees. Internal to the package; used by read_yaml().

#ifndef TREFOIL_CONFIG_JSON_READER_H_
#define TREFOIL_CONFIG_JSON_READER_H_

#include <optional>

#include "base/result.h"
#include "config/document.h"
#include "config/validation_failure.h"
#include "config/yaml_node.h"

namespace trefoil::config::detail {

// Returns nothing if the body is not a JSON object; it may still be YAML. All nodes have line 1,
// because machine-generated JSON usually has only one line.
std::optional<result<yaml_node, validation_failures>> read_json(const document& source);

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_JSON_READER_H_
